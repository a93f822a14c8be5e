// A record keeps the age that it has elsewhere, so that it expires at the same
// time in every process, however often it is passed on.
#include "cancelled_jobs.h"

#include <algorithm>

namespace egretswitch::internal {
namespace {

// Callers repeat a cancel within seconds. Repeats of a record younger than this
// are not passed on.
constexpr absl::Duration kMinAgeToPassOn = absl::Seconds(10);

}  // namespace

void CancelledJobs::Add(const std::string& job, bool held, MonoTime now) {
  Extend(job, held, now + kCancelledJobRetention, now);
}

void CancelledJobs::Merge(const CancelledJob& other, MonoTime now) {
  const MonoTime until =
      now + kCancelledJobRetention - absl::Milliseconds(other.age_ms);
  if (until > now) {
    Extend(other.job, other.held, until, now);
  }
}

void CancelledJobs::Extend(const std::string& job,
                           bool held,
                           MonoTime until,
                           MonoTime now) {
  const auto [found, is_new] = m_jobs.try_emplace(job);
  Record& record = found->second;
  if (is_new) {
    record.learnt_at = now;
  }
  record.held = record.held || held;
  if (until > record.until) {
    m_by_expiry.erase({record.until, job});
    m_by_expiry.emplace(until, job);
    record.until = until;
  }
  DropOld(now);
}

void CancelledJobs::DropOld(MonoTime now) {
  while (!m_by_expiry.empty()) {
    const auto oldest = m_by_expiry.begin();
    const bool expired = oldest->first <= now;
    if (!expired && m_jobs.size() <= kMaxCancelledJobs) {
      return;
    }
    m_dropped_early += expired ? 0 : 1;
    m_jobs.erase(oldest->second);
    m_by_expiry.erase(oldest);
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

std::vector<std::string> CancelledJobs::NewsAmong(
    absl::Span<const std::string> jobs,
    MonoTime now) const {
  std::vector<std::string> news;
  for (const std::string& job : jobs) {
    const auto record = m_jobs.find(job);
    const bool fresh =
        record != m_jobs.end() &&
        record->second.until > now + kCancelledJobRetention - kMinAgeToPassOn;
    if (!fresh) {
      news.push_back(job);
    }
  }
  return news;
}

std::vector<CancelledJob> CancelledJobs::Page(const CancelledJobsFilter& filter,
                                              size_t max_jobs,
                                              MonoTime now) const {
  std::vector<CancelledJob> page;
  for (auto it = m_jobs.upper_bound(filter.after);
       it != m_jobs.end() && page.size() < max_jobs; ++it) {
    const auto& [job, record] = *it;
    if (now < record.until && now - record.learnt_at <= filter.learnt_within) {
      const absl::Duration age = kCancelledJobRetention - (record.until - now);
      page.push_back({job,
                      static_cast<uint32_t>(absl::ToInt64Milliseconds(
                          std::max(age, absl::ZeroDuration()))),
                      record.held});
    }
  }
  return page;
}

}  // namespace egretswitch::internal
