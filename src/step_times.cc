#include "step_times.h"

#include <algorithm>

namespace egretswitch::internal {

double ElapsedMs(const OpenTask& task,
                 MonoTime now,
                 absl::Duration start_delay) {
  const absl::Duration elapsed = now - task.sent_at - start_delay;
  return std::max(0.0, absl::ToDoubleMilliseconds(elapsed)) / task.slowness;
}

StepTimes::StepTimes(const OpenJob& job,
                     uint32_t step,
                     MonoTime now,
                     absl::Duration start_delay)
    : m_job(job), m_step(step) {
  for (const OpenTask& task : job.tasks) {
    if (task.step != step) {
      continue;
    }
    if (task.state == OpenTask::State::kDone) {
      m_done_ms.push_back(task.usual_ms);
    } else if (task.state == OpenTask::State::kRunning) {
      m_running_ms.push_back(ElapsedMs(task, now, start_delay));
    }
    m_stopped_ms.insert(m_stopped_ms.end(), task.stopped_ms.begin(),
                        task.stopped_ms.end());
  }
}

StepEvidence StepTimes::Evidence() const {
  return {.queue = m_job.queue.name,
          .estimate_ms = m_job.caller_estimates_ms[m_step],
          .done_ms = m_done_ms,
          .running_ms = m_running_ms};
}

}  // namespace egretswitch::internal
