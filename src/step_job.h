// A job made of steps, as a caller submits it, and the names of its tasks.
//
//   StepJob{.id = "5c0e7a21d94b36f8", .spec = "(text)",
//           .steps = {{.task_count = 4, .needs = {6200, 64, 0}}}}
//   has the tasks 5c0e7a21d94b36f8/0/0 to 5c0e7a21d94b36f8/0/3
//
// A task may have several runs, one after the other, with increasing numbers.
#ifndef EGRETSWITCH_SRC_STEP_JOB_H_
#define EGRETSWITCH_SRC_STEP_JOB_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "msgpack_config.h"
#include "submission.h"

namespace egretswitch::internal {

using RunNumber = uint64_t;

struct TaskRef {
  std::string job;
  uint32_t step = 0;
  uint32_t index = 0;
  auto operator<=>(const TaskRef&) const = default;
  MSGPACK_DEFINE(job, step, index)

  template <typename H>
  friend H AbslHashValue(H h, const TaskRef& task) {
    return H::combine(std::move(h), task.job, task.step, task.index);
  }
};

// A group of tasks with equal needs and the same estimate.
struct JobStep {
  uint32_t task_count = 0;
  TaskNeeds needs;           // of each task
  uint32_t estimate_ms = 0;  // run time of a task, estimated by the caller
  bool operator==(const JobStep&) const = default;
};

struct StepJob {
  std::string id;
  std::string spec;  // passed to every task unchanged
  std::vector<JobStep> steps;
  // The caller waits for the answer and sends the job again if it gets none. A
  // later attempt may run every task again, but never concurrently with an
  // earlier one.
  bool may_run_again = false;
  // The feature that the job requests and this version does not support; empty
  // if there is none. Such a job is refused before any of its tasks runs.
  std::string unsupported;
};

uint32_t TotalTasks(const StepJob& job);

// "5c0e7a21d94b36f8/0/3", for logs.
std::string TaskText(const TaskRef& task);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_STEP_JOB_H_
