// A job that an entry has accepted and not answered yet, with its tasks.
#ifndef EGRETSWITCH_SRC_OPEN_JOB_H_
#define EGRETSWITCH_SRC_OPEN_JOB_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "clock.h"
#include "lost_runs.h"
#include "run_events.h"
#include "service_config.h"
#include "step_job.h"

namespace egretswitch::internal {

struct OpenTask {
  enum class State : uint8_t {
    kWaiting,   // for a worker
    kRunning,   // sent to an agent
    kStopping,  // moves to another worker once the end of its run is reported
    kDone,
  };

  uint32_t step = 0;
  uint32_t index = 0;
  State state = State::kWaiting;
  RunNumber run = 0;  // the latest one
  std::string agent;  // that runs it
  uint64_t agent_incarnation = 0;
  MonoTime sent_at = absl::ZeroDuration();
  uint32_t run_ms = 0;  // of the completed run
  // Expected slowness of the worker, when the run was sent to it.
  double slowness = 1;
  // Run times on a usual worker: of the completed run, and of those that were
  // stopped.
  double usual_ms = 0;
  std::vector<double> stopped_ms;
  uint32_t failures = 0;
  uint32_t moves = 0;           // runs stopped because they took too long
  std::set<std::string> avoid;  // agents where it failed, hung or was refused
  std::vector<LostRun> lost_runs;  // runs that ended with the loss of a worker
  // The earliest time to place it again.
  MonoTime not_before = absl::ZeroDuration();

  // Whether a run was sent to `agent` and no end of it is known.
  bool IsAtAgent() const {
    return state == State::kRunning || state == State::kStopping;
  }
};

// Covers a scatter of the run times by a third while little is known of them.
inline constexpr double kDefaultRunMargin = 1.45;

struct OpenJob {
  StepJob job;  // with estimates corrected by the run times of the queue
  std::vector<uint32_t> caller_estimates_ms;  // of each step
  JobQueue queue;  // as configured when the job arrived
  std::vector<CallId> calls;
  uint64_t order = 0;  // sequence number of the arrival in this process
  MonoTime arrived_at = absl::ZeroDuration();
  MonoTime called_at = absl::ZeroDuration();  // when its latest call was read
  // For how long it waited for the first worker of its service
  // (first_workers.h), for the memory of cancelled jobs (cancel_exchange.h) or
  // for the end of a former attempt (attempt_exchange.h).
  absl::Duration held = absl::ZeroDuration();
  absl::Duration caller_timeout;  // of the first caller
  // What the longest task may take in a forecast, over its expected run time.
  double run_margin = kDefaultRunMargin;
  bool deprioritised = false;  // a repeat of an attempt that was not answered
  // Whether a former attempt at another entry may go on.
  bool awaits_former_attempt = false;
  MonoTime expires_at = absl::ZeroDuration();
  std::vector<OpenTask> tasks;
  uint32_t waiting = 0;
  uint32_t done = 0;
  uint32_t retries = 0;
  uint32_t possibly_started = 0;  // runs sent, except those that never started
  // Infinite until the first run is sent to an agent.
  MonoTime first_sent_at = absl::InfiniteDuration();

  // Null if the job has no such task. `tasks` is ordered by step and index.
  OpenTask* FindTask(const TaskRef& task);
  const JobStep& StepOf(const OpenTask& task) const {
    return job.steps[task.step];
  }
  // The priority of the queue; 0 is the most urgent. Deprioritised jobs come
  // after all others.
  uint32_t Urgency() const;
  // Runs stopped because they took too long.
  uint32_t Moves() const;
  // The estimate of the longest task.
  absl::Duration LongestEstimate() const;
  // The latency objective that follows from that estimate.
  absl::Duration Objective() const;
};

// Returns a job whose tasks all wait.
OpenJob MakeOpenJob(const JobArrived& arrival, uint64_t order, MonoTime now);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_OPEN_JOB_H_
