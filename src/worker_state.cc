// The fencing token is the sum of the worker's start time and of its own clock
// when it first answered this agent. The clock never goes back within an
// incarnation and restarts with the next one. So later agents and later
// incarnations have higher tokens, and a predecessor's call that is carried out
// late has no effect.
#include "worker_state.h"

#include <algorithm>
#include <utility>

#include "run_limits.h"
#include "worker_incarnation.h"

namespace egretswitch::internal {
namespace {

constexpr double kSlowWorkerClock = 1 - kWorkerDrift;
// A worker takes up to 50 ms to stop its runs; this is twice that.
constexpr absl::Duration kStopMargin = absl::Milliseconds(100);

uint64_t TokenAt(std::string_view incarnation, int64_t clock_ms) {
  return static_cast<uint64_t>(StartTimeOf(incarnation) +
                               std::max<int64_t>(1, clock_ms));
}

}  // namespace

// Any process may send a report in a worker's name. A worker's service and kind
// are fixed for its incarnation, so a report that changes them is not its own.
// Its capacity is that of its latest report. A worker that began to leave does
// not return, in whichever order its reports arrive.
AnnouncementOutcome WorkerState::Announce(
    const WorkerAnnouncement& announcement) {
  if (!m_present.has_value() ||
      m_present->incarnation != announcement.incarnation) {
    return AnnounceOther(announcement);
  }
  const bool same = announcement.service == m_present->service &&
                    announcement.kind == m_present->kind;
  if (!same && m_present_announced) {
    return AnnouncementOutcome::kContradicts;
  }
  const bool leaving = m_present->leaving || announcement.leaving;
  if (m_present_announced && announcement.sequence <= m_present->sequence) {
    m_present->leaving = leaving;
    return AnnouncementOutcome::kUnchanged;
  }
  const TaskNeeds former = m_present->capacity;
  m_present = announcement;
  m_present->leaving = leaving;
  m_present_announced = true;
  return announcement.capacity == former
             ? AnnouncementOutcome::kUnchanged
             : AnnouncementOutcome::kCapacityChanged;
}

AnnouncementOutcome WorkerState::AnnounceOther(
    const WorkerAnnouncement& announcement) {
  const std::string& named = announcement.incarnation;
  const bool late = (m_present.has_value() &&
                     IsEarlierIncarnation(named, m_present->incarnation)) ||
                    (m_candidate.has_value() &&
                     IsEarlierIncarnation(named, m_candidate->incarnation));
  if (late) {
    return AnnouncementOutcome::kUnchanged;
  }
  m_candidate = announcement;
  m_candidate_announced = true;
  return AnnouncementOutcome::kPoll;
}

// The capacity and kind of the new incarnation may differ: its capacity counts
// as zero until its own announcement arrives.
bool WorkerState::RecordNewIncarnation(const std::string& called,
                                       const std::string& answering,
                                       int64_t clock_ms) {
  if (!IsEarlierIncarnation(called, answering)) {
    return false;
  }
  const bool was_present =
      m_present.has_value() && m_present->incarnation == called;
  const bool was_candidate =
      m_candidate.has_value() && m_candidate->incarnation == called;
  m_superseded = m_superseded || was_present;
  const bool recorded =
      m_candidate.has_value() &&
      !IsEarlierIncarnation(m_candidate->incarnation, answering);
  if (recorded || !(was_present || was_candidate)) {
    return false;
  }
  WorkerAnnouncement next = was_candidate ? *m_candidate : *m_present;
  next.incarnation = answering;
  next.capacity = {};
  next.leaving = false;
  next.sequence = 0;
  next.clock_ms = clock_ms;
  m_candidate = std::move(next);
  m_candidate_announced = false;
  return true;
}

bool WorkerState::MayHaveWithdrawn(const std::string& worker_id) const {
  const bool named =
      m_present.has_value() && WorkerIdOf(m_present->incarnation) == worker_id;
  return named &&
         (StartTimeOf(m_present->incarnation) == 0 || m_present->leaving);
}

void WorkerState::RecordWithdrawn() {
  m_present->leaving = true;
  m_withdrawn = true;
}

uint64_t WorkerState::FirstToken(const WorkerAnnouncement& announcement) {
  return TokenAt(announcement.incarnation, announcement.clock_ms);
}

bool WorkerState::RecordAnswer(const std::string& incarnation,
                               const CallAnswer& answer,
                               MonoTime now) {
  bool replaced = false;
  if (m_candidate.has_value() && m_candidate->incarnation == incarnation) {
    AdoptCandidate(answer, now);
    replaced = true;
  }
  if (m_present.has_value() && m_present->incarnation == incarnation) {
    m_last_answer_at = now;
    m_unreachable = false;
    if (answer.clock_ms > 0) {
      m_clock.Observe(answer.clock_ms, now);
      m_highest_clock_ms = std::max(m_highest_clock_ms, answer.clock_ms);
    }
  }
  return replaced;
}

// A call to the former incarnation that is carried out by this one obtains the
// longest lease. Such calls are fenced from the candidate's first poll on. A
// new agent does not know of its predecessor's calls, so it assumes some unless
// the worker was there for longer than such a lease lasts.
void WorkerState::AdoptCandidate(const CallAnswer& answer, MonoTime now) {
  const std::string& adopted = m_candidate->incarnation;
  const bool restarted = m_present.has_value() &&
                         IsEarlierIncarnation(m_present->incarnation, adopted);
  const bool recent = StartTimeOf(adopted) != 0 &&
                      absl::Milliseconds(answer.clock_ms) < m_max_lease;
  m_lease_bound_until =
      restarted || recent ? now + LongestLease() : absl::ZeroDuration();
  m_lease_requested_at = now;
  m_lease_until_ms = 0;
  m_present = std::move(m_candidate);
  m_candidate.reset();
  m_present_announced = m_candidate_announced;
  m_superseded = false;
  m_withdrawn = false;
  m_clock = RemoteClock(kWorkerDrift);
  m_highest_clock_ms = 0;
  m_fencing_token = std::max(FirstToken(*m_present),
                             TokenAt(m_present->incarnation, answer.clock_ms));
}

// Only incarnations that share an id may answer for each other. A worker's
// clock never goes back within an incarnation and restarts with the next one,
// and it is read after the call was made. Answers may overtake each other,
// hence the tolerance.
bool WorkerState::IsFromPresentIncarnation(const std::string& incarnation,
                                           int64_t clock_ms,
                                           MonoTime requested_at) const {
  if (!m_present.has_value() || m_present->incarnation != incarnation) {
    return false;
  }
  const int64_t tolerance_ms =
      absl::ToInt64Milliseconds(kPollWait + kWorkerCallTimeout);
  const int64_t at_request = m_clock.Estimate(requested_at).value_or(0);
  return StartTimeOf(incarnation) == 0 ||
         (!m_superseded &&
          clock_ms > std::max(m_highest_clock_ms, at_request) - tolerance_ms);
}

// An answer that was read late, because this process stood still, confirms the
// moment at which the worker gave it.
void WorkerState::RecordConfirmed(MonoTime requested_at,
                                  int64_t clock_ms,
                                  MonoTime now) {
  const int64_t clock = m_clock.Estimate(now).value_or(clock_ms);
  const absl::Duration age =
      std::clamp(absl::Milliseconds(clock - clock_ms), absl::ZeroDuration(),
                 std::max(now - requested_at, absl::ZeroDuration()));
  m_confirmed_at = std::max(m_confirmed_at, now - age);
  m_confirmed_request = std::max(m_confirmed_request, requested_at);
}

// A poll is always in flight, so the end of the worker shows at once. Polls
// that are overdue show it as well if the connection's end does not.
MonoTime WorkerState::MayHaveRestartedFrom() const {
  if (!m_present.has_value() || StartTimeOf(m_present->incarnation) == 0) {
    return absl::InfiniteDuration();
  }
  if (m_superseded) {
    return -absl::InfiniteDuration();
  }
  return m_doubted_at > m_confirmed_request ? m_doubted_at
                                            : m_confirmed_at + kPollOverdue;
}

// A hint is as old as the former agent's first call to the worker, so that
// agent's token is higher than the one made from the hint. The answer carries
// the worker's current clock, which is above every token that a former agent
// can have made from it.
bool WorkerState::RecordFenced(const std::string& incarnation,
                               const CallAnswer& answer) {
  const bool higher = m_candidate.has_value() &&
                      m_candidate->incarnation == incarnation &&
                      answer.clock_ms > m_candidate->clock_ms;
  if (higher) {
    m_candidate->clock_ms = answer.clock_ms;
  }
  return higher;
}

bool WorkerState::RecordUnreachable() {
  return !std::exchange(m_unreachable, true);
}

void WorkerState::Remove(const std::string& incarnation) {
  if (m_present.has_value() && m_present->incarnation == incarnation) {
    m_present.reset();
    m_superseded = false;
    m_withdrawn = false;
  }
  if (m_candidate.has_value() && m_candidate->incarnation == incarnation) {
    m_candidate.reset();
  }
}

void WorkerState::RaiseToken(MonoTime now) {
  const int64_t clock = m_clock.Estimate(now).value_or(0);
  const uint64_t by_clock =
      m_present.has_value() ? TokenAt(m_present->incarnation, clock) : 0;
  m_fencing_token = std::max(m_fencing_token + 1, by_clock);
}

int64_t WorkerState::ExtendLease(MonoTime now) {
  m_lease_requested_at = now;
  const int64_t clock = m_clock.Estimate(now).value_or(
      m_present.has_value() ? m_present->clock_ms : 0);
  m_lease_until_ms = clock + absl::ToInt64Milliseconds(kWorkerLease);
  return m_lease_until_ms;
}

absl::Duration WorkerState::GrantedLease(MonoTime now) const {
  const int64_t clock = m_clock.Estimate(now).value_or(m_lease_until_ms);
  return absl::Milliseconds(std::max<int64_t>(0, m_lease_until_ms - clock));
}

bool WorkerState::AllLeasesExpired(MonoTime now) const {
  return now - m_lease_requested_at >
             kWorkerLease / kSlowWorkerClock + kStopMargin &&
         now >= m_lease_bound_until;
}

absl::Duration WorkerState::LongestLease() const {
  return m_max_lease > absl::ZeroDuration()
             ? m_max_lease / kSlowWorkerClock + kStopMargin
             : absl::ZeroDuration();
}

absl::Duration WorkerState::LeaseBound(MonoTime now) const {
  return m_superseded
             ? LongestLease()
             : std::max(m_lease_bound_until - now, absl::ZeroDuration());
}

bool WorkerState::Unresponsive(MonoTime now) const {
  return now - m_last_answer_at > kWorkerTimeout;
}

}  // namespace egretswitch::internal
