// A run is moved for its job's objective while a new run can still make it. The
// chance of the new run counts the way of the stop, of the report of its end
// and of the new start, since two runs of a task never overlap.
#include "straggler.h"

#include <algorithm>

namespace egretswitch::internal {
namespace {

// A move throws away work that the other jobs of the workers could have used,
// so it must gain clearly more than the error of the chances.
constexpr double kMinGain = 0.3;

// Moves for each start, and how many may come at once.
constexpr double kMovesPerStart = 0.04;
constexpr double kMaxSavedMoves = 8;

// Weight of one run in the mean overhead, and the longest one that counts:
// longer ones come from pauses, not from the way.
constexpr double kOverheadGain = 0.02;
constexpr absl::Duration kMaxOverhead = absl::Milliseconds(100);

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

MoveChances ChancesOf(const StepOutlook& outlook,
                      const MoveCandidate& candidate) {
  // Of the overhead, the way of the start lies behind the present run and that
  // of the report ahead of it. A move costs both for the stop and both for the
  // new run.
  const double remaining_ms = absl::ToDoubleMilliseconds(candidate.remaining);
  const double overhead_ms = absl::ToDoubleMilliseconds(candidate.overhead);
  const double more_ms = (remaining_ms - overhead_ms / 2) / candidate.slowness;
  const double new_ms =
      (remaining_ms - 2 * overhead_ms) / candidate.best_slowness;
  return {.waiting = outlook.ChanceOfRunning(candidate.elapsed_ms,
                                             candidate.elapsed_ms + more_ms),
          .moved = outlook.ChanceOfNew(new_ms)};
}

bool HelpsToMove(const MoveChances& chances) {
  return chances.moved > chances.waiting + kMinGain;
}

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

void RunOverhead::Record(absl::Duration overhead) {
  const absl::Duration bounded =
      std::clamp(overhead, absl::ZeroDuration(), kMaxOverhead);
  m_mean += kOverheadGain * (bounded - m_mean);
}

void MoveBudget::RecordStarts(uint64_t starts) {
  m_moves = std::min(kMaxSavedMoves,
                     m_moves + kMovesPerStart * static_cast<double>(starts));
}

void MoveBudget::RecordMove() {
  m_moves = std::max(0.0, m_moves - 1);
}

}  // namespace egretswitch::internal
