// Which runs an agent stops: those that their entry does not want any more, or
// is not heard to want, and those that the worker lists and no entry awaits.
//
//   RenewRuns{wanted_attempts: 14}   -> StopCall for the runs of attempt 12
//   no answer to it for kStopRetry   -> StopCall again
//   ... for kStopOverdue             -> no call extends the worker's lease
//   PollAnswered{unknown run}        -> StopCall, and the same at once
#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/str_cat.h"
#include "duration_text.h"
#include "run_limits.h"
#include "run_manager.h"

namespace egretswitch::internal {

// ---- Runs that their entry does not want

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
    const bool matches = stop.runs.empty() || is_named(it->first);
    if (matches && it->second.entry == entry &&
        it->second.state != ManagedRun::State::kStopping) {
      m_counters.Add(RunCounter::kStoppedByEntry);
      StopRun(it->first, it->second, "entry_asked");
    }
  }
}

// An entry of the former version names no attempts. On each new link it lists
// the runs that it wants of those started before, in its first renewal if there
// are any; it may have lost an order to stop the others. Its further renewals
// want all runs.
bool RunManager::IsWanted(const RunKey& key,
                          const ManagedRun& run,
                          const RenewRuns& renew) {
  if (renew.wanted_attempts.has_value()) {
    const std::vector<uint64_t>& attempts = *renew.wanted_attempts;
    return std::find(attempts.begin(), attempts.end(), run.attempt) !=
           attempts.end();
  }
  return !run.from_earlier_link ||
         std::any_of(renew.ordered_before.begin(), renew.ordered_before.end(),
                     [&](const OrderedRun& ordered) {
                       return key == RunKey{ordered.task, ordered.run} &&
                              run.attempt == ordered.attempt;
                     });
}

// A run that a later message wanted than this renewal is not stopped.
void RunManager::RenewRunsOf(const std::string& entry, const RenewRuns& renew) {
  const MonoTime sent_at = absl::Milliseconds(renew.sent_at_ms);
  for (auto& [key, run] : m_runs) {
    if (run.entry != entry || run.state == ManagedRun::State::kStopping) {
      continue;
    }
    if (IsWanted(key, run, renew)) {
      run.wanted_at = std::max(run.wanted_at, sent_at);
      run.from_earlier_link = false;
    } else if (run.wanted_at <= sent_at) {
      m_counters.Add(RunCounter::kStoppedNotWanted);
      StopRun(key, run, "not_wanted");
    }
  }
}

void RunManager::StopRunsOfUnresponsiveEntries() {
  for (auto& [key, run] : m_runs) {
    if (run.state != ManagedRun::State::kStopping &&
        m_now.mono >= run.ExpiresAt()) {
      m_counters.Add(RunCounter::kStoppedEntrySilent);
      StopRun(key, run, "entry_silent");
    }
  }
}

// ---- Stops at the worker

// A listed run that is not tracked was started by a former agent process or by
// a call that was carried out late. No entry waits for its end. A list that was
// requested before the end of a run may still have it. Answers may overtake
// each other, so only a list that was requested later shows that a run is gone.
void RunManager::StopUnknownRuns(const PollAnswered& event) {
  std::vector<RunKey> unknown;
  for (const RunKey& key : event.answer.running) {
    if (!m_runs.contains(key) &&
        !m_recent_ends.RecordedSince(key, event.requested_at)) {
      unknown.push_back(key);
    }
  }
  if (!unknown.empty()) {
    m_unknown_runs_since = std::min(m_unknown_runs_since, m_now.mono);
    m_unknown_runs_seen_at =
        std::max(m_unknown_runs_seen_at, event.requested_at);
  } else if (event.requested_at > m_unknown_runs_seen_at) {
    m_unknown_runs_since = absl::InfiniteDuration();
  }
  for (const RunKey& key : unknown) {
    m_counters.Add(RunCounter::kStoppedStranger);
    Log("unknown run stopped",
        {{"task", TaskText(key.task)},
         {"run", absl::StrCat(key.run)},
         {"listed_for_ms", MillisecondsText(m_now.mono - m_unknown_runs_since)},
         {"granted_ms", MillisecondsText(m_worker.GrantedLease(m_now.mono))}});
    CallStop(key);
  }
}

void RunManager::StopRun(const RunKey& key,
                         ManagedRun& run,
                         std::string_view why) {
  run.BeginStop(m_now.mono);
  Log("run stopped", {{"task", TaskText(key.task)},
                      {"run", absl::StrCat(key.run)},
                      {"entry", run.entry},
                      {"attempt", absl::StrCat(run.attempt)},
                      {"why", std::string(why)}});
  CallStop(key);
}

void RunManager::CallStop(const RunKey& key) {
  m_actions.push_back(StopCall{.worker = m_worker.present().incarnation,
                               .key = key,
                               .fencing_token = m_worker.fencing_token()});
}

void RunManager::RepeatStops() {
  for (auto& [key, run] : m_runs) {
    if (run.state == ManagedRun::State::kStopping && !run.stop_answered &&
        m_now.mono >= run.next_stop) {
      run.next_stop = m_now.mono + kStopRetry;
      CallStop(key);
      LogIfOverdue(key, run);
    }
  }
}

void RunManager::LogIfOverdue(const RunKey& key, ManagedRun& run) {
  if (run.overdue_logged || m_now.mono < run.stop_overdue_at) {
    return;
  }
  run.overdue_logged = true;
  m_counters.Add(RunCounter::kStopsOverdue);
  Log("stop overdue", {{"task", TaskText(key.task)},
                       {"run", absl::StrCat(key.run)},
                       {"attempt", absl::StrCat(run.attempt)},
                       {"worker", m_worker.present().incarnation}});
}

// All runs on the worker share one lease. What extends it for the others also
// keeps a run alive whose stops get lost, and that run's task may start
// elsewhere soon. An unknown run may be at the end of the time that its own
// agent had allowed it, which this process cannot know. So the lease is not
// extended for a moment beside it: if agents are replaced one after the other,
// each of them would add to its time. After a pause, an answer of the worker
// may be handled before the timer that stops the runs that expired in it. A
// withdrawn worker that refuses connections has most likely ended: the sooner
// its lease has certainly expired, the sooner its tasks start elsewhere.
bool RunManager::MayExtendLease() const {
  return !(m_worker.withdrawn() && m_worker.unreachable()) &&
         m_unknown_runs_since == absl::InfiniteDuration() &&
         std::none_of(m_runs.begin(), m_runs.end(), [this](const auto& run) {
           return m_now.mono >= run.second.stop_overdue_at ||
                  m_now.mono >= run.second.ExpiresAt();
         });
}

}  // namespace egretswitch::internal
