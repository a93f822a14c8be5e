// The fencing token is the worker's own clock when it first answered this
// agent: the clock never goes back within an incarnation, so a later agent has
// a higher token, and a call of its predecessor that is carried out late does
// nothing.
#include "watched_worker.h"

#include <algorithm>

#include "run_limits.h"

namespace egretswitch::internal {
namespace {

// The worker's clock may be slow by this factor, so that a lease lasts longer.
constexpr double kSlowWorkerClock = 0.98;
// Stopping what runs takes a worker up to 50 ms; twice that.
constexpr absl::Duration kStopMargin = absl::Milliseconds(100);

}  // namespace

// Anyone may send a report in a worker's name. Its service, kind and capacity
// last as long as the incarnation, so a report that says otherwise is not its
// own. A worker that began to leave does not come back, whatever the order in
// which its reports arrive.
AnnouncementOutcome WatchedWorker::Announce(
    const WorkerAnnouncement& announcement) {
  if (!m_present.has_value() ||
      m_present->incarnation != announcement.incarnation) {
    m_candidate = announcement;
    return AnnouncementOutcome::kLook;
  }
  const bool same = announcement.service == m_present->service &&
                    announcement.kind == m_present->kind &&
                    announcement.capacity == m_present->capacity;
  if (!same) {
    return AnnouncementOutcome::kContradicts;
  }
  m_present->leaving = m_present->leaving || announcement.leaving;
  return AnnouncementOutcome::kNothingNew;
}

uint64_t WatchedWorker::FirstToken(const WorkerAnnouncement& announcement) {
  return static_cast<uint64_t>(std::max<int64_t>(1, announcement.clock_ms));
}

bool WatchedWorker::HeardFrom(const std::string& incarnation,
                              const CallAnswer& answer,
                              MonoTime now) {
  bool replaced = false;
  if (m_candidate.has_value() && m_candidate->incarnation == incarnation) {
    m_present = std::move(m_candidate);
    m_candidate.reset();
    m_clock = RemoteClock();
    m_fencing_token =
        std::max(FirstToken(*m_present),
                 static_cast<uint64_t>(std::max<int64_t>(0, answer.clock_ms)));
    m_lease_asked_at = absl::ZeroDuration();
    replaced = true;
  }
  if (m_present.has_value() && m_present->incarnation == incarnation) {
    m_last_heard = now;
    if (answer.clock_ms > 0) {
      m_clock.Observe(answer.clock_ms, now);
    }
  }
  return replaced;
}

// A hint is as old as the former agent's first call to the worker, whose token
// was therefore higher than what the hint gives. The answer tells the worker's
// clock now, above every token that a former agent can have made of it.
bool WatchedWorker::NoteFenced(const std::string& incarnation,
                               const CallAnswer& answer) {
  const bool higher = m_candidate.has_value() &&
                      m_candidate->incarnation == incarnation &&
                      answer.clock_ms > m_candidate->clock_ms;
  if (higher) {
    m_candidate->clock_ms = answer.clock_ms;
  }
  return higher;
}

void WatchedWorker::Forget(const std::string& incarnation) {
  if (m_present.has_value() && m_present->incarnation == incarnation) {
    m_present.reset();
  }
  if (m_candidate.has_value() && m_candidate->incarnation == incarnation) {
    m_candidate.reset();
  }
}

void WatchedWorker::RaiseToken(MonoTime now) {
  const int64_t clock = m_clock.Estimate(now).value_or(0);
  m_fencing_token = std::max(
      m_fencing_token + 1, static_cast<uint64_t>(std::max<int64_t>(0, clock)));
}

int64_t WatchedWorker::ExtendLease(MonoTime now) {
  m_lease_asked_at = now;
  const int64_t clock = m_clock.Estimate(now).value_or(
      m_present.has_value() ? m_present->clock_ms : 0);
  return clock + absl::ToInt64Milliseconds(kWorkerLease);
}

bool WatchedWorker::CertainlyOver(MonoTime now) const {
  return now - m_lease_asked_at > kWorkerLease / kSlowWorkerClock + kStopMargin;
}

bool WatchedWorker::Silent(MonoTime now) const {
  return now - m_last_heard > kWorkerSilence;
}

}  // namespace egretswitch::internal
