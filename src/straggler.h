// Decides which runs are stopped and started again on another worker.
//
//   MoveChances chances = ChancesOf(outlook, candidate);
//   chances.moved    -> 0.9, the chance to end in time by a new run
//   chances.waiting  -> 0.1, that by waiting for the present one
//   HelpsToMove(chances)                 -> true
//   IsStraggler(job, task, now)          // hangs, also after the objective
//   budget.MayMove()                     // a small share of all starts
#ifndef EGRETSWITCH_SRC_STRAGGLER_H_
#define EGRETSWITCH_SRC_STRAGGLER_H_

#include <cstdint>

#include "clock.h"
#include "open_job.h"
#include "run_times.h"

namespace egretswitch::internal {

// A run that may be moved, and what a new run would take.
struct MoveCandidate {
  double elapsed_ms = 0;     // of the present run, on a usual worker
  double slowness = 1;       // of its worker
  double best_slowness = 1;  // of the best other worker with room
  absl::Duration remaining;  // until the job's objective
  // Time from sending a run to the report of its end, beyond its run time.
  absl::Duration overhead;
};

// Chances to end in time.
struct MoveChances {
  double waiting = 0;
  double moved = 0;
};

// `outlook` is that of the run's step, whose evidence includes the run.
MoveChances ChancesOf(const StepOutlook& outlook,
                      const MoveCandidate& candidate);

// Whether a new run makes the job so much likelier to end in time that the work
// done so far may be thrown away.
bool HelpsToMove(const MoveChances& chances);

// Whether a run takes so much longer than its like that a new run is shorter
// whatever the objective.
bool IsStraggler(const OpenJob& job, const OpenTask& task, MonoTime now);

// What a run takes beyond its run time: the ways of its start and of the report
// of its end.
class RunOverhead {
 public:
  void Record(absl::Duration overhead);
  absl::Duration Mean() const { return m_mean; }

 private:
  absl::Duration m_mean = absl::Milliseconds(10);
};

// Bounds the runs that are moved to make an objective.
class MoveBudget {
 public:
  void RecordStarts(uint64_t starts);
  bool MayMove() const { return m_moves >= 1; }
  void RecordMove();

 private:
  double m_moves = 1;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_STRAGGLER_H_
