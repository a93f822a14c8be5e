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

// Add new ones before kCount and name them in run_counters.cc.
enum class RunCounter : uint8_t {
  kRunsStarted = 0,  // start calls, or starts sent to an agent
  kRunsDone,
  kRunsFailed,
  kRunsStopped,
  kRunsWorkerLost,  // their worker crashed or fell silent
  kRefusedNoRoom,
  kRefusedLeaving,
  kRefusedStale,
  kRefusedOldNumber,
  kRefusedByWorker,
  kRefusedEvacuated,
  kRefusedUnreachable,  // there was no connection to the worker
  kRefusedSuspect,      // beside another task that may crash workers
  kStartsUnknown,       // start calls without an answer
  kStartsRepeated,      // start calls beside one without an answer
  kStoppedEntrySilent,
  kStoppedEntryReplaced,
  kRunsToldAgain,
  kLinksDialledAgain,
  kStoppedByEntry,
  kStoppedStranger,  // runs that no entry answers for
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
  kJobsRefusedUnconfirmed,  // no such queue, as far as is known
  kJobsRefusedEvacuated,    // every worker is in an evacuated data centre
  kJobsNoQueue,
  kJobsInvalid,
  kJobsTimedOut,
  kJobsCallerLeft,
  kJobsLeftBeforeTaken,  // their callers left before a run was ordered
  kJobsJoined,
  kJobsEndedByPause,
  kJobsCrashWorkers,  // given up: workers crashed under one of their tasks
  kJobsWorkersLost,   // given up: worker after worker was lost under a task
  kRetriesNoRoom,
  kRetriesNeverStarted,
  kRetriesStopped,
  kRetriesFailed,
  kRetriesWorkerLost,
  kRetriesAgentLost,
  kWorkersEjected,
  kConfigVersions,
  kEvacuationsBegun,  // as far as this process has learnt of them
  kEvacuationsEnded,
  kStoreFailures,
  kRecordsUnreadable,  // of the store; another writer wrote them
  kReportsUnreadable,  // of a worker, or in its name
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
