// Calls of agents to their workers in RunWorld, which take 1 ms each. While an
// agent's calls are faulty, an answer may be lost, or the call is carried out
// seconds later. A worker that is down does not answer, or refuses connections.
#include <algorithm>
#include <type_traits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "run_world.h"

namespace egretswitch::internal {
namespace {

constexpr VirtualUs kCallDelay = 500;
constexpr VirtualUs kCallTimeout = Ms(150);
// A poll reports within this time the end of a run that began after it.
constexpr VirtualUs kPollStep = Ms(20);
// A task that crashes its worker does so this long after its start, when the
// start has been answered.
constexpr VirtualUs kCrashAfterStart = Ms(30);

}  // namespace

bool RunWorld::LeavesUnanswered(CallKind kind) {
  return m_time.now() < m_unanswered.until &&
         m_unanswered.kinds.contains(kind) &&
         m_time.Random(0, 99) < m_unanswered.percent;
}

void RunWorld::CarryOutLate(int agent,
                            VirtualUs until,
                            VirtualUs by,
                            bool starts_only) {
  m_agents[agent].calls_late_until = until;
  m_agents[agent].calls_late_by = by;
  m_agents[agent].only_starts_late = starts_only;
}

bool RunWorld::IsCarriedOutLate(const Agent& agent, CallKind kind) const {
  return m_time.now() < agent.calls_late_until &&
         (kind == CallKind::kStart || !agent.only_starts_late);
}

// One way: a call and its answer take at most 120 ms together.
VirtualUs RunWorld::DrawnCallDelay() {
  return m_slow_calls && m_time.Random(0, 3) == 0
             ? kCallDelay + m_time.Random(0, Ms(59))
             : kCallDelay;
}

VirtualUs RunWorld::DrawnLateArrival(bool unanswered) {
  return Ms(m_time.Random(2000, unanswered ? 12'000 : 6000));
}

// Whether the worker process that a call was sent to has ended, and the call
// with it. Workers that keep their ids differ only in their incarnation, so a
// call to a previous incarnation is dropped here; one that is sent after the
// next incarnation has started is carried out by that one.
bool RunWorld::EndedWithItsWorker(int agent, uint64_t sent_to) const {
  return m_same_worker_ids && sent_to != 0 &&
         sent_to != m_agents[agent].worker_number;
}

// Reports to the agent that the worker did not answer the call.
template <typename Call>
void RunWorld::LeaveUnanswered(int agent,
                               const Call& call,
                               const CallAnswer& answer,
                               VirtualUs delay) {
  m_time.After(delay, [this, agent, call, answer,
                       incarnation = m_agents[agent].incarnation] {
    if (m_agents[agent].incarnation != incarnation) {
      return;
    }
    if constexpr (std::is_same_v<Call, StartCall>) {
      ToAgent(agent, StartAnswered{call, answer});
    } else if constexpr (std::is_same_v<Call, StopCall>) {
      ToAgent(agent, StopAnswered{call, answer});
    }
  });
}

// `carry` carries the call out at the worker and returns the event for the
// agent.
template <typename Call, typename Carry>
void RunWorld::Send(int agent, const Call& call, Carry carry) {
  const Agent& process = m_agents[agent];
  if (m_down_workers_refuse && process.worker == nullptr) {
    LeaveUnanswered(agent, call, {CallVerdict::kUnreachable}, 2 * kCallDelay);
    return;
  }
  const uint64_t incarnation = process.incarnation;
  const uint64_t sent_to =
      process.worker == nullptr ? 0 : process.worker_number;
  const bool faulty =
      m_time.now() < process.calls_faulty_until && m_time.Random(0, 99) < 40;
  const CallKind kind =
      std::is_same_v<Call, StartCall> ? CallKind::kStart : CallKind::kStop;
  const bool held = IsCarriedOutLate(process, kind);
  const bool unanswered = LeavesUnanswered(kind);
  const bool late = (faulty && m_time.Random(0, 1) == 0) ||
                    (unanswered && m_time.Random(0, 3) > 0);
  const bool loses_answer = held || faulty || unanswered || LosesAnswer(agent);
  const VirtualUs drawn =
      late ? DrawnLateArrival(unanswered) : DrawnCallDelay();
  const VirtualUs arrives = held ? process.calls_late_by : drawn;
  m_time.After(
      arrives, [this, agent, call, carry, incarnation, loses_answer, sent_to] {
        if (m_agents[agent].worker == nullptr ||
            EndedWithItsWorker(agent, sent_to)) {
          return;
        }
        const RunManagerEvent event = carry(*m_agents[agent].worker);
        if (!loses_answer) {
          m_time.After(DrawnCallDelay(), [this, agent, event, incarnation] {
            if (m_agents[agent].incarnation == incarnation) {
              ToAgent(agent, event);
            }
          });
        }
      });
  if (loses_answer || process.worker == nullptr) {
    const bool breaks = process.lost_answers_break;
    LeaveUnanswered(agent, call, {.disconnected = breaks},
                    breaks ? 2 * kCallDelay : kCallTimeout);
  }
}

int64_t RunWorld::DrawnRunMs(int agent, const JobPlan& plan, uint32_t task) {
  double run_ms =
      m_agents[agent].slowness * static_cast<double>(plan.work_ms[task]);
  if (plan.tail_share > 0 &&
      static_cast<double>(m_time.Random(0, 9'999)) < 1e4 * plan.tail_share) {
    run_ms *= plan.tail_factor;
  }
  return static_cast<int64_t>(run_ms);
}

void RunWorld::CallWorker(int agent, const StartCall& call) {
  CheckStartCall(agent, call.key);
  Send(agent, call, [this, agent, call](FakeRunWorker& worker) {
    const int caller = m_caller_of_job.at(call.key.task.job);
    const JobPlan& plan = m_callers[caller].plan;
    if (m_refused_starts > 0 && m_time.Random(0, 99) < m_refused_starts) {
      return RunManagerEvent(StartAnswered{
          call, {CallVerdict::kRefused, worker.ClockMs(m_time.now())}});
    }
    const bool was_there = worker.running().contains(call.key);
    const int64_t run_ms = DrawnRunMs(agent, plan, call.key.task.index);
    const CallAnswer answer =
        worker.Start(call, m_time.now(), run_ms, plan.needs,
                     plan.fails ? WorkerRunEnd::kFailed : WorkerRunEnd::kDone);
    if (answer.verdict == CallVerdict::kDone && !was_there) {
      RecordStart(agent, call.key);
      if (plan.crashes_workers) {
        CrashSoon(agent, plan);
      }
    }
    return RunManagerEvent(StartAnswered{call, answer});
  });
}

// Crashes the worker that runs now, but not a later one.
void RunWorld::CrashSoon(int agent, const JobPlan& plan) {
  const auto crash = [this, agent, down = plan.crashed_for,
                      number = m_agents[agent].worker_number] {
    if (m_agents[agent].worker_number == number &&
        m_agents[agent].worker != nullptr) {
      CrashWorker(agent, down);
    }
  };
  m_time.After(kCrashAfterStart, crash);
}

void RunWorld::CallWorker(int agent, const StopCall& call) {
  if (m_time.now() < m_agents[agent].stops_lost_until) {
    LeaveUnanswered(agent, call, {}, kCallTimeout);
    return;
  }
  Send(agent, call, [this, call](FakeRunWorker& worker) {
    const VirtualUs takes = m_slow_stops ? Ms(m_time.Random(0, 50)) : 0;
    return RunManagerEvent(
        StopAnswered{call, worker.Stop(call, m_time.now(), takes)});
  });
}

void RunWorld::CallWorker(int agent, const PollCall& call) {
  const MonoTime asked = NowAt().mono;
  const VirtualUs deadline =
      m_time.now() + absl::ToInt64Microseconds(call.wait);
  if (IsCarriedOutLate(m_agents[agent], CallKind::kPoll) ||
      LeavesUnanswered(CallKind::kPoll)) {
    LeavePollUnanswered(agent, call, deadline, asked);
    return;
  }
  m_time.After(DrawnCallDelay(), [this, agent, call, deadline, asked,
                                  incarnation = m_agents[agent].incarnation] {
    if (m_agents[agent].incarnation == incarnation) {
      PollUntil(agent, call, deadline, asked);
    }
  });
}

// The worker carries the poll out late, or at once.
void RunWorld::LeavePollUnanswered(int agent,
                                   const PollCall& call,
                                   VirtualUs deadline,
                                   MonoTime asked) {
  const Agent& process = m_agents[agent];
  const uint64_t sent_to =
      process.worker == nullptr ? 0 : process.worker_number;
  const VirtualUs drawn =
      m_time.Random(0, 3) > 0 ? DrawnLateArrival(true) : DrawnCallDelay();
  const bool held = IsCarriedOutLate(process, CallKind::kPoll);
  m_time.After(held ? process.calls_late_by : drawn,
               [this, agent, call, sent_to] {
                 FakeRunWorker* worker = m_agents[agent].worker.get();
                 if (worker != nullptr && !EndedWithItsWorker(agent, sent_to)) {
                   worker->Poll(call, m_time.now());
                 }
               });
  m_time.After(deadline - m_time.now() + kCallTimeout,
               [this, agent, call, asked, incarnation = process.incarnation] {
                 if (m_agents[agent].incarnation == incarnation) {
                   ToAgent(agent, PollAnswered{call, asked, PollAnswer{}});
                 }
               });
}

bool RunWorld::LosesAnswer(int agent) {
  const int lost = m_agents[agent].answers_lost;
  return lost > 0 && m_time.Random(0, 99) < lost;
}

// A poll that reached the worker before it went down gets no answer.
CallAnswer RunWorld::AnswerOfDownWorker(MonoTime asked) const {
  const bool refused = m_down_workers_refuse &&
                       NowAt().mono - asked <= absl::Microseconds(kCallDelay);
  if (refused) {
    return {CallVerdict::kUnreachable};
  }
  return {.disconnected = m_down_workers_refuse};
}

int RunWorld::MaxStartsOfATask() const {
  std::map<std::pair<int, TaskRef>, int> tries;
  int most = 0;
  for (const auto& [agent, key] : m_called) {
    most = std::max(most, ++tries[{agent, key.task}]);
  }
  return most;
}

// Answers when a run has ended, or at `deadline`. A worker that is down gives
// no answer.
void RunWorld::PollUntil(int agent,
                         PollCall call,
                         VirtualUs deadline,
                         MonoTime asked) {
  Agent& process = m_agents[agent];
  const uint64_t incarnation = process.incarnation;
  const auto answer = [this, agent, call, asked, incarnation](
                          const PollAnswer& found, VirtualUs delay) {
    m_time.After(delay, [this, agent, call, asked, incarnation, found] {
      if (m_agents[agent].incarnation == incarnation) {
        ToAgent(agent, PollAnswered{call, asked, found});
      }
    });
  };
  if (process.worker == nullptr) {
    PollAnswer none;
    none.call = AnswerOfDownWorker(asked);
    answer(none, m_down_workers_refuse ? kCallDelay : kCallTimeout);
    return;
  }
  const PollAnswer found = process.worker->Poll(call, m_time.now());
  const bool over = m_time.now() >= deadline || !found.ended.empty() ||
                    found.call.verdict != CallVerdict::kDone;
  if (over && LosesAnswer(agent)) {
    const bool breaks = process.lost_answers_break;
    answer(PollAnswer{{.disconnected = breaks}, {}, {}},
           breaks ? kCallDelay
                  : std::max<VirtualUs>(0, deadline - m_time.now()) +
                        kCallTimeout);
    return;
  }
  if (over) {
    answer(found, DrawnCallDelay());
    return;
  }
  call.lease_until_ms = 0;  // the call extended the lease when it arrived
  const VirtualUs next =
      std::min({deadline, process.worker->NextEnd(), m_time.now() + kPollStep});
  m_time.At(std::max(next, m_time.now() + 1),
            [this, agent, call, deadline, asked, incarnation] {
              if (m_agents[agent].incarnation == incarnation) {
                PollUntil(agent, call, deadline, asked);
              }
            });
}

void RunWorld::RecordStart(int agent, const RunKey& key) {
  ++m_starts_in[agent % kDataCentres];
  m_callers[m_caller_of_job.at(key.task.job)].started = true;
  CheckNotCancelled(key.task.job);
  if (key.task.job == m_traced_job) {
    LogFault(absl::StrCat("started ", TaskText(key.task), " run ", key.run,
                          " at ", m_agents[agent].name));
  }
  for (int other = 0; other < static_cast<int>(m_agents.size()); ++other) {
    FakeRunWorker* worker = m_agents[other].worker.get();
    if (worker == nullptr) {
      continue;
    }
    worker->Advance(m_time.now());
    for (const auto& [running, done_at] : worker->running()) {
      if (running.task == key.task && !(other == agent && running == key)) {
        AddViolation(absl::StrCat(TaskText(key.task), " run ", key.run, " at ",
                                  m_agents[agent].name, " beside run ",
                                  running.run, " at ", m_agents[other].name));
      }
    }
  }
}

}  // namespace egretswitch::internal
