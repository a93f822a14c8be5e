#include "cancelled_jobs.h"

namespace egretswitch::internal {

void CancelledJobs::Add(const std::string& job, bool held, MonoTime now) {
  const MonoTime until = now + kCancelledJobRetention;
  Record& record = m_jobs[job];
  record.held = record.held || held;
  if (record.until != until) {
    record.until = until;
    m_by_age.emplace_back(until, job);
  }
  DropOld(now);
}

// A job that is cancelled again and again has several entries in `m_by_age`, so
// these are bounded too.
void CancelledJobs::DropOld(MonoTime now) {
  while (!m_by_age.empty() &&
         (m_by_age.front().first <= now || m_jobs.size() > kMaxCancelledJobs ||
          m_by_age.size() > 2 * kMaxCancelledJobs)) {
    const auto& [until, job] = m_by_age.front();
    const auto record = m_jobs.find(job);
    if (record != m_jobs.end() && record->second.until == until) {
      m_jobs.erase(record);
    }
    m_by_age.pop_front();
  }
}

bool CancelledJobs::Contains(const std::string& job, MonoTime now) const {
  const auto record = m_jobs.find(job);
  return record != m_jobs.end() && now < record->second.until;
}

bool CancelledJobs::WasHeld(const std::string& job) const {
  const auto record = m_jobs.find(job);
  return record != m_jobs.end() && record->second.held;
}

}  // namespace egretswitch::internal
