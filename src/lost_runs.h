// What the losses of a task's runs say of the task.
//
//   JudgeLostRuns({{"agent-1", at, RunLoss::kWorkerCrashed}}, losses)
//       -> kTryAgain
//
// A task may crash each worker that starts it, and has to be given up then. A
// rack without power or a worker that is cut off says nothing of the task.
#ifndef EGRETSWITCH_SRC_LOST_RUNS_H_
#define EGRETSWITCH_SRC_LOST_RUNS_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "clock.h"
#include "run_messages.h"
#include "worker_losses.h"

namespace egretswitch::internal {

// A run that was lost with its worker.
struct LostRun {
  std::string agent;
  MonoTime reported_at = absl::ZeroDuration();
  RunLoss loss = RunLoss::kMayHaveBegun;
  uint32_t run_ms = 0;  // until its end was noticed
};

enum class LossVerdict : uint8_t {
  kTryAgain = 0,
  kCrashesWorkers,  // the task's fault
  kTooManyLosses,   // nobody's fault that is known; not worth another worker
};

LossVerdict JudgeLostRuns(absl::Span<const LostRun> lost,
                          const WorkerLosses& losses);

// How long after its start the task may crash its worker, as far as its losses
// tell; 0: neither a worker crashed alone under it, nor two beside others.
uint32_t SuspectMs(absl::Span<const LostRun> lost, const WorkerLosses& losses);

std::set<std::string> AgentsOf(absl::Span<const LostRun> lost);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LOST_RUNS_H_
