// What an entry learns from the runs of its jobs, and the estimates that follow
// from it.
#include <cmath>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "job_dispatcher.h"
#include "step_times.h"

namespace egretswitch::internal {
namespace {

// The chance with which a job that is admitted ends in time by its run time
// alone. With a lower one more started jobs end late, with a higher one jobs
// are refused needlessly.
constexpr double kAdmittedInTime = 0.88;

constexpr absl::Duration kLogPeriod = absl::Seconds(10);

std::string PercentText(double share) {
  return absl::StrCat(std::lround(100 * share));
}

}  // namespace

void JobDispatcher::CorrectEstimates(OpenJob& job) const {
  for (JobStep& step : job.job.steps) {
    job.caller_estimates_ms.push_back(step.estimate_ms);
    if (m_policy.correct_estimates) {
      step.estimate_ms =
          m_run_times.ExpectedMs(job.queue.name, step.estimate_ms);
    }
  }
  if (m_policy.learn_noise) {
    job.run_margin = m_run_times.Margin(job.queue.name, kAdmittedInTime);
  }
}

void JobDispatcher::LearnRun(OpenJob& job,
                             OpenTask& task,
                             PooledWorker& worker,
                             uint32_t run_ms) {
  const StepTimes times(job, task.step, m_now.mono);
  m_run_times.RecordRun(times.Evidence(), run_ms, worker.speed, m_now.mono,
                        m_policy.learn_slowness);
  task.usual_ms = run_ms / worker.speed.Slowness(m_now.mono);
}

// A run that was stopped would have taken longer, which counts for its worker
// and for the tail of its queue.
void JobDispatcher::LearnStoppedRun(OpenJob& job,
                                    OpenTask& task,
                                    PooledWorker& worker,
                                    uint32_t run_ms) {
  const StepTimes times(job, task.step, m_now.mono);
  if (m_policy.learn_slowness) {
    m_run_times.RecordStoppedRun(times.Evidence(), run_ms, worker.speed,
                                 m_now.mono);
  }
  task.stopped_ms.push_back(run_ms / worker.speed.Slowness(m_now.mono));
}

void JobDispatcher::LearnSteps(const OpenJob& job) {
  for (uint32_t step = 0; step < job.job.steps.size(); ++step) {
    const StepTimes times(job, step, m_now.mono);
    m_run_times.RecordStep(times.Evidence(), times.stopped_ms());
  }
}

void JobDispatcher::LogRunTimes() {
  if (m_now.mono < m_next_run_times_log) {
    return;
  }
  m_next_run_times_log = m_now.mono + kLogPeriod;
  for (const RunTimes::QueueView& view : m_run_times.ViewQueues()) {
    LogRoutine("run times",
               {{"queue", view.queue},
                {"runs", absl::StrCat(view.runs)},
                {"expected_of_100_ms", absl::StrCat(view.expected_of_100_ms)},
                {"beyond_twice_percent", PercentText(view.beyond_twice)}});
  }
  for (const RunTimes::KindView& view : m_run_times.ViewKinds()) {
    LogRoutine("worker speed",
               {{"kind", view.kind},
                {"slowness_percent", PercentText(view.slowness)}});
  }
}

}  // namespace egretswitch::internal
