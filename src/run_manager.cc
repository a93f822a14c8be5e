// A run begins when an entry requests it, and the entry sees its end as exactly
// one RunReport. In between only this agent calls the worker, so the recorded
// state (managed_run.h) is authoritative.
#include "run_manager.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "run_ends.h"
#include "run_limits.h"
#include "task_needs.h"

namespace egretswitch::internal {
RunManagerActions RunManager::Handle(const RunManagerEvent& event, Now now) {
  m_now = now;
  std::visit([this](const auto& happened) { On(happened); }, event);
  EndRunsOfUnresponsiveWorker();
  PollIfDue();
  if (Accepting() != m_reported_accepting) {
    ReportToAllEntries();
  }
  ReserveFreeCapacity();
  FlushReports();
  return std::exchange(m_actions, {});
}

MonoTime RunManager::NextWake() const {
  MonoTime wake = m_poller.NextDue(m_worker, CurrentPollNeeds());
  if (m_entries.HasCapacityRequests()) {
    wake = std::min(wake, m_reservations.NextExpiry(m_now.mono));
  }
  const bool may_start = MayCallStarts();
  for (const auto& [key, run] : m_runs) {
    if (run.state != ManagedRun::State::kStopping) {
      wake = std::min(wake, run.ExpiresAt());
      wake = std::min(wake, run.MayRetryStart() && may_start
                                ? run.next_start_call
                                : absl::InfiniteDuration());
    } else if (!run.stop_answered) {
      wake = std::min(wake, run.next_stop);
    }
  }
  return wake;
}

// ---- Entries

void RunManager::On(const PeerConnected& event) {
  const bool replaces =
      m_entries.RecordConnected(event.name, event.incarnation);
  for (auto& [key, run] : m_runs) {
    if (run.entry != event.name) {
      continue;
    }
    run.from_earlier_link = true;
    if (replaces && run.state != ManagedRun::State::kStopping) {
      m_counters.Add(RunCounter::kStoppedEntryReplaced);
      StopRun(key, run, "entry_replaced");
    }
  }
}

void RunManager::On(const PeerDisconnected& event) {
  if (!m_entries.RecordDisconnected(event.name, event.incarnation)) {
    return;
  }
  m_reservations.Release(event.name);
  const bool has_runs = std::any_of(
      m_runs.begin(), m_runs.end(),
      [&event](const auto& run) { return run.second.entry == event.name; });
  if (!has_runs) {
    m_entries.Remove(event.name);
  }
}

void RunManager::On(const PeerMessageReceived& event) {
  if (!m_entries.HasIncarnation(event.name, event.incarnation)) {
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
  } else if (const auto* evacuations = std::get_if<Evacuations>(&event.body)) {
    HandleEvacuations(event.name, *evacuations);
  }
}

// A hint is used only by an agent process that has no worker and no candidate
// yet.
void RunManager::HandleHint(const WorkerHint& hint) {
  const bool idle = !m_worker.identified() && !m_worker.candidate().has_value();
  if (idle && m_worker.Announce(hint.worker) == AnnouncementOutcome::kPoll) {
    m_actions.push_back(m_poller.TakeCandidatePoll(m_worker));
  }
}

// An entry sends its evacuation state before its first order, so no order
// arrives ahead of its sender's state. An older state than the one that is
// recorded is ignored.
void RunManager::HandleEvacuations(const std::string& entry,
                                   const Evacuations& evacuations) {
  if (!IsNewer(evacuations, m_evacuations)) {
    return;
  }
  const bool was_evacuated = Evacuated();
  m_evacuations = evacuations;
  if (Evacuated() != was_evacuated) {
    Log(Evacuated() ? "data centre evacuated" : "data centre taken back",
        {{"data_centre", m_data_centre},
         {"version", absl::StrCat(evacuations.through)},
         {"from", entry},
         {"runs", absl::StrCat(m_runs.size())}});
  }
}

void RunManager::HandleStart(const std::string& entry, const StartRuns& start) {
  m_entries.SetStartedThrough(entry, start.sequence);
  const std::optional<RunEnd> refusal = ReasonNotToStart(start);
  for (const RunStart& requested : start.runs) {
    if (refusal.has_value()) {
      Refuse(entry, start, requested, *refusal);
    } else if (requested.suspect_ms > 0 && AnySuspect()) {
      Refuse(entry, start, requested, RunEnd::kSuspectBeside);
    } else if (!Fits(start.needs, FreeCapacityFor(entry))) {
      m_entries.AddCapacityRequest(entry, {start.urgency, start.needs, 1});
      Refuse(entry, start, requested, RunEnd::kNoCapacity);
    } else {
      BeginRun(entry, start, requested);
    }
  }
  m_reservations.Release(entry);
}

// An entry cannot tell which of the tasks that were lost in one crash caused
// it. Suspects must not run together again: another crash would again implicate
// a task that does not crash workers.
bool RunManager::AnySuspect() const {
  return std::any_of(m_runs.begin(), m_runs.end(), [this](const auto& run) {
    return run.second.Suspect(m_now.mono);
  });
}

void RunManager::Refuse(const std::string& entry,
                        const StartRuns& start,
                        const RunStart& requested,
                        RunEnd end) {
  Report(entry, {.task = {start.job, start.step, requested.index},
                 .run = requested.run,
                 .end = end,
                 .attempt = start.attempt});
}

std::optional<RunEnd> RunManager::ReasonNotToStart(
    const StartRuns& start) const {
  const absl::Duration age = m_now.mono - absl::Milliseconds(start.sent_at_ms);
  if (!m_worker.identified() ||
      start.worker != m_worker.present().incarnation || age > kMaxStartAge) {
    return RunEnd::kStale;
  }
  if (Evacuated()) {
    return RunEnd::kEvacuated;
  }
  if (!Accepting()) {
    return RunEnd::kLeaving;
  }
  return std::nullopt;
}

void RunManager::BeginRun(const std::string& entry,
                          const StartRuns& start,
                          const RunStart& requested) {
  const RunKey key{{start.job, start.step, requested.index}, requested.run};
  if (m_runs.contains(key)) {
    // The key belongs to a run of a former attempt that is about to end.
    Refuse(entry, start, requested, RunEnd::kOldNumber);
    return;
  }
  ManagedRun& run = m_runs[key];
  run.entry = entry;
  run.entry_incarnation = m_entries.IncarnationOf(entry);
  run.attempt = start.attempt;
  run.wanted_at = absl::Milliseconds(start.sent_at_ms);
  run.needs = start.needs;
  run.spec = start.spec;
  run.state_since = m_now.mono;
  run.started_at = m_now.mono;
  run.suspect_for = absl::Milliseconds(requested.suspect_ms);
  run.next_start_call = m_now.mono;
  m_counters.Add(RunCounter::kRunsStarted);
  if (!MayCallStarts()) {
    m_counters.Add(RunCounter::kStartsHeld);
    return;  // called once a poll is answered that permits it
  }
  CallStart(key, run);
}

void RunManager::CallStart(const RunKey& key, ManagedRun& run) {
  run.RecordStartCall(m_now.mono);
  m_actions.push_back(StartCall{
      .worker = m_worker.present().incarnation,
      .key = key,
      .spec = run.spec,
      .lease_until_ms = MayExtendLease() ? m_worker.ExtendLease(m_now.mono)
                                         : m_worker.lease_until_ms(),
      .fencing_token = m_worker.fencing_token()});
}

// The next incarnation of a worker would start runs that are about to end. And
// without a lease, a worker refuses each start.
bool RunManager::MayCallStarts() const {
  return !m_worker.MayHaveRestarted(m_now.mono) &&
         (MayExtendLease() ||
          m_worker.GrantedLease(m_now.mono) > absl::ZeroDuration());
}

// Starts are idempotent: the worker ignores a start for a run that it already
// has or had. So a start may be repeated, and an earlier one that is carried
// out late does no harm. Runs whose lease has expired are left out: after a
// pause, an answer of the worker may be handled before the timer that stops
// them, and their entries may have restarted the tasks elsewhere.
void RunManager::RepeatStarts() {
  if (!MayCallStarts()) {
    return;
  }
  for (auto& [key, run] : m_runs) {
    const bool expired = m_now.mono >= run.ExpiresAt();
    if (!expired && run.MayRetryStart() && m_now.mono >= run.next_start_call) {
      if (run.start_calls > 0) {
        m_counters.Add(RunCounter::kStartsRepeated);
        m_poller.RecordLostCall(m_now.mono);
      }
      CallStart(key, run);
    }
  }
}

void RunManager::HandleRenew(const std::string& entry, const RenewRuns& renew) {
  RenewRunsOf(entry, renew);
  if (!renew.wanted.empty()) {
    m_entries.SetCapacityRequests(entry, renew.wanted);
  }
  ReportUntrackedRuns(entry, renew.ordered_before);
  m_entries.ScheduleReport(entry);
}

// No message of a former link is handled once a new one is up, so an order that
// has not arrived by now never will. A run that is neither tracked nor among
// the recent ends is therefore over or has never begun; RunEnd::kStopped is
// correct for both.
void RunManager::ReportUntrackedRuns(const std::string& entry,
                                     const std::vector<OrderedRun>& ordered) {
  for (const OrderedRun& run : ordered) {
    const auto tracked = m_runs.find({run.task, run.run});
    if (tracked != m_runs.end() && tracked->second.entry == entry &&
        tracked->second.attempt == run.attempt) {
      continue;
    }
    m_counters.Add(RunCounter::kRunsToldAgain);
    const RunReport* end = m_recent_ends.Find(run);
    m_entries.Report(entry, end != nullptr ? *end
                                           : RunReport{.task = run.task,
                                                       .run = run.run,
                                                       .end = RunEnd::kStopped,
                                                       .attempt = run.attempt});
  }
}

// ---- Reports to entries

TaskNeeds RunManager::FreeCapacity() const {
  if (!m_worker.identified()) {
    return {};
  }
  TaskNeeds free = m_worker.present().capacity;
  for (const auto& [key, run] : m_runs) {
    Subtract(free, run.needs);
  }
  return free;
}

TaskNeeds RunManager::FreeCapacityFor(const std::string& entry) const {
  TaskNeeds free = FreeCapacity();
  Subtract(free, m_reservations.ReservedForOthers(entry, m_now.mono));
  return free;
}

bool RunManager::Accepting() const {
  return m_worker.identified() && !m_worker.superseded() &&
         !m_worker.present().leaving && !m_draining && !Evacuated() &&
         !m_worker.Unresponsive(m_now.mono) && !m_worker.unreachable();
}

WorkerStatus RunManager::Status() const {
  WorkerStatus status;
  if (m_worker.identified()) {
    status.worker = m_worker.present().incarnation;
    status.service = m_worker.present().service;
    status.kind = m_worker.present().kind;
    status.capacity = m_worker.present().capacity;
  }
  status.accepting = Accepting();
  status.lease_bound_ms = static_cast<uint32_t>(absl::ToInt64Milliseconds(
      absl::Ceil(m_worker.LeaseBound(m_now.mono), absl::Milliseconds(1))));
  status.evacuations = m_evacuations.through;
  return status;
}

void RunManager::ReportToAllEntries() {
  m_reported_accepting = Accepting();
  m_entries.ScheduleReportToAll();
}

// An entry that waits for capacity sees it when its own runs end. An entry
// without runs here has no other source than this report, which is sent as soon
// as capacity is free.
void RunManager::ReserveFreeCapacity() {
  if (Accepting()) {
    TaskNeeds free = FreeCapacity();
    Subtract(free, m_reservations.ReservedForOthers("", m_now.mono));
    m_entries.ReserveCapacity(free, m_reservations, m_now.mono);
  }
}

void RunManager::FlushReports() {
  const auto free_for = [this](const std::string& entry) {
    return FreeCapacityFor(entry);
  };
  for (SendRunMessage& message :
       m_entries.TakeDue(Status(), free_for, m_now.mono)) {
    m_actions.push_back(std::move(message));
  }
}

void RunManager::On(const TimePassed&) {
  StopRunsOfUnresponsiveEntries();
  RepeatStarts();
  RepeatStops();
}

void RunManager::On(const DrainBegan&) {
  m_draining = true;
  Log("drain began", {{"runs", absl::StrCat(m_runs.size())}});
}

void RunManager::Log(std::string_view event, std::vector<NoteField> fields) {
  m_actions.push_back(NoteStateChange{std::string(event), std::move(fields)});
}

}  // namespace egretswitch::internal
