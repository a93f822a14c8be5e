// A run begins when an entry asks for it and ends, for the entry, with one
// RunReport. Between the two the agent is the only one that calls its worker,
// so what it knows (kept_run.h) is what is.
#include "run_keeper.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "run_ends.h"
#include "run_limits.h"
#include "task_needs.h"

namespace egretswitch::internal {
RunKeeperActions RunKeeper::Handle(const RunKeeperEvent& event, Now now) {
  m_now = now;
  std::visit([this](const auto& happened) { On(happened); }, event);
  EndRunsOfSilentWorker();
  LookIfDue();
  if (Accepting() != m_accepting_told) {
    TellEveryone();
  }
  NoticeRoom();
  FlushReports();
  return std::exchange(m_actions, {});
}

MonoTime RunKeeper::NextWake() const {
  MonoTime wake = m_looks.NextDue(m_worker, NeedsOfLooks());
  if (m_entries.AnyWantsRoom()) {
    wake = std::min(wake, m_promises.NextLapse(m_now.mono));
  }
  for (const auto& [key, run] : m_runs) {
    if (run.state != KeptRun::State::kStopping) {
      wake = std::min(wake, m_entries.SilentFrom(run.entry));
      wake = std::min(
          wake, run.MayCallAgain() ? run.next_call : absl::InfiniteDuration());
    } else if (!run.stop_answered) {
      wake = std::min(wake, run.next_stop);
    }
  }
  return wake;
}

// ---- Entries
// ------------------------------------------------------------------

void RunKeeper::On(const PeerUp& event) {
  if (!m_entries.LinkUp(event.name, event.incarnation)) {
    return;
  }
  for (auto& [key, run] : m_runs) {
    if (run.entry == event.name && run.state != KeptRun::State::kStopping) {
      m_counters.Add(RunCounter::kStoppedEntryReplaced);
      StopRun(key, run, "entry_replaced");
    }
  }
}

void RunKeeper::On(const PeerDown& event) {
  if (!m_entries.LinkDown(event.name, event.incarnation)) {
    return;
  }
  m_promises.Drop(event.name);
  const bool has_runs = std::any_of(
      m_runs.begin(), m_runs.end(),
      [&event](const auto& run) { return run.second.entry == event.name; });
  if (!has_runs) {
    m_entries.Forget(event.name);
  }
}

void RunKeeper::On(const PeerSaid& event) {
  if (!m_entries.Knows(event.name, event.incarnation)) {
    return;
  }
  if (const auto* start = std::get_if<StartRuns>(&event.body)) {
    HandleStart(event.name, *start);
  } else if (const auto* stop = std::get_if<StopRuns>(&event.body)) {
    HandleStop(event.name, *stop);
  } else if (const auto* renew = std::get_if<RenewRuns>(&event.body)) {
    HandleRenew(event.name, *renew);
  } else if (const auto* hint = std::get_if<WorkerHint>(&event.body)) {
    HandleHint(*hint);
  }
}

// Of use only to a process that has not met its worker yet.
void RunKeeper::HandleHint(const WorkerHint& hint) {
  const bool idle = !m_worker.known() && !m_worker.candidate().has_value();
  if (idle && m_worker.Announce(hint.worker) == AnnouncementOutcome::kLook) {
    m_actions.push_back(m_looks.TakeFirst(m_worker));
  }
}

void RunKeeper::HandleStart(const std::string& entry, const StartRuns& start) {
  m_entries.StartedThrough(entry, start.sequence);
  m_entries.HeardFrom(entry, start.sent_at_ms);
  const std::optional<RunEnd> refusal = ReasonNotToStart(start);
  for (const RunStart& wanted : start.runs) {
    if (refusal.has_value()) {
      Refuse(entry, start, wanted, *refusal);
    } else if (!Fits(start.needs, FreeFor(entry))) {
      m_entries.WantsRoomToo(entry, {start.urgency, start.needs, 1});
      Refuse(entry, start, wanted, RunEnd::kNoRoom);
    } else {
      BeginRun(entry, start, wanted);
    }
  }
  m_promises.Drop(entry);
}

void RunKeeper::Refuse(const std::string& entry,
                       const StartRuns& start,
                       const RunStart& wanted,
                       RunEnd end) {
  Report(entry, {.task = {start.job, start.step, wanted.index},
                 .run = wanted.run,
                 .end = end,
                 .attempt = start.attempt});
}

std::optional<RunEnd> RunKeeper::ReasonNotToStart(
    const StartRuns& start) const {
  const absl::Duration age = m_now.mono - absl::Milliseconds(start.sent_at_ms);
  if (!m_worker.known() || start.worker != m_worker.present().incarnation ||
      age > kStartFreshness) {
    return RunEnd::kStale;
  }
  if (!Accepting()) {
    return RunEnd::kLeaving;
  }
  return std::nullopt;
}

void RunKeeper::BeginRun(const std::string& entry,
                         const StartRuns& start,
                         const RunStart& wanted) {
  const RunKey key{{start.job, start.step, wanted.index}, wanted.run};
  if (m_runs.contains(key)) {
    // Of a former attempt, and on its way to its end.
    Refuse(entry, start, wanted, RunEnd::kOldNumber);
    return;
  }
  KeptRun& run = m_runs[key];
  run.entry = entry;
  run.attempt = start.attempt;
  run.needs = start.needs;
  run.spec = start.spec;
  run.since = m_now.mono;
  m_counters.Add(RunCounter::kRunsStarted);
  CallStart(key, run);
}

void RunKeeper::CallStart(const RunKey& key, KeptRun& run) {
  run.NoteCall(m_now.mono);
  m_actions.push_back(
      StartCall{.worker = m_worker.present().incarnation,
                .key = key,
                .spec = run.spec,
                .lease_until_ms = m_worker.ExtendLease(m_now.mono),
                .fencing_token = m_worker.fencing_token()});
}

// The worker does nothing for a run that is there or was there, so a start may
// be sent again, and an earlier one that is carried out late does no harm.
void RunKeeper::RepeatStarts() {
  for (auto& [key, run] : m_runs) {
    if (run.MayCallAgain() && m_now.mono >= run.next_call) {
      m_counters.Add(RunCounter::kStartsRepeated);
      m_looks.NoteLostCall(m_now.mono);
      CallStart(key, run);
    }
  }
}

void RunKeeper::HandleStop(const std::string& entry, const StopRuns& stop) {
  const auto is_named = [&stop](const RunKey& key) {
    return std::any_of(
        stop.runs.begin(), stop.runs.end(), [&](const RunStart& run) {
          return key == RunKey{{stop.job, stop.step, run.index}, run.run};
        });
  };
  const RunKey first{{stop.job, 0, 0}, 0};
  for (auto it = m_runs.lower_bound(first);
       it != m_runs.end() && it->first.task.job == stop.job; ++it) {
    const bool meant = stop.runs.empty() || is_named(it->first);
    if (meant && it->second.entry == entry &&
        it->second.state != KeptRun::State::kStopping) {
      m_counters.Add(RunCounter::kStoppedByEntry);
      StopRun(it->first, it->second, "entry_asked");
    }
  }
}

void RunKeeper::HandleRenew(const std::string& entry, const RenewRuns& renew) {
  m_entries.HeardFrom(entry, renew.sent_at_ms);
  if (!renew.wanted.empty()) {
    m_entries.WantsRoom(entry, renew.wanted);
  }
  m_entries.TellSoon(entry);
}

void RunKeeper::StopRunsOfSilentEntries() {
  for (auto& [key, run] : m_runs) {
    if (run.state != KeptRun::State::kStopping &&
        m_now.mono >= m_entries.SilentFrom(run.entry)) {
      m_counters.Add(RunCounter::kStoppedEntrySilent);
      StopRun(key, run, "entry_silent");
    }
  }
}

// ---- The worker
// -----------------------------------------------------------------

void RunKeeper::On(const WorkerAnnounced& event) {
  const bool was_leaving = m_worker.known() && m_worker.present().leaving;
  switch (m_worker.Announce(event.announcement)) {
    case AnnouncementOutcome::kNothingNew:
      break;
    case AnnouncementOutcome::kLook:
      m_actions.push_back(m_looks.TakeFirst(m_worker));
      break;
    case AnnouncementOutcome::kContradicts:
      NoteContradiction(event.announcement);
  }
  if (m_worker.known() && m_worker.present().leaving && !was_leaving) {
    Log("worker leaves", {{"worker", m_worker.present().incarnation},
                          {"runs", absl::StrCat(m_runs.size())}});
  }
}

void RunKeeper::NoteContradiction(const WorkerAnnouncement& announcement) {
  m_counters.Add(RunCounter::kReportsUnreadable);
  m_actions.push_back(
      NoteStateChange{"worker's report contradicts earlier ones",
                      {{"worker", announcement.incarnation},
                       {"service", announcement.service},
                       {"kind", announcement.kind},
                       {"sequence", absl::StrCat(announcement.sequence)}},
                      true});
}

void RunKeeper::On(const WorkerWithdrew& event) {
  if (m_worker.known() && m_worker.present().incarnation == event.incarnation) {
    LoseWorker("withdrew");
  }
  m_worker.Forget(event.incarnation);
}

void RunKeeper::AdoptWorker(const std::string& incarnation,
                            const CallAnswer& answer) {
  const std::string former =
      m_worker.known() ? m_worker.present().incarnation : "none";
  if (!m_worker.HeardFrom(incarnation, answer, m_now.mono)) {
    return;
  }
  m_counters.Add(RunCounter::kWorkersAdopted);
  Log("worker adopted", {{"worker", incarnation},
                         {"former", former},
                         {"service", m_worker.present().service},
                         {"kind", m_worker.present().kind}});
  while (!m_runs.empty()) {
    EndRun(m_runs.begin(), RunEnd::kStopped, "worker_replaced");
  }
  m_looks.StartOver(m_now.mono);
  TellEveryone();
}

void RunKeeper::LoseWorker(std::string_view why) {
  m_counters.Add(RunCounter::kWorkersLost);
  Log("worker lost", {{"worker", m_worker.present().incarnation},
                      {"why", std::string(why)},
                      {"runs", absl::StrCat(m_runs.size())}});
  while (!m_runs.empty()) {
    EndRun(m_runs.begin(), RunEnd::kStopped, why);
  }
  m_worker.Forget(std::string(m_worker.present().incarnation));
  TellEveryone();
}

void RunKeeper::NoteAnswer(const std::string& worker,
                           const CallAnswer& answer) {
  const bool present =
      m_worker.known() && m_worker.present().incarnation == worker;
  if (present && answer.verdict != CallVerdict::kUnknown) {
    m_worker.HeardFrom(worker, answer, m_now.mono);
  } else if (present) {
    m_looks.NoteLostCall(m_now.mono);
  }
  if (present && answer.verdict == CallVerdict::kFenced) {
    m_worker.RaiseToken(m_now.mono);
  }
}

void RunKeeper::On(const StartAnswered& event) {
  const CallVerdict verdict = event.answer.verdict;
  NoteAnswer(event.call.worker, event.answer);
  const auto it = m_runs.find(event.call.key);
  if (it == m_runs.end()) {
    return;
  }
  if (verdict == CallVerdict::kUnknown) {
    m_counters.Add(RunCounter::kStartsUnknown);
  }
  KeptRun& run = it->second;
  switch (run.NoteStartAnswer(verdict, m_now.mono)) {
    case KeptRun::StartOutcome::kRefused:
      EndRun(it, EndOfRefusal(run.refusal), CallVerdictName(run.refusal));
      return;
    case KeptRun::StartOutcome::kUnknown:
      Log("start unanswered", {{"task", TaskText(it->first.task)},
                               {"run", absl::StrCat(it->first.run)},
                               {"calls", absl::StrCat(run.calls)}});
      return;
    case KeptRun::StartOutcome::kOpen:
    case KeptRun::StartOutcome::kStarted:
      return;
  }
}

void RunKeeper::On(const StopAnswered& event) {
  NoteAnswer(event.call.worker, event.answer);
  const auto it = m_runs.find(event.call.key);
  if (it != m_runs.end() && event.answer.verdict == CallVerdict::kDone) {
    it->second.NoteStopAnswered(m_now.mono);
  }
}

void RunKeeper::On(const LookAnswered& event) {
  const CallVerdict verdict = event.answer.call.verdict;
  m_looks.Answered(event.call, verdict, m_now.mono);
  if (verdict == CallVerdict::kOtherWorker) {
    if (m_worker.known() &&
        m_worker.present().incarnation == event.call.worker) {
      LoseWorker("other_worker_answers");
    }
    m_worker.Forget(event.call.worker);
    return;
  }
  if (verdict != CallVerdict::kDone) {
    if (verdict == CallVerdict::kFenced) {
      HandleFencedLook(event);
    }
    return;
  }
  AdoptWorker(event.call.worker, event.answer.call);
  if (m_worker.known() && m_worker.present().incarnation == event.call.worker) {
    TakeEnds(event.answer);
    CheckAgainstList(event);
    StopStrangers(event.answer.running);
  }
}

void RunKeeper::HandleFencedLook(const LookAnswered& event) {
  if (m_worker.NoteFenced(event.call.worker, event.answer.call)) {
    m_actions.push_back(m_looks.TakeFirst(m_worker));
    return;
  }
  m_worker.RaiseToken(m_now.mono);
}

void RunKeeper::TakeEnds(const LookAnswer& answer) {
  for (const EndedRun& ended : m_looks.TakeNewEnds(answer)) {
    const auto it = m_runs.find(ended.key);
    if (it != m_runs.end()) {
      const std::string_view why =
          ended.end == WorkerRunEnd::kLapsed ? "lease_lapsed" : "worker_said";
      EndRun(it, EndOfWorkerRun(ended.end), why);
    }
  }
}

// Compares with the list of what runs those runs that the worker had been told
// of before it was asked.
void RunKeeper::CheckAgainstList(const LookAnswered& event) {
  const std::set<RunKey> listed(event.answer.running.begin(),
                                event.answer.running.end());
  for (auto it = m_runs.begin(); it != m_runs.end();) {
    const auto current = it++;
    KeptRun& run = current->second;
    const bool is_listed = listed.contains(current->first);
    switch (run.NoteList(is_listed, event.asked_at, m_now.mono)) {
      case KeptRun::ListOutcome::kKeep:
        break;
      case KeptRun::ListOutcome::kStop:
        StopRun(current->first, run, "start_unanswered");
        break;
      case KeptRun::ListOutcome::kGone:
        EndRun(current, RunEnd::kStopped, "not_listed");
        break;
      case KeptRun::ListOutcome::kStopped:
        EndRun(current, RunEnd::kStopped, "stopped");
        break;
    }
  }
}

// What runs without being known here was started by a former agent process, or
// by a call that was carried out late: no entry waits for its end.
void RunKeeper::StopStrangers(const std::vector<RunKey>& running) {
  for (const RunKey& key : running) {
    if (!m_runs.contains(key)) {
      m_counters.Add(RunCounter::kStoppedStranger);
      Log("stranger stopped",
          {{"task", TaskText(key.task)}, {"run", absl::StrCat(key.run)}});
      CallStop(key);
    }
  }
}

void RunKeeper::StopRun(const RunKey& key, KeptRun& run, std::string_view why) {
  run.BeginStop(m_now.mono);
  Log("run stopped", {{"task", TaskText(key.task)},
                      {"run", absl::StrCat(key.run)},
                      {"entry", run.entry},
                      {"why", std::string(why)}});
  CallStop(key);
}

void RunKeeper::CallStop(const RunKey& key) {
  m_actions.push_back(StopCall{.worker = m_worker.present().incarnation,
                               .key = key,
                               .fencing_token = m_worker.fencing_token()});
}

void RunKeeper::RepeatStops() {
  for (auto& [key, run] : m_runs) {
    if (run.state == KeptRun::State::kStopping && !run.stop_answered &&
        m_now.mono >= run.next_stop) {
      run.next_stop = m_now.mono + kStopRetry;
      CallStop(key);
    }
  }
}

void RunKeeper::EndRun(Runs::iterator run, RunEnd end, std::string_view why) {
  const bool ran = !NeverStarted(end);
  const absl::Duration lasted = m_now.mono - run->second.started_at;
  RunReport report{.task = run->first.task,
                   .run = run->first.run,
                   .end = end,
                   .attempt = run->second.attempt};
  if (ran) {
    report.run_ms = static_cast<uint32_t>(absl::ToInt64Milliseconds(lasted));
  }
  if (end != RunEnd::kDone) {
    Log("run ended", {{"task", TaskText(report.task)},
                      {"run", absl::StrCat(report.run)},
                      {"end", std::string(RunCounterName(CounterOf(end)))},
                      {"why", std::string(why)},
                      {"ran_ms", absl::StrCat(report.run_ms)}});
  }
  const std::string entry = run->second.entry;
  m_runs.erase(run);
  Report(entry, report);
}

void RunKeeper::Report(const std::string& entry, const RunReport& report) {
  m_counters.Add(CounterOf(report.end));
  m_entries.Report(entry, report);
}

// ---- Looks
// ------------------------------------------------------------------------

LookNeeds RunKeeper::NeedsOfLooks() const {
  const bool list =
      std::any_of(m_runs.begin(), m_runs.end(),
                  [](const auto& kept) { return kept.second.Doubtful(); });
  return {.runs = !m_runs.empty(), .list = list};
}

// What runs on a worker that has long been silent has ended by itself once its
// lease is over: only then may the entries run it elsewhere.
void RunKeeper::EndRunsOfSilentWorker() {
  const bool over = m_worker.known() && m_worker.Silent(m_now.mono) &&
                    m_worker.CertainlyOver(m_now.mono);
  while (over && !m_runs.empty()) {
    EndRun(m_runs.begin(), RunEnd::kStopped, "worker_silent");
  }
}

void RunKeeper::LookIfDue() {
  for (const LookCall& call :
       m_looks.TakeDue(m_worker, NeedsOfLooks(), m_now.mono)) {
    m_actions.push_back(call);
  }
}

// ---- What the entries are told
// ------------------------------------------------------

TaskNeeds RunKeeper::FreeNeeds() const {
  if (!m_worker.known()) {
    return {};
  }
  TaskNeeds free = m_worker.present().capacity;
  for (const auto& [key, run] : m_runs) {
    Subtract(free, run.needs);
  }
  return free;
}

TaskNeeds RunKeeper::FreeFor(const std::string& entry) const {
  TaskNeeds free = FreeNeeds();
  Subtract(free, m_promises.KeptFrom(entry, m_now.mono));
  return free;
}

bool RunKeeper::Accepting() const {
  return m_worker.known() && !m_worker.present().leaving && !m_draining &&
         !m_worker.Silent(m_now.mono);
}

WorkerStatus RunKeeper::Status() const {
  WorkerStatus status;
  if (m_worker.known()) {
    status.worker = m_worker.present().incarnation;
    status.service = m_worker.present().service;
    status.kind = m_worker.present().kind;
    status.capacity = m_worker.present().capacity;
  }
  status.accepting = Accepting();
  return status;
}

void RunKeeper::TellEveryone() {
  m_accepting_told = Accepting();
  m_entries.TellEveryone();
}

// An entry that waits for room hears of it from the ends of its own runs, and
// an entry without runs here from nobody else: it is told as soon as there is
// some.
void RunKeeper::NoticeRoom() {
  if (Accepting()) {
    TaskNeeds free = FreeNeeds();
    Subtract(free, m_promises.KeptFrom("", m_now.mono));
    m_entries.NoticeRoom(free, m_promises, m_now.mono);
  }
}

void RunKeeper::FlushReports() {
  const auto free_for = [this](const std::string& entry) {
    return FreeFor(entry);
  };
  for (SendRunMessage& message :
       m_entries.TakeDue(Status(), free_for, m_now.mono)) {
    m_actions.push_back(std::move(message));
  }
}

void RunKeeper::On(const TimePassed&) {
  StopRunsOfSilentEntries();
  RepeatStarts();
  RepeatStops();
}

void RunKeeper::On(const DrainBegan&) {
  m_draining = true;
  Log("drain began", {{"runs", absl::StrCat(m_runs.size())}});
}

void RunKeeper::Log(std::string_view what, std::vector<NoteField> fields) {
  m_actions.push_back(NoteStateChange{std::string(what), std::move(fields)});
}

}  // namespace egretswitch::internal
