// A run begins when an entry asks for it and ends, for the entry, with one
// RunReport. Between the two the agent is the only one that calls its worker,
// so what it knows (kept_run.h) is what is.
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
  EndRunsOfSilentWorker();
  LookIfDue();
  if (Accepting() != m_accepting_told) {
    TellEveryone();
  }
  NoticeRoom();
  FlushReports();
  return std::exchange(m_actions, {});
}

MonoTime RunManager::NextWake() const {
  MonoTime wake = m_looks.NextDue(m_worker, NeedsOfLooks());
  if (m_entries.AnyWantsRoom()) {
    wake = std::min(wake, m_promises.NextLapse(m_now.mono));
  }
  for (const auto& [key, run] : m_runs) {
    if (run.state != ManagedRun::State::kStopping) {
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

void RunManager::On(const PeerUp& event) {
  if (!m_entries.LinkUp(event.name, event.incarnation)) {
    return;
  }
  for (auto& [key, run] : m_runs) {
    if (run.entry == event.name && run.state != ManagedRun::State::kStopping) {
      m_counters.Add(RunCounter::kStoppedEntryReplaced);
      StopRun(key, run, "entry_replaced");
    }
  }
}

void RunManager::On(const PeerDown& event) {
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

void RunManager::On(const PeerSaid& event) {
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
  } else if (const auto* told = std::get_if<Evacuations>(&event.body)) {
    HandleEvacuations(event.name, *told);
  }
}

// Of use only to a process that has not met its worker yet.
void RunManager::HandleHint(const WorkerHint& hint) {
  const bool idle = !m_worker.identified() && !m_worker.candidate().has_value();
  if (idle && m_worker.Announce(hint.worker) == AnnouncementOutcome::kLook) {
    m_actions.push_back(m_looks.TakeFirst(m_worker));
  }
}

// An entry tells its state before its first order, so no order comes here ahead
// of what its sender knows; and one that knows less than another entry did is
// turned away.
void RunManager::HandleEvacuations(const std::string& entry,
                                  const Evacuations& told) {
  if (!IsNewer(told, m_evacuations)) {
    return;
  }
  const bool was_evacuated = Evacuated();
  m_evacuations = told;
  if (Evacuated() != was_evacuated) {
    Log(Evacuated() ? "data centre evacuated" : "data centre taken back",
        {{"data_centre", m_data_centre},
         {"version", absl::StrCat(told.through)},
         {"from", entry},
         {"runs", absl::StrCat(m_runs.size())}});
  }
}

void RunManager::HandleStart(const std::string& entry, const StartRuns& start) {
  m_entries.StartedThrough(entry, start.sequence);
  m_entries.HeardFrom(entry, start.sent_at_ms);
  const std::optional<RunEnd> refusal = ReasonNotToStart(start);
  for (const RunStart& wanted : start.runs) {
    if (refusal.has_value()) {
      Refuse(entry, start, wanted, *refusal);
    } else if (wanted.suspect_ms > 0 && AnySuspect()) {
      Refuse(entry, start, wanted, RunEnd::kSuspectBeside);
    } else if (!Fits(start.needs, FreeFor(entry))) {
      m_entries.WantsRoomToo(entry, {start.urgency, start.needs, 1});
      Refuse(entry, start, wanted, RunEnd::kNoRoom);
    } else {
      BeginRun(entry, start, wanted);
    }
  }
  m_promises.Drop(entry);
}

// Tasks that were lost in the same crash look alike to every entry. Under the
// next crash they must not be together again, or a sound one is taken for the
// one that crashes workers.
bool RunManager::AnySuspect() const {
  return std::any_of(m_runs.begin(), m_runs.end(), [this](const auto& kept) {
    return kept.second.Suspect(m_now.mono);
  });
}

void RunManager::Refuse(const std::string& entry,
                       const StartRuns& start,
                       const RunStart& wanted,
                       RunEnd end) {
  Report(entry, {.task = {start.job, start.step, wanted.index},
                 .run = wanted.run,
                 .end = end,
                 .attempt = start.attempt});
}

std::optional<RunEnd> RunManager::ReasonNotToStart(
    const StartRuns& start) const {
  const absl::Duration age = m_now.mono - absl::Milliseconds(start.sent_at_ms);
  if (!m_worker.identified() || start.worker != m_worker.present().incarnation ||
      age > kStartFreshness) {
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
                         const RunStart& wanted) {
  const RunKey key{{start.job, start.step, wanted.index}, wanted.run};
  if (m_runs.contains(key)) {
    // Of a former attempt, and on its way to its end.
    Refuse(entry, start, wanted, RunEnd::kOldNumber);
    return;
  }
  ManagedRun& run = m_runs[key];
  run.entry = entry;
  run.attempt = start.attempt;
  run.needs = start.needs;
  run.spec = start.spec;
  run.since = m_now.mono;
  run.started_at = m_now.mono;
  run.suspect_for = absl::Milliseconds(wanted.suspect_ms);
  m_counters.Add(RunCounter::kRunsStarted);
  CallStart(key, run);
}

void RunManager::CallStart(const RunKey& key, ManagedRun& run) {
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
void RunManager::RepeatStarts() {
  if (m_worker.superseded()) {
    return;  // the next life would begin what is about to be given up
  }
  for (auto& [key, run] : m_runs) {
    if (run.MayCallAgain() && m_now.mono >= run.next_call) {
      m_counters.Add(RunCounter::kStartsRepeated);
      m_looks.NoteLostCall(m_now.mono);
      CallStart(key, run);
    }
  }
}

void RunManager::HandleStop(const std::string& entry, const StopRuns& stop) {
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
        it->second.state != ManagedRun::State::kStopping) {
      m_counters.Add(RunCounter::kStoppedByEntry);
      StopRun(it->first, it->second, "entry_asked");
    }
  }
}

void RunManager::HandleRenew(const std::string& entry, const RenewRuns& renew) {
  m_entries.HeardFrom(entry, renew.sent_at_ms);
  if (!renew.wanted.empty()) {
    m_entries.WantsRoom(entry, renew.wanted);
  }
  ReportThoseNotHeld(entry, renew.ordered_before);
  m_entries.TellSoon(entry);
}

// Nothing of a former link is handled once a new one is up. So an order that
// has not arrived never will, and a run that is neither held nor remembered is
// over or has never begun: "stopped" is true of both.
void RunManager::ReportThoseNotHeld(const std::string& entry,
                                   const std::vector<OrderedRun>& ordered) {
  for (const OrderedRun& run : ordered) {
    const auto held = m_runs.find({run.task, run.run});
    if (held != m_runs.end() && held->second.entry == entry &&
        held->second.attempt == run.attempt) {
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

void RunManager::StopRunsOfSilentEntries() {
  for (auto& [key, run] : m_runs) {
    if (run.state != ManagedRun::State::kStopping &&
        m_now.mono >= m_entries.SilentFrom(run.entry)) {
      m_counters.Add(RunCounter::kStoppedEntrySilent);
      StopRun(key, run, "entry_silent");
    }
  }
}

// ---- What the entries are told
// ------------------------------------------------------

TaskNeeds RunManager::FreeNeeds() const {
  if (!m_worker.identified()) {
    return {};
  }
  TaskNeeds free = m_worker.present().capacity;
  for (const auto& [key, run] : m_runs) {
    Subtract(free, run.needs);
  }
  return free;
}

TaskNeeds RunManager::FreeFor(const std::string& entry) const {
  TaskNeeds free = FreeNeeds();
  Subtract(free, m_promises.KeptFrom(entry, m_now.mono));
  return free;
}

bool RunManager::Accepting() const {
  return m_worker.identified() && !m_worker.superseded() &&
         !m_worker.present().leaving && !m_draining && !Evacuated() &&
         !m_worker.Silent(m_now.mono) && !m_worker.away();
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
  status.evacuations = m_evacuations.through;
  return status;
}

void RunManager::TellEveryone() {
  m_accepting_told = Accepting();
  m_entries.TellEveryone();
}

// An entry that waits for room hears of it from the ends of its own runs, and
// an entry without runs here from nobody else: it is told as soon as there is
// some.
void RunManager::NoticeRoom() {
  if (Accepting()) {
    TaskNeeds free = FreeNeeds();
    Subtract(free, m_promises.KeptFrom("", m_now.mono));
    m_entries.NoticeRoom(free, m_promises, m_now.mono);
  }
}

void RunManager::FlushReports() {
  const auto free_for = [this](const std::string& entry) {
    return FreeFor(entry);
  };
  for (SendRunMessage& message :
       m_entries.TakeDue(Status(), free_for, m_now.mono)) {
    m_actions.push_back(std::move(message));
  }
}

void RunManager::On(const TimePassed&) {
  StopRunsOfSilentEntries();
  RepeatStarts();
  RepeatStops();
}

void RunManager::On(const DrainBegan&) {
  m_draining = true;
  Log("drain began", {{"runs", absl::StrCat(m_runs.size())}});
}

void RunManager::Log(std::string_view what, std::vector<NoteField> fields) {
  m_actions.push_back(NoteStateChange{std::string(what), std::move(fields)});
}

}  // namespace egretswitch::internal
