// What a RunWorld consists of and which faults its seed draws.
//
//   RunWorld world({.seed = 7, .entries = 12, .faults = 0, .spells = 6});
#ifndef EGRETSWITCH_TEST_RUN_WORLD_OPTIONS_H_
#define EGRETSWITCH_TEST_RUN_WORLD_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dispatch_policy.h"
#include "fake_run_worker.h"
#include "run_events.h"
#include "virtual_time.h"

namespace egretswitch::internal {

inline constexpr VirtualUs kLinkDelay = 500;

// A worker and how fast it is.
struct WorkerPlan {
  TaskNeeds capacity = kFakeWorkerCapacity;
  double slowness = 1;  // run time over the task's work
  std::string kind = "a";
};

// A job that a caller submits, and the behaviour of its tasks on the fakes.
struct JobPlan {
  std::string id;
  VirtualUs at = 0;              // of the first submission
  std::vector<int64_t> work_ms;  // of each task, on a worker of slowness 1
  // This share of the runs, drawn for each, takes `tail_factor` times as long.
  double tail_share = 0;
  double tail_factor = 1;
  TaskNeeds needs = kFakeTaskNeeds;
  uint32_t estimate_ms = 0;
  JobQueue queue;
  VirtualUs caller_timeout = Ms(2500);  // of the first attempt
  // Whether `patience` covers all attempts together, or each one.
  bool caller_timeout_is_total = false;
  // Its tasks crash each worker that starts them; they never end otherwise.
  bool crashes_workers = false;
  VirtualUs crashed_for = Ms(200);  // until such a worker restarts
  bool fails = false;               // each run of its tasks ends as failed
  // Where the caller's attempts go, in turn; drawn if empty.
  std::vector<int> entries = {};
};

// The last answer that a caller received, and its attempts.
struct JobOutcome {
  std::optional<JobVerdict> verdict;  // none if the last attempt had no answer
  VirtualUs ended_at = 0;
  absl::Duration retry_after = absl::ZeroDuration();
  int attempts = 0;
};

struct RunWorldOptions {
  uint64_t seed = 1;
  int entries = 3;
  int agents = 4;
  int jobs = 120;
  int faults = 14;
  int evacuations = 0;         // drawn as well, of one or two data centres
  int unresponsive_links = 0;  // drawn as well
  int cancels = 0;             // drawn as well, at any entry
  int late_copies = 0;         // of each job, up to 12 s after its cancel is
                               // acknowledged, at any entry
  int entry_stops = 0;         // drawn as well: planned, of all in turn
  int all_entries_lost = 0;    // drawn as well: at once, some with an agent
  int connection_resets = 0;   // drawn as well, of one entry each
  int reset_series = 0;        // drawn as well, beside planned stops and kills
  int spells = 0;              // drawn as well, of 2 to 5 faults within 1.6 s
  int unanswered_periods = 0;  // drawn as well, for the calls to all workers
  int late_departures = 0;     // drawn as well: of callers from frozen entries
  // Percent of the callers that leave whose entry does not learn of it.
  int lost_departures = 0;
  // Half of these entries are lost just after they go on, as are all stops.
  bool departures_then_kills = false;
  bool slow_stops = false;      // a stop takes up to 50 ms at the worker
  bool slow_calls = false;      // an answered call takes up to 120 ms
  int refused_starts = 0;       // percent of the start calls
  std::string traced_job = {};  // notes about it go to the fault log
  // Whether a crashed worker restarts under its former id, sometimes at once.
  bool same_worker_ids = false;
  // Whether a worker that is down refuses connections, and its end breaks those
  // that are open; if not, calls to it get no answer.
  bool down_workers_refuse = false;
  // The longest lease that workers grant, which their agents know.
  int64_t max_lease_ms = kFakeMaxLeaseMs;
  std::vector<JobPlan> plans = {};       // in place of `jobs` drawn ones
  std::vector<WorkerPlan> workers = {};  // in place of `agents` equal ones
  // Shares of the callers that the entries get; equal if empty.
  std::vector<int> entry_shares = {};
  VirtualUs link_delay = kLinkDelay;
  VirtualUs caller_delay = kLinkDelay;
  DispatchPolicy policy = {};
  bool count_bytes = false;  // of all messages, encoded as on a link
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_RUN_WORLD_OPTIONS_H_
