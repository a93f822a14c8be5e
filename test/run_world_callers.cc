// The callers of RunWorld. Each submits its job, and submits it again to any
// entry after an attempt without an answer.
#include <algorithm>
#include <numeric>

#include "absl/strings/str_cat.h"
#include "run_limits.h"
#include "run_world.h"

namespace egretswitch::internal {
namespace {

constexpr int kMaxAttempts = 4;

}  // namespace

JobPlan RunWorld::DrawnPlan(VirtualTime& time, int number) {
  JobPlan plan;
  plan.id = absl::StrCat("job-", number);
  const auto tasks = static_cast<size_t>(time.Random(1, 4));
  const int64_t work_ms = time.Random(40, 1400);
  plan.work_ms.assign(tasks, work_ms);
  plan.estimate_ms = static_cast<uint32_t>(work_ms);
  plan.queue.service = "desk";
  plan.queue.max_attempts = 3;
  plan.queue.stretch = 1.6;
  plan.queue.objective_ms = 60;
  plan.at = Ms(time.Random(500, 12'000));
  return plan;
}

int RunWorld::DrawEntry() {
  if (m_entry_shares.empty()) {
    return static_cast<int>(
        m_time.Random(0, static_cast<int64_t>(m_entries.size()) - 1));
  }
  const int all =
      std::accumulate(m_entry_shares.begin(), m_entry_shares.end(), 0);
  int64_t drawn = m_time.Random(1, all);
  int entry = 0;
  while (drawn > m_entry_shares[entry]) {
    drawn -= m_entry_shares[entry++];
  }
  return entry;
}

int RunWorld::EntryOfNextAttempt(const Caller& caller) {
  const std::vector<int>& entries = caller.plan.entries;
  return entries.empty()
             ? DrawEntry()
             : entries[static_cast<size_t>(caller.attempts) % entries.size()];
}

VirtualUs RunWorld::RemainingTimeout(const Caller& caller) const {
  return caller.plan.caller_timeout_is_total
             ? caller.plan.at + caller.plan.caller_timeout - m_time.now()
             : caller.plan.caller_timeout;
}

JobOutcome RunWorld::OutcomeOf(int job) const {
  JobOutcome outcome = m_callers[job].outcome;
  outcome.attempts = m_callers[job].attempts;
  return outcome;
}

void RunWorld::Submit(int caller) {
  Caller& from = m_callers[caller];
  const VirtualUs caller_timeout = RemainingTimeout(from);
  if (from.ended || from.open_call.has_value() || caller_timeout <= 0) {
    return;
  }
  from.entry = EntryOfNextAttempt(from);
  ++from.attempts;
  const int entry = from.entry;
  if (m_entries[entry].node == nullptr || m_entries[entry].draining) {
    AttemptEnded(caller, std::nullopt);
    return;
  }
  const CallId call = ++m_calls;
  from.open_call = call;
  from.sent_at = m_time.now();
  m_caller_of_call[{entry, call}] = caller;
  m_time.After(
      m_caller_delay,
      [this, entry, arrival = ArrivalOf(from.plan, call, caller_timeout)] {
        ToEntry(entry, arrival);
      });
  m_time.After(caller_timeout, [this, caller, call] {
    if (m_callers[caller].open_call == call) {
      DisconnectCaller(caller);
    }
  });
}

JobArrived RunWorld::ArrivalOf(const JobPlan& plan,
                               CallId call,
                               VirtualUs timeout) {
  JobArrived arrival;
  arrival.call = call;
  arrival.job.id = plan.id;
  arrival.job.steps = {{static_cast<uint32_t>(plan.work_ms.size()), plan.needs,
                        plan.estimate_ms}};
  arrival.job.may_run_again = true;
  arrival.queue = plan.queue;
  arrival.caller_timeout = absl::Microseconds(timeout);
  return arrival;
}

// Nobody reads the answer.
void RunWorld::SubmitCopy(int job, int entry) {
  const JobPlan& plan = m_callers[job].plan;
  const Entry& process = m_entries[entry];
  if (process.node == nullptr || process.draining) {
    return;
  }
  const CallId call = ++m_calls;
  if (plan.id == m_traced_job) {
    LogFault(absl::StrCat("copy of ", plan.id, " to entry ", entry));
  }
  ToEntry(entry, ArrivalOf(plan, call, plan.caller_timeout));
  m_time.After(plan.caller_timeout,
               [this, entry, call] { ToEntry(entry, CallerLeft{call}); });
}

void RunWorld::SubmitCopyAt(VirtualUs at, int job, int entry) {
  m_time.At(at, [this, job, entry] { SubmitCopy(job, entry); });
}

void RunWorld::CheckCallersOf(const Entry& entry) {
  std::vector<CallId> left;
  for (const auto& [call, caller] : m_caller_of_call) {
    if (call.first == entry.number &&
        m_callers[caller].open_call != call.second &&
        !m_unnoticed.contains(call.second)) {
      left.push_back(call.second);
    }
  }
  for (const CallId call : left) {
    Perform(entry, entry.node->Handle(CallerLeft{call}, NowAt()));
  }
  Perform(entry, entry.node->Handle(CallersChecked{}, NowAt()));
}

void RunWorld::DisconnectCaller(int caller) {
  const CallId call = *m_callers[caller].open_call;
  AttemptEnded(caller, std::nullopt);
  if (m_lost_departures > 0 && m_time.Random(1, 100) <= m_lost_departures) {
    m_unnoticed.insert(call);
    return;
  }
  m_time.After(m_caller_delay, [this, entry = m_callers[caller].entry, call] {
    ToEntry(entry, CallerLeft{call});
  });
}

void RunWorld::BreakConnectionOf(int job, bool noticed) {
  const std::optional<CallId> call = m_callers[job].open_call;
  if (!call.has_value()) {
    return;
  }
  LogFault(absl::StrCat("break the connection of ", m_callers[job].plan.id));
  if (noticed) {
    DisconnectCaller(job);
    return;
  }
  m_unnoticed.insert(*call);
  AttemptEnded(job, std::nullopt);
}

void RunWorld::OnAnswer(int entry, const AnswerJob& answer) {
  const auto it = m_caller_of_call.find({entry, answer.call});
  if (it != m_caller_of_call.end() &&
      m_callers[it->second].open_call == answer.call) {
    if (answer.answer.verdict == JobVerdict::kFailed) {
      CheckFailure(m_callers[it->second].plan.id);
    }
    AttemptEnded(it->second, answer.answer);
  }
}

// Tasks of this world fail only as planned, or by crashes of their workers.
void RunWorld::CheckFailure(const std::string& job) {
  if (m_callers[m_caller_of_job.at(job)].plan.fails) {
    return;
  }
  const bool crashed = std::any_of(
      m_crashes.begin(), m_crashes.end(), [&job](const auto& crashes) {
        return crashes.first.job == job && crashes.second >= 2;
      });
  if (!crashed) {
    AddViolation(absl::StrCat(
        job, " failed, though no two workers crashed under a task of it"));
  }
}

void RunWorld::AttemptEnded(int caller,
                            const std::optional<JobAnswer>& answer) {
  Caller& from = m_callers[caller];
  from.open_call.reset();
  from.outcome.ended_at = m_time.now();
  from.outcome.verdict.reset();
  if (answer.has_value()) {
    from.outcome.verdict = answer->verdict;
    from.outcome.retry_after = answer->retry_after;
  }
  const std::optional<JobVerdict> verdict = from.outcome.verdict;
  if (verdict != JobVerdict::kNotRun) {
    from.all_refused = false;
  }
  if (verdict == JobVerdict::kCompleted) {
    ++m_completed;
  }
  const bool again =
      !verdict.has_value() || *verdict == JobVerdict::kMayHaveRun;
  if (!again || from.attempts >= kMaxAttempts) {
    from.ended = true;
    return;
  }
  m_time.After(absl::ToInt64Microseconds(kResendAfter),
               [this, caller] { Submit(caller); });
}

}  // namespace egretswitch::internal
