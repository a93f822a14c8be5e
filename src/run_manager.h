// An agent's decisions: which runs its worker starts, keeps and stops, and what
// the entries are told of it. No I/O; the shell carries out the actions.
//
//   PeerSaid{entry-1, StartRuns{...}}     -> StartCall
//   PollAnswered{ended: run done}         -> SendRunMessage{entry-1,
//   RunReports} nothing of entry-1 for kEntrySilence  -> StopCall
#ifndef EGRETSWITCH_SRC_RUN_MANAGER_H_
#define EGRETSWITCH_SRC_RUN_MANAGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "clock.h"
#include "entry_contacts.h"
#include "managed_run.h"
#include "recent_ends.h"
#include "room_promises.h"
#include "run_counters.h"
#include "run_events.h"
#include "worker_state.h"
#include "worker_poller.h"

namespace egretswitch::internal {

class RunManager {
 public:
  // `data_centre` is the worker's.
  explicit RunManager(std::string data_centre = "")
      : m_data_centre(std::move(data_centre)) {}

  RunManagerActions Handle(const RunManagerEvent& event, Now now);

  // When TimePassed is next due; infinite: nothing waits for time to pass.
  MonoTime NextWake() const;

  // Drained: nothing runs and nothing new is taken.
  bool Finished() const { return m_draining && m_runs.empty(); }

  // Whether the worker's data centre gets nothing new.
  bool Evacuated() const { return m_evacuations.Covers(m_data_centre); }

  const RunCounters& counters() const { return m_counters; }
  size_t runs() const { return m_runs.size(); }
  const WorkerState& worker() const { return m_worker; }

 private:
  using Runs = std::map<RunKey, ManagedRun>;

  void On(const PeerUp& event);
  void On(const PeerDown& event);
  void On(const PeerSaid& event);
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
  void HandleEvacuations(const std::string& entry, const Evacuations& told);
  void ReportThoseNotHeld(const std::string& entry,
                          const std::vector<OrderedRun>& ordered);
  void HandleRenew(const std::string& entry, const RenewRuns& renew);
  bool AnySuspect() const;
  std::optional<RunEnd> ReasonNotToStart(const StartRuns& start) const;
  void BeginRun(const std::string& entry,
                const StartRuns& start,
                const RunStart& wanted);

  void NoteContradiction(const WorkerAnnouncement& announcement);
  void NoteRoomChanged();
  void HandleOtherWorker(const PollAnswered& event);
  void AdoptWorker(const PollAnswered& event);
  void EndRunsNotListed(const std::vector<RunKey>& running,
                        const std::string& former,
                        bool crashed);
  void LoseWorker(RunEnd end, std::string_view why, bool crashed);
  void HandleFencedLook(const PollAnswered& event);
  void TakeEnds(const PollAnswer& answer);
  void CheckAgainstList(const PollAnswered& event);
  void StopStrangers(const std::vector<RunKey>& running);
  void StopRunsOfSilentEntries();
  void StopRun(const RunKey& key, ManagedRun& run, std::string_view why);
  void CallStart(const RunKey& key, ManagedRun& run);
  void RepeatStarts();
  void NoteAnswer(const std::string& worker, const CallAnswer& answer);
  void NoteAway();
  void CallStop(const RunKey& key);
  void RepeatStops();
  void EndRun(Runs::iterator run,
              RunEnd end,
              std::string_view why,
              bool worker_crashed = false);
  void Report(const std::string& entry, const RunReport& report);
  void Refuse(const std::string& entry,
              const StartRuns& start,
              const RunStart& wanted,
              RunEnd end);

  void EndRunsOfSilentWorker();
  void LookIfDue();
  PollNeeds NeedsOfLooks() const;

  TaskNeeds FreeNeeds() const;
  // Less what is promised to other entries.
  TaskNeeds FreeFor(const std::string& entry) const;
  bool Accepting() const;
  WorkerStatus Status() const;
  void TellEveryone();
  void NoticeRoom();
  void FlushReports();
  void Log(std::string_view what, std::vector<NoteField> fields);

  const std::string m_data_centre;
  RunManagerActions m_actions;
  Now m_now;
  WorkerState m_worker;
  WorkerPoller m_looks;
  Runs m_runs;
  EntryContacts m_entries;
  RecentEnds m_recent_ends;
  RoomPromises m_promises;
  Evacuations m_evacuations;
  RunCounters m_counters;
  bool m_draining = false;
  bool m_accepting_told = false;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_MANAGER_H_
