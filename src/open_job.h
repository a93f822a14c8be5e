// A job that an entry has taken and not answered yet.
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
    kStopping,  // to run elsewhere, once its end is known
    kDone,
  };

  uint32_t step = 0;
  uint32_t index = 0;
  State state = State::kWaiting;
  RunNumber run = 0;  // the latest one
  std::string agent;  // where it runs
  uint64_t agent_incarnation = 0;
  MonoTime sent_at = absl::ZeroDuration();
  uint32_t run_ms = 0;  // of the run that was done
  uint32_t failures = 0;
  uint32_t moves = 0;           // runs given up because they took too long
  std::set<std::string> avoid;  // agents where it went badly
  std::vector<LostRun> lost;    // with the workers that ran it
  MonoTime not_before = absl::ZeroDuration();  // the next try to place it
};

struct OpenJob {
  StepJob job;  // its estimates are corrected by what was seen of the queue
  std::vector<uint32_t> caller_estimates_ms;  // of each step
  JobQueue queue;                             // as of the job's arrival
  std::vector<CallId> calls;
  uint64_t order = 0;  // of arrival, in this process
  MonoTime arrived_at = absl::ZeroDuration();
  absl::Duration caller_timeout;  // of the caller that came first
  bool deprioritised = false;  // its caller had no answer to an earlier attempt
  MonoTime expires_at = absl::ZeroDuration();
  std::vector<OpenTask> tasks;
  uint32_t waiting = 0;
  uint32_t done = 0;
  uint32_t retries = 0;
  uint32_t possibly_started = 0;  // runs sent, but for those that did nothing
  // Infinite: nothing was sent to a worker yet.
  MonoTime first_sent_at = absl::InfiniteDuration();

  // Which tasks the vector holds, in the order of their names.
  OpenTask* FindTask(const TaskRef& task);
  const JobStep& StepOf(const OpenTask& task) const {
    return job.steps[task.step];
  }
  // The most urgent gets room first: the priority of its queue, 0 first.
  uint32_t Urgency() const;
  // The caller's guess of its longest task.
  absl::Duration LongestEstimate() const;
  // The latency objective by that guess.
  absl::Duration Objective() const;
};

// A job whose tasks all wait.
OpenJob MakeOpenJob(const JobArrived& arrival, uint64_t order, MonoTime now);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_OPEN_JOB_H_
