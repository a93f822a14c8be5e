// Handles the worker's announcements and its answers to calls, and updates the
// tracked runs accordingly.
//
//   PollAnswered{ended: 5c0e/0/0 done}  -> SendRunMessage{entry-1, RunReports}
//   PollAnswered{other worker}          -> every run has ended as worker lost
#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "run_ends.h"
#include "run_limits.h"
#include "run_manager.h"
#include "worker_incarnation.h"

namespace egretswitch::internal {
namespace {

std::string LossText(const RunReport& report) {
  return report.end == RunEnd::kWorkerLost
             ? std::string(RunLossName(report.loss))
             : "none";
}

}  // namespace

void RunManager::On(const WorkerAnnounced& event) {
  const bool was_leaving = m_worker.identified() && m_worker.present().leaving;
  switch (m_worker.Announce(event.announcement)) {
    case AnnouncementOutcome::kUnchanged:
      break;
    case AnnouncementOutcome::kPoll:
      SuspectRestart();
      m_actions.push_back(m_poller.TakeCandidatePoll(m_worker));
      break;
    case AnnouncementOutcome::kCapacityChanged:
      HandleCapacityChanged();
      break;
    case AnnouncementOutcome::kContradicts:
      LogContradiction(event.announcement);
  }
  if (m_worker.identified() && m_worker.present().leaving && !was_leaving) {
    Log("worker leaving", {{"worker", m_worker.present().incarnation},
                           {"runs", absl::StrCat(m_runs.size())}});
  }
}

void RunManager::HandleCapacityChanged() {
  const TaskNeeds& capacity = m_worker.present().capacity;
  const TaskNeeds free = FreeCapacity();
  Log("worker capacity changed",
      {{"worker", m_worker.present().incarnation},
       {"sequence", absl::StrCat(m_worker.present().sequence)},
       {"millicores", absl::StrCat(capacity.millicores)},
       {"memory_mb", absl::StrCat(capacity.memory_mb)},
       {"free_millicores", absl::StrCat(free.millicores)},
       {"runs", absl::StrCat(m_runs.size())}});
  ReportToAllEntries();
}

void RunManager::LogContradiction(const WorkerAnnouncement& announcement) {
  m_counters.Add(RunCounter::kReportsUnreadable);
  m_actions.push_back(
      NoteStateChange{"worker's report contradicts earlier ones",
                      {{"worker", announcement.incarnation},
                       {"service", announcement.service},
                       {"kind", announcement.kind},
                       {"sequence", absl::StrCat(announcement.sequence)}},
                      true});
}

// The worker sends this before it ends, so its runs may go on for a moment, or
// for seconds if it gets no answer. They are over when another worker answers
// in its place, or when it has been silent for the rest of its lease.
void RunManager::On(const WorkerWithdrew& event) {
  if (!m_worker.MayHaveWithdrawn(event.worker_id)) {
    m_worker.Remove(event.worker_id);
  } else if (m_runs.empty()) {
    HandleWorkerLost(RunEnd::kStopped, "withdrew", false);
  } else {
    Log("worker withdrew", {{"worker", m_worker.present().incarnation},
                            {"runs", absl::StrCat(m_runs.size())}});
    m_worker.RecordWithdrawn();
  }
}

void RunManager::AdoptWorker(const PollAnswered& event) {
  const std::string& incarnation = event.call.worker;
  const std::string former =
      m_worker.identified() ? m_worker.present().incarnation : "none";
  const bool crashed = m_worker.identified() && !m_worker.present().leaving;
  if (!m_worker.RecordAnswer(incarnation, event.answer.call, m_now.mono)) {
    return;
  }
  m_counters.Add(RunCounter::kWorkersAdopted);
  Log("worker adopted",
      {{"worker", incarnation},
       {"former", former},
       {"service", m_worker.present().service},
       {"kind", m_worker.present().kind},
       {"running", absl::StrCat(event.answer.running.size())}});
  m_poller.Reset(m_now.mono);
  m_unknown_runs_since = absl::InfiniteDuration();
  HandleEnds(event.answer);
  EndRunsNotListed(event.answer.running, former, crashed);
  ReportToAllEntries();
}

// The former worker's runs are over: an agent calls one address only, at which
// another worker has answered. But a call that was addressed to a former
// incarnation may have been carried out by this one, so the runs that it lists
// continue. Calls that arrive later are fenced by the token of the poll.
void RunManager::EndRunsNotListed(const std::vector<RunKey>& running,
                                  const std::string& former,
                                  bool crashed) {
  const std::set<RunKey> listed(running.begin(), running.end());
  for (auto it = m_runs.begin(); it != m_runs.end();) {
    const auto current = it++;
    if (!listed.contains(current->first)) {
      EndRun(current, RunEnd::kWorkerLost,
             absl::StrCat("worker_replaced: ", former), crashed);
    }
  }
}

void RunManager::HandleWorkerLost(RunEnd end,
                                  std::string_view why,
                                  bool crashed) {
  m_counters.Add(RunCounter::kWorkersLost);
  Log("worker lost", {{"worker", m_worker.present().incarnation},
                      {"why", std::string(why)},
                      {"runs", absl::StrCat(m_runs.size())}});
  while (!m_runs.empty()) {
    EndRun(m_runs.begin(), end, why, crashed);
  }
  m_worker.Remove(std::string(m_worker.present().incarnation));
  ReportToAllEntries();
}

// A refused connection must not count as an answer: it would keep sending new
// work to a worker that is down.
void RunManager::HandleAnswer(const std::string& worker,
                              const CallAnswer& answer) {
  if (!m_worker.identified() || m_worker.present().incarnation != worker) {
    return;
  }
  switch (answer.verdict) {
    case CallVerdict::kUnknown:
      m_poller.RecordLostCall(m_now.mono);
      if (answer.disconnected) {
        SuspectRestart();
      }
      return;
    case CallVerdict::kOtherWorker:
      if (m_worker.withdrawn()) {
        HandleWorkerLost(RunEnd::kStopped, "withdrew", false);
        return;
      }
      HandleUnreachable();
      return;
    case CallVerdict::kUnreachable:
      HandleUnreachable();
      return;
    default:
      break;
  }
  if (answer.clock_ms > 0 && !m_worker.superseded() &&
      !m_worker.IsFromPresentIncarnation(worker, answer.clock_ms)) {
    SuspectRestart();  // the next incarnation carried the call out
    return;
  }
  m_worker.RecordAnswer(worker, answer, m_now.mono);
  if (answer.verdict == CallVerdict::kFenced) {
    m_worker.RaiseToken(m_now.mono);
  }
}

void RunManager::SuspectRestart() {
  if (!m_worker.MayHaveRestarted(m_now.mono)) {
    m_counters.Add(RunCounter::kRestartsSuspected);
  }
  m_worker.RecordDoubt(m_now.mono);
}

// Handle() reports the change to the entries at once, since the worker no
// longer accepts runs. Starts that were held back are better made elsewhere.
// The other runs may go on, since a network cut refuses connections as well.
void RunManager::HandleUnreachable() {
  SuspectRestart();
  if (m_worker.RecordUnreachable()) {
    Log("worker unreachable", {{"worker", m_worker.present().incarnation},
                               {"runs", absl::StrCat(m_runs.size())}});
  }
  for (auto it = m_runs.begin(); it != m_runs.end();) {
    const auto current = it++;
    if (current->second.start_calls == 0) {
      EndRun(current, RunEnd::kUnreachable, "held");
    }
  }
  if (m_worker.withdrawn() && m_runs.empty()) {
    HandleWorkerLost(RunEnd::kStopped, "withdrew", false);
  }
}

void RunManager::On(const StartAnswered& event) {
  const CallVerdict verdict = event.answer.verdict;
  const bool begun = verdict == CallVerdict::kDone &&
                     m_worker.IsFromPresentIncarnation(event.call.worker,
                                                       event.answer.clock_ms);
  HandleAnswer(event.call.worker, event.answer);
  const auto it = m_runs.find(event.call.key);
  if (it == m_runs.end()) {
    return;
  }
  it->second.begun = it->second.begun || begun;
  if (verdict == CallVerdict::kUnknown) {
    m_counters.Add(RunCounter::kStartsUnknown);
  }
  ManagedRun& run = it->second;
  switch (run.RecordStartAnswer(verdict, m_now.mono)) {
    case ManagedRun::StartOutcome::kRefused:
      EndRun(it, EndOfRefusal(run.refusal), CallVerdictName(run.refusal));
      return;
    case ManagedRun::StartOutcome::kUnknown:
      Log("start unanswered", {{"task", TaskText(it->first.task)},
                               {"run", absl::StrCat(it->first.run)},
                               {"calls", absl::StrCat(run.start_calls)}});
      return;
    case ManagedRun::StartOutcome::kPending:
    case ManagedRun::StartOutcome::kStarted:
      return;
  }
}

void RunManager::On(const StopAnswered& event) {
  HandleAnswer(event.call.worker, event.answer);
  const auto it = m_runs.find(event.call.key);
  if (it != m_runs.end() && event.answer.verdict == CallVerdict::kDone) {
    it->second.RecordStopAnswer(m_now.mono);
  }
}

// An answer whose clock is behind is from the next incarnation, even if it does
// not name one. Its lists and sequence numbers are not the present one's.
CallVerdict RunManager::VerdictOf(const PollAnswered& event) const {
  const CallAnswer& answer = event.answer.call;
  const bool of_present = answer.verdict == CallVerdict::kDone &&
                          m_worker.identified() && !m_worker.superseded() &&
                          m_worker.present().incarnation == event.call.worker;
  return of_present &&
                 !m_worker.IsFromPresentIncarnation(
                     event.call.worker, answer.clock_ms, event.requested_at)
             ? CallVerdict::kUnknown
             : answer.verdict;
}

void RunManager::On(const PollAnswered& event) {
  const CallVerdict verdict = VerdictOf(event);
  m_poller.RecordAnswer(event.call, verdict, m_now.mono);
  const bool behind = verdict != event.answer.call.verdict;
  if (verdict != CallVerdict::kDone &&
      (behind || event.answer.call.disconnected || m_poller.Idle())) {
    SuspectRestart();
  }
  if (verdict == CallVerdict::kOtherWorker) {
    HandleOtherWorker(event);
    return;
  }
  if (verdict != CallVerdict::kDone) {
    if (verdict == CallVerdict::kFenced) {
      HandleFencedPoll(event);
    } else if (verdict == CallVerdict::kUnreachable) {
      HandleAnswer(event.call.worker, event.answer.call);
    }
    return;
  }
  AdoptWorker(event);
  if (m_worker.identified() &&
      m_worker.present().incarnation == event.call.worker) {
    m_worker.RecordConfirmed(event.requested_at, event.answer.call.clock_ms,
                             m_now.mono);
    HandleEnds(event.answer);
    CheckAgainstList(event);
    StopUnknownRuns(event);
    RepeatStarts();
  }
}

// A later incarnation of the same worker may have started runs that were
// addressed to the former one, so the runs end only after that incarnation has
// been polled for its list.
void RunManager::HandleOtherWorker(const PollAnswered& event) {
  const CallAnswer& answer = event.answer.call;
  const std::string& called = event.call.worker;
  if (IsEarlierIncarnation(called, answer.incarnation)) {
    if (m_worker.RecordNewIncarnation(called, answer.incarnation,
                                      answer.clock_ms)) {
      Log("worker restarted", {{"worker", answer.incarnation},
                               {"former", called},
                               {"runs", absl::StrCat(m_runs.size())}});
      m_actions.push_back(m_poller.TakeCandidatePoll(m_worker));
    }
    return;
  }
  if (IsEarlierIncarnation(answer.incarnation, called)) {
    return;  // sent before the present incarnation started
  }
  if (m_worker.identified() && m_worker.present().incarnation == called) {
    HandleWorkerLost(RunEnd::kWorkerLost, "other_worker_answers",
                     !m_worker.present().leaving);
  }
  m_worker.Remove(called);
}

void RunManager::HandleFencedPoll(const PollAnswered& event) {
  if (m_worker.RecordFenced(event.call.worker, event.answer.call)) {
    m_actions.push_back(m_poller.TakeCandidatePoll(m_worker));
    return;
  }
  m_worker.RaiseToken(m_now.mono);
}

void RunManager::HandleEnds(const PollAnswer& answer) {
  for (const EndedRun& ended : m_poller.TakeNewEnds(answer)) {
    const auto it = m_runs.find(ended.key);
    if (it != m_runs.end()) {
      const std::string_view why =
          ended.end == WorkerRunEnd::kLapsed ? "lease_lapsed" : "worker_said";
      EndRun(it, EndOfWorkerRun(ended.end), why);
    }
  }
}

// Compares the tracked runs with the worker's list. Only runs that were ordered
// before the list was requested are affected.
void RunManager::CheckAgainstList(const PollAnswered& event) {
  const std::set<RunKey> listed(event.answer.running.begin(),
                                event.answer.running.end());
  for (auto it = m_runs.begin(); it != m_runs.end();) {
    const auto current = it++;
    ManagedRun& run = current->second;
    const bool is_listed = listed.contains(current->first);
    switch (run.ReconcileWithList(is_listed, event.requested_at, m_now.mono)) {
      case ManagedRun::ListOutcome::kKeep:
        break;
      case ManagedRun::ListOutcome::kStop:
        StopRun(current->first, run, "start_unanswered");
        break;
      case ManagedRun::ListOutcome::kEnded:
        EndRun(current, RunEnd::kStopped, "not_listed");
        break;
      case ManagedRun::ListOutcome::kStopped:
        EndRun(current, RunEnd::kStopped, "stopped");
        break;
    }
  }
}

void RunManager::EndRun(Runs::iterator run,
                        RunEnd end,
                        std::string_view why,
                        bool worker_crashed) {
  if (run->second.start_calls == 0) {
    end = RunEnd::kUnreachable;  // held back: no call has been made
  }
  const bool ran = !NeverStarted(end);
  const absl::Duration lasted = m_now.mono - run->second.started_at;
  RunReport report{.task = run->first.task,
                   .run = run->first.run,
                   .end = end,
                   .attempt = run->second.attempt};
  if (ran) {
    report.run_ms = static_cast<uint32_t>(absl::ToInt64Milliseconds(lasted));
  }
  if (end == RunEnd::kWorkerLost && run->second.begun) {
    report.loss =
        worker_crashed ? RunLoss::kWorkerCrashed : RunLoss::kWorkerGone;
  }
  if (end != RunEnd::kDone) {
    Log("run ended", {{"task", TaskText(report.task)},
                      {"run", absl::StrCat(report.run)},
                      {"attempt", absl::StrCat(report.attempt)},
                      {"end", std::string(RunCounterName(CounterOf(end)))},
                      {"why", std::string(why)},
                      {"begun", run->second.begun ? "yes" : "unknown"},
                      {"loss", LossText(report)},
                      {"ran_ms", absl::StrCat(report.run_ms)}});
  }
  const std::string entry = run->second.entry;
  const uint64_t incarnation = run->second.entry_incarnation;
  m_runs.erase(run);
  // Another process under the entry's name numbers its attempts anew, and could
  // take the report for that of a run of its own.
  if (m_entries.HasIncarnation(entry, incarnation)) {
    Report(entry, report);
  } else {
    m_counters.Add(CounterOf(end));
  }
}

void RunManager::Report(const std::string& entry, const RunReport& report) {
  m_counters.Add(CounterOf(report.end));
  m_recent_ends.Record(report, m_now.mono);
  m_entries.Report(entry, report);
}

// ---- Polls

PollNeeds RunManager::CurrentPollNeeds() const {
  const bool list =
      std::any_of(m_runs.begin(), m_runs.end(),
                  [](const auto& run) { return run.second.NeedsList(); });
  return {.runs = !m_runs.empty(), .list = list, .lease = MayExtendLease()};
}

// The runs of an unresponsive worker end by themselves when its lease expires.
// Only then may the entries start them elsewhere.
void RunManager::EndRunsOfUnresponsiveWorker() {
  const bool over = m_worker.identified() &&
                    m_worker.Unresponsive(m_now.mono) &&
                    m_worker.AllLeasesExpired(m_now.mono);
  if (over && m_worker.withdrawn()) {
    HandleWorkerLost(RunEnd::kStopped, "withdrew", false);
    return;
  }
  while (over && !m_runs.empty()) {
    EndRun(m_runs.begin(), RunEnd::kWorkerLost, "worker_silent");
  }
}

void RunManager::PollIfDue() {
  for (const PollCall& call :
       m_poller.TakeDue(m_worker, CurrentPollNeeds(), m_now.mono)) {
    m_actions.push_back(call);
  }
}

}  // namespace egretswitch::internal
