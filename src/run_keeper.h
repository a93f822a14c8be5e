// An agent's decisions: which runs its worker starts, keeps and stops, and what
// the entries are told of it. No I/O; the shell carries out the actions.
//
//   PeerSaid{entry-1, StartRuns{...}}     -> StartCall
//   LookAnswered{ended: run done}         -> SendRunMessage{entry-1,
//   RunReports} nothing of entry-1 for kRunLease  -> StopCall
#ifndef EGRETSWITCH_SRC_RUN_KEEPER_H_
#define EGRETSWITCH_SRC_RUN_KEEPER_H_

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
#include "kept_run.h"
#include "recent_ends.h"
#include "run_counters.h"
#include "run_events.h"
#include "watched_worker.h"
#include "worker_looks.h"

namespace egretswitch::internal {

class RunKeeper {
 public:
  // `data_centre` is the worker's.
  explicit RunKeeper(std::string data_centre = "")
      : m_data_centre(std::move(data_centre)) {}

  RunKeeperActions Handle(const RunKeeperEvent& event, Now now);

  // When TimePassed is next due; infinite: nothing waits for time to pass.
  MonoTime NextWake() const;

  // Drained: nothing runs and nothing new is taken.
  bool Finished() const { return m_draining && m_runs.empty(); }

  // Whether the worker's data centre gets nothing new.
  bool Evacuated() const { return m_evacuations.Covers(m_data_centre); }

  const RunCounters& counters() const { return m_counters; }
  size_t runs() const { return m_runs.size(); }
  const WatchedWorker& worker() const { return m_worker; }

 private:
  using Runs = std::map<RunKey, KeptRun>;

  void On(const PeerUp& event);
  void On(const PeerDown& event);
  void On(const PeerSaid& event);
  void On(const TimePassed& event);
  void On(const DrainBegan& event);
  void On(const WorkerAnnounced& event);
  void On(const WorkerWithdrew& event);
  void On(const StartAnswered& event);
  void On(const StopAnswered& event);
  void On(const LookAnswered& event);

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
  void HandleOtherWorker(const LookAnswered& event);
  void AdoptWorker(const LookAnswered& event);
  void EndRunsNotListed(const std::vector<RunKey>& running,
                        const std::string& former,
                        bool crashed);
  void LoseWorker(RunEnd end, std::string_view why, bool crashed);
  void HandleFencedLook(const LookAnswered& event);
  void TakeEnds(const LookAnswer& answer);
  void CheckAgainstList(const LookAnswered& event);
  void StopStrangers(const std::vector<RunKey>& running);
  void StopRunsOfSilentEntries();
  void StopRun(const RunKey& key, KeptRun& run, std::string_view why);
  void CallStart(const RunKey& key, KeptRun& run);
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
  LookNeeds NeedsOfLooks() const;

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
  RunKeeperActions m_actions;
  Now m_now;
  WatchedWorker m_worker;
  WorkerLooks m_looks;
  Runs m_runs;
  EntryContacts m_entries;
  RecentEnds m_recent_ends;
  CapacityReservations m_promises;
  Evacuations m_evacuations;
  RunCounters m_counters;
  bool m_draining = false;
  bool m_accepting_told = false;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_KEEPER_H_
