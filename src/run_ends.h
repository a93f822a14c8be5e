// Maps a worker's run ends and refusals to the RunEnd that its entry is sent,
// and each RunEnd to its counter.
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

// Maps the refusal of a start, whose run never started.
RunEnd EndOfRefusal(CallVerdict verdict);

RunCounter CounterOf(RunEnd end);

// For logs.
std::string_view RunLossName(RunLoss loss);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_ENDS_H_
