// Counters of the decisions about jobs and runs: one for each outcome, refusal
// and retry reason.
//
//   counters.Add(RunCounter::kRunsStarted);
#ifndef EGRETSWITCH_SRC_RUN_COUNTERS_H_
#define EGRETSWITCH_SRC_RUN_COUNTERS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace egretswitch::internal {

// New counters go before kCount and get a name in run_counters.cc.
enum class RunCounter : uint8_t {
  kRunsStarted = 0,  // start calls, or starts sent to an agent
  kRunsDone,
  kRunsFailed,
  kRunsStopped,
  kRunsWorkerLost,  // their worker crashed or became unresponsive
  kRefusedNoRoom,
  kRefusedLeaving,
  kRefusedStale,
  kRefusedOldNumber,
  kRefusedByWorker,
  kRefusedEvacuated,
  kRefusedUnreachable,  // no connection to the worker
  kRefusedSuspect,      // while another task that may crash workers was running
  kStartsUnknown,       // start calls without an answer
  kStartsRepeated,      // start calls repeated while one is unanswered
  kStoppedEntrySilent,
  kStoppedEntryReplaced,
  kRunsToldAgain,
  kLinksDialledAgain,
  kStoppedByEntry,
  kStoppedStranger,  // runs on the worker that belong to no entry
  kWorkersAdopted,
  kWorkersLost,
  kJobsTaken,
  kJobsCompleted,
  kJobsFailed,
  kJobsRefusedUnsupported,
  kJobsRefusedBusy,
  kJobsRefusedDraining,
  kJobsRefusedAfterPause,
  kJobsRefusedNoConfig,
  kJobsRefusedUnconfirmed,  // unknown queue in an unconfirmed configuration
  kJobsRefusedEvacuated,    // every worker is in an evacuated data centre
  kJobsNoQueue,
  kJobsInvalid,
  kJobsTimedOut,
  kJobsCallerLeft,
  kJobsLeftBeforeTaken,  // their callers disconnected before a run was sent
  kJobsJoined,
  kJobsEndedByPause,
  kJobsCrashWorkers,  // abandoned: one of their tasks crashes workers
  kJobsWorkersLost,   // abandoned: too many workers were lost under one task
  kRetriesNoRoom,
  kRetriesNeverStarted,
  kRetriesStopped,
  kRunsMovedEarly,  // to make the job's objective
  kRunsMovedHung,   // far longer than their like
  kRetriesFailed,
  kRetriesWorkerLost,
  kRetriesAgentLost,
  kWorkersEjected,
  kConfigVersions,
  kEvacuationsBegun,  // as read by this process
  kEvacuationsEnded,
  kStoreFailures,
  kRecordsUnreadable,  // in the store, written by another program
  kReportsUnreadable,  // from a worker, or in its name
  kCount
};

std::string_view RunCounterName(RunCounter counter);

class RunCounters {
 public:
  void Add(RunCounter counter, uint64_t by = 1) {
    m_counts[static_cast<size_t>(counter)] += by;
  }
  uint64_t Get(RunCounter counter) const {
    return m_counts[static_cast<size_t>(counter)];
  }

 private:
  std::array<uint64_t, static_cast<size_t>(RunCounter::kCount)> m_counts{};
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_COUNTERS_H_
