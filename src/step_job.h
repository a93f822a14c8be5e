// A job made of steps, as a caller hands it in, and the names of its tasks.
//
//   StepJob{.id = "5c0e7a21d94b36f8", .spec = "(text)",
//           .steps = {{.task_count = 4, .needs = {6200, 64, 0}}}}
//   has the tasks 5c0e7a21d94b36f8/0/0 to 5c0e7a21d94b36f8/0/3
//
// A task may have several runs, one after the other; each has a number that is
// higher than the ones before.
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

// Tasks of one step are alike.
struct JobStep {
  uint32_t task_count = 0;
  TaskNeeds needs;           // of each task
  uint32_t estimate_ms = 0;  // the caller's guess of a task's run time
  bool operator==(const JobStep&) const = default;
};

struct StepJob {
  std::string id;
  std::string spec;  // handed to every task as it is
  std::vector<JobStep> steps;
  // The caller waits for the end and sends the job anew when it gets none; a
  // later attempt may run every task again, but never beside the former one.
  bool may_run_again = false;
  // What the job asks for that this version can't do; empty: nothing. Such a
  // job is refused before anything of it runs.
  std::string unsupported;
};

uint32_t TotalTasks(const StepJob& job);

// "5c0e7a21d94b36f8/0/3", for logs.
std::string TaskText(const TaskRef& task);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_STEP_JOB_H_
