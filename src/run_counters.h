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
  kStartsHeld,          // until the worker was confirmed not to have restarted
  kRestartsSuspected,   // calls whose loss may be due to the worker's restart
  kStoppedEntrySilent,
  kStoppedEntryReplaced,
  kStoppedNotWanted,  // not named in a renewal of their entry
  kRunsToldAgain,
  kLinksDialledAgain,
  kStoppedByEntry,
  kStopsOverdue,     // at the worker: not confirmed within kStopOverdue
  kStopsRepeated,    // orders to stop sent again, as their runs had not ended
  kStoppedStranger,  // runs on the worker that belong to no entry
  kWorkersAdopted,
  kWorkersLost,
  kJobsTaken,
  kJobsCompleted,
  kJobsFailed,
  kJobsRefusedUnsupported,
  kJobsRefusedBusy,
  kJobsHeldForWorker,       // until the first worker of their service
  kJobsHeldForCancels,      // until the cancelled jobs were received
  kJobsHeldForAttempt,      // until a former attempt elsewhere was over
  kJobsRefusedNoWorkerYet,  // no worker of the service since the start
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
  kJobsCancelled,         // open jobs, ended by a cancel
  kJobsRefusedCancelled,  // submitted after their cancel
  kJobsEndedByPause,
  kJobsSuperseded,    // ended, since the job arrived at another entry
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
  kCancelsAsked,  // by callers of this entry
  kCancelsFoundHere,
  kCancelsFoundElsewhere,
  kCancelsNotFound,    // no entry held the job
  kCancelsIncomplete,  // not found, and some entries did not reply
  kCancelsPassedOn,    // requests of other entries, sent on to further ones
  kCancelsLearnt,      // from the memory of other processes
  kConfigVersions,
  kConfigsFromAgents,   // of these, copies that agents kept
  kCopiesContradicted,  // copies of agents that the store's table replaced
  kConfigCopiesGiven,   // by this agent to entries that had none
  kEvacuationsBegun,    // as read by this process
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
