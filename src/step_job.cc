#include "step_job.h"

#include "absl/strings/str_cat.h"

namespace egretswitch::internal {

uint32_t TotalTasks(const StepJob& job) {
  uint32_t total = 0;
  for (const JobStep& step : job.steps) {
    total += step.task_count;
  }
  return total;
}

std::string TaskText(const TaskRef& task) {
  return absl::StrCat(task.job, "/", task.step, "/", task.index);
}

}  // namespace egretswitch::internal
