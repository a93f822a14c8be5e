// How a run ended, in the words of each side: the worker's ends and refusals as
// the RunEnd that an entry is told, and the counter of each RunEnd.
//
//   EndOfRefusal(CallVerdict::kFenced)  -> RunEnd::kStale
//   EndOfWorkerRun(WorkerRunEnd::kLapsed) -> RunEnd::kStopped
#ifndef EGRETSWITCH_SRC_RUN_ENDS_H_
#define EGRETSWITCH_SRC_RUN_ENDS_H_

#include <string_view>

#include "run_counters.h"
#include "run_messages.h"
#include "worker_calls.h"

namespace egretswitch::internal {

RunEnd EndOfWorkerRun(WorkerRunEnd end);

// For the answer to a start that was turned away; the run never started.
RunEnd EndOfRefusal(CallVerdict verdict);

RunCounter CounterOf(RunEnd end);

// For logs.
std::string_view RunLossName(RunLoss loss);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_ENDS_H_
