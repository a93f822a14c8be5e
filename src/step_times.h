// The run times of one step of an open job, as RunTimes asks for them.
//
//   const StepTimes times(job, task.step, now);
//   run_times.OutlookOf(times.Evidence())
#ifndef EGRETSWITCH_SRC_STEP_TIMES_H_
#define EGRETSWITCH_SRC_STEP_TIMES_H_

#include <span>
#include <vector>

#include "clock.h"
#include "open_job.h"
#include "run_times.h"

namespace egretswitch::internal {

// All times are those on a usual worker.
class StepTimes {
 public:
  // `start_delay` is the time from sending a run to its start.
  StepTimes(const OpenJob& job,
            uint32_t step,
            MonoTime now,
            absl::Duration start_delay = absl::ZeroDuration());

  // Refers to this object and to the job.
  StepEvidence Evidence() const;
  std::span<const double> stopped_ms() const { return m_stopped_ms; }

 private:
  const OpenJob& m_job;
  const uint32_t m_step;
  std::vector<double> m_done_ms;
  std::vector<double> m_running_ms;
  std::vector<double> m_stopped_ms;
};

// How long the task's run has taken so far, on a usual worker.
double ElapsedMs(const OpenTask& task,
                 MonoTime now,
                 absl::Duration start_delay);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_STEP_TIMES_H_
