// A job dispatcher whose agents and callers are simulated by the test.
//
//   AddAgent("agent-1");
//   SentTo<StartRuns>("agent-1", Arrive(1, 4))     // one message, four runs
#ifndef EGRETSWITCH_TEST_JOB_DISPATCHER_FIXTURE_H_
#define EGRETSWITCH_TEST_JOB_DISPATCHER_FIXTURE_H_

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "job_dispatcher.h"
#include "run_fixture.h"

namespace egretswitch::internal {

struct JobDispatcherFixture {
  // Answers CheckCallers as the daemon does; no caller has left.
  JobDispatcherActions Do(const JobDispatcherEvent& event) {
    JobDispatcherActions actions = dispatcher.Handle(event, clock.now());
    if (!ActionsOf<CheckCallers>(actions).empty()) {
      for (JobDispatcherAction& action :
           dispatcher.Handle(CallersChecked{}, clock.now())) {
        actions.push_back(std::move(action));
      }
    }
    return actions;
  }

  // Advances time in steps of the dispatcher's check period.
  JobDispatcherActions Pass(absl::Duration by) {
    JobDispatcherActions all;
    const absl::Duration step = absl::Milliseconds(20);
    while (by > absl::ZeroDuration()) {
      clock.Advance(std::min(by, step));
      by -= step;
      for (JobDispatcherAction& action : Do(TimePassed{})) {
        all.push_back(std::move(action));
      }
    }
    return all;
  }

  WorkerStatus Status(TaskNeeds free = kWholeWorker) {
    return {.worker = "i-1",
            .service = "desk",
            .kind = "a",
            .capacity = kWholeWorker,
            .free = free,
            .started_through = 100,
            .accepting = true};
  }

  JobDispatcherActions Report(const std::string& agent,
                              std::vector<RunReport> reports,
                              WorkerStatus status) {
    return Do(
        PeerMessageReceived{agent, 1, RunReports{clock.ms(), status, reports}});
  }

  JobDispatcherActions AddAgent(const std::string& agent) {
    Do(PeerConnected{agent, 1});
    return Report(agent, {}, Status());
  }

  static JobArrived Arrival(CallId call,
                            const std::string& id,
                            std::vector<JobStep> steps) {
    JobArrived arrival;
    arrival.call = call;
    arrival.job.id = id;
    arrival.job.spec = "text";
    arrival.job.steps = std::move(steps);
    arrival.job.may_run_again = true;
    arrival.queue.name = "checks";
    arrival.queue.service = "desk";
    arrival.queue.timeout_ms = 1500;
    arrival.queue.max_attempts = 2;
    arrival.queue.stretch = 1.6;
    arrival.queue.objective_ms = 60;
    arrival.caller_timeout = absl::Seconds(3);
    return arrival;
  }

  JobDispatcherActions Arrive(CallId call,
                              uint32_t tasks,
                              const std::string& id = "5c0e",
                              uint32_t priority = 0) {
    JobArrived arrival = Arrival(call, id, {{tasks, kSixCores, 100}});
    arrival.queue.priority = priority;
    return Do(arrival);
  }

  static RunReport End(uint32_t index,
                       RunEnd end,
                       RunNumber run = 1,
                       uint64_t attempt = 1) {
    return {{"5c0e", 0, index},     run, end, 100, attempt,
            RunLoss::kWorkerCrashed};
  }

  static std::vector<JobAnswer> Answers(const JobDispatcherActions& actions) {
    std::vector<JobAnswer> answers;
    for (const AnswerJob& answer : ActionsOf<AnswerJob>(actions)) {
      answers.push_back(answer.answer);
    }
    return answers;
  }

  VirtualClock clock;
  JobDispatcher dispatcher{1};
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_JOB_DISPATCHER_FIXTURE_H_
