// The agent's decision logic: which runs its worker starts, continues and
// stops, and what is reported to the entries. Does no I/O; StepAgentDaemon
// carries out the actions.
//
//   PeerMessageReceived{entry-1, StartRuns{...}}          -> StartCall
//   PollAnswered{ended: run done}              -> SendRunMessage{entry-1,
//                                                 RunReports}
//   no message from entry-1 for kRunLease  -> StopCall
#ifndef EGRETSWITCH_SRC_RUN_MANAGER_H_
#define EGRETSWITCH_SRC_RUN_MANAGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "capacity_reservations.h"
#include "clock.h"
#include "entry_contacts.h"
#include "managed_run.h"
#include "recent_ends.h"
#include "run_counters.h"
#include "run_events.h"
#include "worker_poller.h"
#include "worker_state.h"

namespace egretswitch::internal {

class RunManager {
 public:
  // `data_centre` is the data centre of the worker, `max_lease` the longest
  // lease that it grants; 0 if unknown.
  explicit RunManager(std::string data_centre = "",
                      absl::Duration max_lease = absl::ZeroDuration())
      : m_data_centre(std::move(data_centre)), m_worker(max_lease) {}

  RunManagerActions Handle(const RunManagerEvent& event, Now now);

  // The time at which TimePassed is next due; infinite when no timer is set.
  MonoTime NextWake() const;

  // True once the drain is complete: no run is left, and no new one is
  // accepted.
  bool Finished() const { return m_draining && m_runs.empty(); }

  // Whether the worker's data centre is evacuated, so that it gets no new runs.
  bool Evacuated() const { return m_evacuations.Covers(m_data_centre); }

  const RunCounters& counters() const { return m_counters; }
  size_t runs() const { return m_runs.size(); }
  const WorkerState& worker() const { return m_worker; }

 private:
  using Runs = std::map<RunKey, ManagedRun>;

  void On(const PeerConnected& event);
  void On(const PeerDisconnected& event);
  void On(const PeerMessageReceived& event);
  void On(const TimePassed& event);
  void On(const DrainBegan& event);
  void On(const WorkerAnnounced& event);
  void On(const WorkerWithdrew& event);
  void On(const StartAnswered& event);
  void On(const StopAnswered& event);
  void On(const PollAnswered& event);

  void HandleStart(const std::string& entry, const StartRuns& start);
  void HandleStop(const std::string& entry, const StopRuns& stop);
  void HandleHint(const WorkerHint& hint);
  void HandleEvacuations(const std::string& entry,
                         const Evacuations& evacuations);
  void ReportUntrackedRuns(const std::string& entry,
                           const std::vector<OrderedRun>& ordered);
  void HandleRenew(const std::string& entry, const RenewRuns& renew);
  static bool IsWanted(const RunKey& key,
                       const ManagedRun& run,
                       const RenewRuns& renew);
  void RenewRunsOf(const std::string& entry, const RenewRuns& renew);
  bool AnySuspect() const;
  std::optional<RunEnd> ReasonNotToStart(const StartRuns& start) const;
  void BeginRun(const std::string& entry,
                const StartRuns& start,
                const RunStart& requested);

  void LogContradiction(const WorkerAnnouncement& announcement);
  void HandleCapacityChanged();
  void HandleOtherWorker(const PollAnswered& event);
  void AdoptWorker(const PollAnswered& event);
  void EndRunsNotListed(const std::vector<RunKey>& running,
                        const std::string& former,
                        bool crashed);
  void HandleWorkerLost(RunEnd end, std::string_view why, bool crashed);
  void HandleFencedPoll(const PollAnswered& event);
  void HandleEnds(const PollAnswer& answer);
  void CheckAgainstList(const PollAnswered& event);
  void StopUnknownRuns(const PollAnswered& event);
  void StopRunsOfUnresponsiveEntries();
  void StopRun(const RunKey& key, ManagedRun& run, std::string_view why);
  void CallStart(const RunKey& key, ManagedRun& run);
  void RepeatStarts();
  void HandleAnswer(const std::string& worker, const CallAnswer& answer);
  void HandleUnreachable();
  // The worker may have restarted under its id.
  void SuspectRestart();
  CallVerdict VerdictOf(const PollAnswered& event) const;
  void CallStop(const RunKey& key);
  void RepeatStops();
  void LogIfOverdue(const RunKey& key, ManagedRun& run);
  void EndRun(Runs::iterator run,
              RunEnd end,
              std::string_view why,
              bool worker_crashed = false);
  void Report(const std::string& entry, const RunReport& report);
  void Refuse(const std::string& entry,
              const StartRuns& start,
              const RunStart& requested,
              RunEnd end);

  void EndRunsOfUnresponsiveWorker();
  void PollIfDue();
  PollNeeds CurrentPollNeeds() const;
  bool MayExtendLease() const;
  // Whether a start may be called now; if not, it is held.
  bool MayCallStarts() const;

  TaskNeeds FreeCapacity() const;
  // Excludes the capacity that is reserved for other entries.
  TaskNeeds FreeCapacityFor(const std::string& entry) const;
  bool Accepting() const;
  WorkerStatus Status() const;
  void ReportToAllEntries();
  void ReserveFreeCapacity();
  void FlushReports();
  void Log(std::string_view event, std::vector<NoteField> fields);

  const std::string m_data_centre;
  RunManagerActions m_actions;
  Now m_now;
  WorkerState m_worker;
  WorkerPoller m_poller;
  Runs m_runs;
  // Since when the worker lists runs that are not in `m_runs`; infinite if it
  // does not.
  MonoTime m_unknown_runs_since = absl::InfiniteDuration();
  // When the latest such list was requested.
  MonoTime m_unknown_runs_seen_at = -absl::InfiniteDuration();
  EntryContacts m_entries;
  RecentEnds m_recent_ends;
  CapacityReservations m_reservations;
  Evacuations m_evacuations;
  RunCounters m_counters;
  bool m_draining = false;
  bool m_reported_accepting = false;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_MANAGER_H_
