// Judges from the lost runs of a task whether the task crashes its workers.
//
//   JudgeLostRuns({{"agent-1", at, RunLoss::kWorkerCrashed}}, losses)
//       -> kTryAgain
//
// A task that crashes each worker that starts it has to be failed. Losses by a
// rack without power or a disconnected worker are no evidence against a task.
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
  uint32_t run_ms = 0;  // until the loss was detected
};

enum class LossVerdict : uint8_t {
  kTryAgain = 0,
  kCrashesWorkers,  // the task's fault
  kTooManyLosses,  // of unknown cause; the task is not risked on another worker
};

LossVerdict JudgeLostRuns(absl::Span<const LostRun> lost,
                          const WorkerLosses& losses);

// Returns how long after its start the task may crash its worker, by its lost
// runs so far. Returns 0 unless a worker crashed alone under the task, or two
// crashed beside workers with other tasks.
uint32_t SuspectMs(absl::Span<const LostRun> lost, const WorkerLosses& losses);

std::set<std::string> AgentsOf(absl::Span<const LostRun> lost);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LOST_RUNS_H_
