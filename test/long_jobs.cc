#include "long_jobs.h"

namespace egretswitch::internal {

std::vector<JobPlan> LongJobsBesideShortOnes(const LongJobsOptions& options) {
  std::vector<JobPlan> plans;
  for (int i = 0; i < options.jobs; ++i) {
    const bool is_long = i % options.long_one_in == 0;
    const int64_t work_ms = is_long ? 3000 : 200;
    JobPlan plan;
    plan.id = "job-" + std::to_string(i);
    plan.at = Ms(500) + i * options.period;
    plan.work_ms.assign(is_long ? 2 : 1, work_ms);
    plan.estimate_ms = static_cast<uint32_t>(work_ms);
    plan.queue.service = "desk";
    plan.queue.stretch = 1.6;
    plan.queue.objective_ms = 60;
    plan.caller_timeout = Ms(6000);
    plans.push_back(plan);
  }
  return plans;
}

std::vector<JobPlan> LongJobsBesideFailingOnes(
    const FailingJobsOptions& options) {
  std::vector<JobPlan> plans;
  const auto add = [&plans](VirtualUs at, int64_t work_ms, bool fails) {
    JobPlan plan;
    plan.id = "job-" + std::to_string(plans.size());
    plan.at = at;
    plan.work_ms = {work_ms};
    plan.estimate_ms = static_cast<uint32_t>(work_ms);
    plan.queue.service = "desk";
    plan.queue.max_attempts = 2;
    plan.queue.stretch = 1.6;
    plan.queue.objective_ms = 60;
    plan.caller_timeout = Ms(14'000);
    plan.fails = fails;
    plans.push_back(plan);
  };
  for (int round = 0; round < options.rounds; ++round) {
    const VirtualUs begin = Ms(500) + round * options.period;
    for (int i = 0; i < options.long_jobs; ++i) {
      add(begin + Ms(i), 3000, false);
    }
    for (int i = 0; i < options.short_jobs; ++i) {
      add(begin + Ms(100) + i * Ms(40), 5, i % options.failing_one_in == 0);
    }
  }
  return plans;
}

std::string LogOf(const RunWorld& world) {
  std::string log;
  for (const std::string& line : world.fault_log()) {
    log += "\n  " + line;
  }
  for (const std::string& line : world.violations()) {
    log += "\n  violated: " + line;
  }
  return log;
}

}  // namespace egretswitch::internal
