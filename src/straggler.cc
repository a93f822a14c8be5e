#include "straggler.h"

#include <algorithm>

namespace egretswitch::internal {
namespace {

// A task that takes this much longer than a finished one of its step hangs or
// runs on a slow worker: run times within a step differ by some 15%, worker
// speeds by a third.
constexpr double kStragglerFactor = 1.8;
constexpr absl::Duration kStragglerMargin = absl::Milliseconds(60);
// Used while no task of the step has finished; the estimate is rough.
constexpr double kHangFactor = 4;
constexpr absl::Duration kHangMargin = absl::Milliseconds(150);

// The longest run time of the finished tasks of the step; 0 if there is none.
uint32_t SlowestDoneMs(const OpenJob& job, uint32_t step) {
  uint32_t slowest = 0;
  for (const OpenTask& task : job.tasks) {
    if (task.state == OpenTask::State::kDone && task.step == step) {
      slowest = std::max(slowest, task.run_ms);
    }
  }
  return slowest;
}

}  // namespace

bool IsStraggler(const OpenJob& job, const OpenTask& task, MonoTime now) {
  const absl::Duration taken = now - task.sent_at;
  const uint32_t slowest_done = SlowestDoneMs(job, task.step);
  if (slowest_done > 0) {
    return taken > kStragglerFactor * absl::Milliseconds(slowest_done) +
                       kStragglerMargin;
  }
  return taken >
         kHangFactor * absl::Milliseconds(job.StepOf(task).estimate_ms) +
             kHangMargin;
}

}  // namespace egretswitch::internal
