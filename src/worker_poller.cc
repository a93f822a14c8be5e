// Each look of the long kind extends the lease of all that runs. A worker that
// has long been silent gets no further lease: what runs there ends by itself,
// and that moment can be told. One that is away is asked by quick looks alone:
// the first answer tells that it is back, and a long look would wait with it.
#include "worker_poller.h"

#include <algorithm>

#include "run_limits.h"

namespace egretswitch::internal {
namespace {

// Pause before a call is repeated that failed at once.
constexpr absl::Duration kLookRetry = absl::Milliseconds(50);

// Calls get lost in spells of some seconds; after one of them further looks are
// worth their processor time for so long.
constexpr absl::Duration kLossSpell = absl::Seconds(5);

// Between quick looks in such a spell. A long look that was answered into the
// void is given up after 350 ms; until then nobody would hear of the ends.
constexpr absl::Duration kSpellLookPeriod = absl::Milliseconds(15);
// Each lost one holds a connection for 150 ms.
constexpr uint32_t kMostQuickLooks = 8;

}  // namespace

uint32_t& WorkerPoller::UnderWay(absl::Duration wait) {
  return wait > absl::ZeroDuration() ? m_long_looks : m_quick_looks;
}

uint32_t WorkerPoller::LongLooksWanted(MonoTime now) const {
  return now < m_calls_lost_until ? 2 : 1;
}

void WorkerPoller::NoteLostCall(MonoTime now) {
  m_calls_lost_until = now + kLossSpell;
}

PollCall WorkerPoller::Make(const WorkerState& worker,
                           const std::string& incarnation,
                           absl::Duration wait) {
  ++UnderWay(wait);
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

PollCall WorkerPoller::TakeFirst(const WorkerState& worker) {
  return Make(worker, worker.candidate()->incarnation, absl::ZeroDuration());
}

std::vector<PollCall> WorkerPoller::TakeDue(WorkerState& worker,
                                           const PollNeeds& needs,
                                           MonoTime now) {
  std::vector<PollCall> due;
  if (now < m_next_look) {
    return due;
  }
  if (!worker.identified() || worker.superseded()) {
    if (worker.candidate().has_value() && m_quick_looks == 0) {
      due.push_back(TakeFirst(worker));
    }
    return due;
  }
  const auto look = [&](absl::Duration wait) {
    PollCall call = Make(worker, worker.present().incarnation, wait);
    call.lease_until_ms = worker.Silent(now) ? 0 : worker.ExtendLease(now);
    due.push_back(call);
  };
  if (worker.away()) {
    if (m_quick_looks == 0) {
      look(absl::ZeroDuration());
    }
    return due;
  }
  while (m_long_looks < LongLooksWanted(now)) {
    look(kPollWait);
  }
  const bool overdue = now - worker.last_heard() >= kPollOverdue;
  const bool in_doubt = m_quick_looks == 0 && (overdue || needs.list);
  if (in_doubt || now >= NextOfSpell(needs)) {
    look(absl::ZeroDuration());
    m_next_of_spell = now + kSpellLookPeriod;
  }
  return due;
}

void WorkerPoller::Answered(const PollCall& call,
                           CallVerdict verdict,
                           MonoTime now) {
  uint32_t& under_way = UnderWay(call.wait);
  under_way -= std::min(under_way, 1u);
  if (verdict == CallVerdict::kUnknown) {
    NoteLostCall(now);
  }
  if (verdict != CallVerdict::kDone && verdict != CallVerdict::kOtherWorker) {
    m_next_look = now + kLookRetry;
  }
}

MonoTime WorkerPoller::NextOfSpell(const PollNeeds& needs) const {
  const bool wanted = needs.runs && m_next_of_spell < m_calls_lost_until &&
                      m_quick_looks < kMostQuickLooks;
  return wanted ? m_next_of_spell : absl::InfiniteDuration();
}

MonoTime WorkerPoller::NextDue(const WorkerState& worker,
                              const PollNeeds& needs) const {
  const bool anyone = worker.identified() || worker.candidate().has_value();
  MonoTime due = absl::InfiniteDuration();
  if (worker.superseded() || (worker.identified() && worker.away())) {
    return m_quick_looks == 0 ? m_next_look : due;
  }
  if (anyone && m_long_looks == 0) {
    due = m_next_look;
  }
  if (worker.identified() && m_quick_looks == 0) {
    due =
        std::min(due, std::max(m_next_look, worker.last_heard() + kPollOverdue));
  }
  if (worker.identified()) {
    due = std::min(due, std::max(m_next_look, NextOfSpell(needs)));
  }
  return due;
}

void WorkerPoller::StartOver(MonoTime now) {
  m_acknowledged = 0;
  m_next_look = now;
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
