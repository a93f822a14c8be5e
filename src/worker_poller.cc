// Each poll of the present worker extends the lease of all its runs. A worker
// that has been unresponsive for kWorkerTimeout gets no further lease: its runs
// then end by themselves at a time that can be computed. An unreachable worker
// is sent short polls only: the first answer shows that it is reachable again,
// and a long poll would delay that answer by its wait.
//
// A worker that may have restarted under its id, or that has not carried out a
// stop in time, is polled without a lease. As soon as it is confirmed or the
// stop is, a short poll extends the lease.
#include "worker_poller.h"

#include <algorithm>

#include "run_limits.h"

namespace egretswitch::internal {
namespace {

// Pause before a poll is repeated that failed at once.
constexpr absl::Duration kPollRetry = absl::Milliseconds(50);

// Calls get lost in bursts of some seconds. For this long after a lost call,
// additional polls are worth their processor time.
constexpr absl::Duration kLossPeriod = absl::Seconds(5);

// Between short polls in such a period. A long poll whose answer is lost times
// out after 350 ms; without short polls the ends would not arrive until then.
constexpr absl::Duration kLossPollPeriod = absl::Milliseconds(15);
// Each lost poll occupies a connection for 150 ms.
constexpr uint32_t kMaxShortPolls = 8;

}  // namespace

uint32_t& WorkerPoller::InFlight(absl::Duration wait) {
  return wait > absl::ZeroDuration() ? m_long_polls : m_short_polls;
}

uint32_t WorkerPoller::LongPollsWanted(MonoTime now) const {
  return now < m_loss_period_until ? 2 : 1;
}

void WorkerPoller::RecordLostCall(MonoTime now) {
  m_loss_period_until = now + kLossPeriod;
}

PollCall WorkerPoller::Make(const WorkerState& worker,
                            const std::string& incarnation,
                            absl::Duration wait) {
  ++InFlight(wait);
  const bool present =
      worker.identified() && worker.present().incarnation == incarnation;
  PollCall call;
  call.worker = incarnation;
  call.wait = wait;
  call.acknowledged = present ? m_acknowledged : 0;
  call.fencing_token = present ? worker.fencing_token()
                               : WorkerState::FirstToken(*worker.candidate());
  return call;
}

PollCall WorkerPoller::TakeCandidatePoll(const WorkerState& worker) {
  return Make(worker, worker.candidate()->incarnation, absl::ZeroDuration());
}

std::vector<PollCall> WorkerPoller::TakeDue(WorkerState& worker,
                                            const PollNeeds& needs,
                                            MonoTime now) {
  std::vector<PollCall> due;
  if (now < m_next_poll) {
    return due;
  }
  if (!worker.identified() || worker.superseded()) {
    if (worker.candidate().has_value() && m_short_polls == 0) {
      due.push_back(TakeCandidatePoll(worker));
    }
    return due;
  }
  const bool withheld = worker.MayHaveRestarted(now) || !needs.lease;
  const auto poll = [&](absl::Duration wait) {
    PollCall call = Make(worker, worker.present().incarnation, wait);
    call.lease_until_ms =
        worker.Unresponsive(now) || withheld ? 0 : worker.ExtendLease(now);
    m_lease_withheld = withheld;
    if (wait == absl::ZeroDuration()) {
      m_short_poll_at = now;
    }
    due.push_back(call);
  };
  if (worker.unreachable()) {
    if (m_short_polls == 0) {
      poll(absl::ZeroDuration());
    }
    return due;
  }
  while (m_long_polls < LongPollsWanted(now)) {
    poll(kPollWait);
  }
  const bool overdue = now - worker.last_answer_at() >= kPollOverdue;
  const bool short_due = m_short_polls == 0 && (overdue || needs.list);
  const bool lease_due = m_lease_withheld && !withheld;
  if (short_due || lease_due || now >= NextConfirmation(worker) ||
      now >= NextLossPoll(needs)) {
    poll(absl::ZeroDuration());
    m_next_loss_poll = now + kLossPollPeriod;
  }
  return due;
}

void WorkerPoller::RecordAnswer(const PollCall& call,
                                CallVerdict verdict,
                                MonoTime now) {
  uint32_t& in_flight = InFlight(call.wait);
  in_flight -= std::min(in_flight, 1u);
  if (verdict == CallVerdict::kUnknown) {
    RecordLostCall(now);
  }
  if (verdict != CallVerdict::kDone && verdict != CallVerdict::kOtherWorker) {
    m_next_poll = now + kPollRetry;
  }
}

MonoTime WorkerPoller::NextConfirmation(const WorkerState& worker) const {
  const MonoTime from = worker.MayHaveRestartedFrom();
  const MonoTime next =
      m_short_poll_at < from ? from : m_short_poll_at + kPollRetry;
  return from < absl::InfiniteDuration() && m_short_polls < kMaxShortPolls
             ? next
             : absl::InfiniteDuration();
}

MonoTime WorkerPoller::NextLossPoll(const PollNeeds& needs) const {
  const bool needed = needs.runs && m_next_loss_poll < m_loss_period_until &&
                      m_short_polls < kMaxShortPolls;
  return needed ? m_next_loss_poll : absl::InfiniteDuration();
}

MonoTime WorkerPoller::NextDue(const WorkerState& worker,
                               const PollNeeds& needs) const {
  const bool has_target = worker.identified() || worker.candidate().has_value();
  MonoTime due = absl::InfiniteDuration();
  if (worker.superseded() || (worker.identified() && worker.unreachable())) {
    return m_short_polls == 0 ? m_next_poll : due;
  }
  if (has_target && m_long_polls == 0) {
    due = m_next_poll;
  }
  if (worker.identified() && m_short_polls == 0) {
    due = std::min(
        due, std::max(m_next_poll, worker.last_answer_at() + kPollOverdue));
  }
  if (worker.identified()) {
    due = std::min(due, std::max(m_next_poll, NextLossPoll(needs)));
    due = std::min(due, std::max(m_next_poll, NextConfirmation(worker)));
  }
  return due;
}

void WorkerPoller::Reset(MonoTime now) {
  m_acknowledged = 0;
  m_next_poll = now;
  m_lease_withheld = false;
}

std::vector<EndedRun> WorkerPoller::TakeNewEnds(const PollAnswer& answer) {
  std::vector<EndedRun> fresh;
  for (const EndedRun& ended : answer.ended) {
    if (ended.sequence > m_acknowledged) {
      m_acknowledged = ended.sequence;
      fresh.push_back(ended);
    }
  }
  return fresh;
}

}  // namespace egretswitch::internal
