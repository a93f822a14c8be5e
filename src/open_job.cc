#include "open_job.h"

#include <algorithm>
#include <limits>

namespace egretswitch::internal {
namespace {

constexpr uint32_t kLowestUrgency = std::numeric_limits<uint32_t>::max();

}  // namespace

OpenTask* OpenJob::FindTask(const TaskRef& task) {
  if (task.step >= job.steps.size() ||
      task.index >= job.steps[task.step].task_count) {
    return nullptr;
  }
  size_t position = task.index;
  for (uint32_t step = 0; step < task.step; ++step) {
    position += job.steps[step].task_count;
  }
  return &tasks[position];
}

uint32_t OpenJob::Urgency() const {
  return deprioritised ? kLowestUrgency : queue.priority;
}

uint32_t OpenJob::Moves() const {
  uint32_t moves = 0;
  for (const OpenTask& task : tasks) {
    moves += task.moves;
  }
  return moves;
}

absl::Duration OpenJob::LongestEstimate() const {
  uint32_t longest = 0;
  for (const JobStep& step : job.steps) {
    longest = std::max(longest, step.estimate_ms);
  }
  return absl::Milliseconds(longest);
}

absl::Duration OpenJob::Objective() const {
  return queue.stretch * LongestEstimate() +
         absl::Milliseconds(queue.objective_ms);
}

OpenJob MakeOpenJob(const JobArrived& arrival, uint64_t order, MonoTime now) {
  OpenJob open;
  open.job = arrival.job;
  open.queue = arrival.queue;
  open.calls = {arrival.call};
  open.order = order;
  open.arrived_at = now;
  open.called_at = now - arrival.waited;
  open.caller_timeout = arrival.caller_timeout;
  open.expires_at = now - arrival.waited +
                    (arrival.caller_timeout < absl::InfiniteDuration()
                         ? arrival.caller_timeout
                         : absl::Milliseconds(arrival.queue.timeout_ms));
  for (uint32_t step = 0; step < arrival.job.steps.size(); ++step) {
    for (uint32_t i = 0; i < arrival.job.steps[step].task_count; ++i) {
      OpenTask& task = open.tasks.emplace_back();
      task.step = step;
      task.index = i;
    }
  }
  open.waiting = static_cast<uint32_t>(open.tasks.size());
  return open;
}

}  // namespace egretswitch::internal
