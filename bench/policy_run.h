// What one policy did with one workload.
//
//   run.jobs[3]  -> served, 87 ms after its caller sent it
#ifndef EGRETSWITCH_BENCH_POLICY_RUN_H_
#define EGRETSWITCH_BENCH_POLICY_RUN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "policy_workload.h"

namespace egretswitch::bench {

enum class JobEnd : uint8_t { kOpen = 0, kServed, kRefused, kFailed };

struct JobResult {
  JobEnd end = JobEnd::kOpen;
  VirtualUs answered = 0;  // at the caller
  uint32_t retry_after_ms = 0;
  std::string reason;  // of a refusal or failure
};

struct PolicyRun {
  std::vector<JobResult> jobs;  // as in Workload::jobs
  // Within the measured window:
  std::map<std::string, uint64_t> messages;  // by kind
  uint64_t tasks_started = 0;
  uint64_t jobs_sent = 0;
  std::vector<double> work_ms_by_row;  // of the tasks started
};

}  // namespace egretswitch::bench

#endif  // EGRETSWITCH_BENCH_POLICY_RUN_H_
