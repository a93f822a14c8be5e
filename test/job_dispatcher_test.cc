// Tests how an entry handles its callers' jobs and the reports of agents.
#include "job_dispatcher.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "job_dispatcher_fixture.h"
#include "run_fixture.h"
#include "run_limits.h"

namespace egretswitch::internal {
namespace {

BOOST_FIXTURE_TEST_SUITE(job_dispatcher, JobDispatcherFixture)

BOOST_AUTO_TEST_CASE(job_is_sent_to_an_agent_with_capacity_in_one_message) {
  AddAgent("agent-1");
  const auto starts = SentTo<StartRuns>("agent-1", Arrive(1, 4));
  BOOST_REQUIRE(starts.size() == 1u);
  BOOST_TEST(starts[0].runs.size() == 4u);
  BOOST_TEST(starts[0].worker == "i-1");
  BOOST_TEST(starts[0].sent_at_ms <= clock.ms());
}

BOOST_AUTO_TEST_CASE(changed_evacuation_is_sent_to_each_linked_agent) {
  AddAgent("agent-1");
  const auto actions = Do(EvacuationsChanged{{7, {"south"}}});
  BOOST_TEST(SentTo<Evacuations>("agent-1", actions).size() == 1u);
}

BOOST_AUTO_TEST_CASE(
    evacuation_state_that_differs_only_in_its_offset_is_not_sent) {
  AddAgent("agent-1");
  Do(EvacuationsChanged{{7, {"south"}}});
  const auto actions = Do(EvacuationsChanged{{8, {"south"}}});
  BOOST_TEST(SentTo<Evacuations>("agent-1", actions).empty());
}

// Another entry, which has not received the end of the evacuation, has sent its
// older state to the agent.
BOOST_AUTO_TEST_CASE(
    agent_that_reports_an_old_evacuation_state_is_updated_once) {
  AddAgent("agent-1");
  Do(EvacuationsChanged{{8, {}}});
  WorkerStatus status = Status();
  status.evacuations = 7;
  const auto first = Report("agent-1", {}, status);
  const auto updates = SentTo<Evacuations>("agent-1", first);
  BOOST_REQUIRE(updates.size() == 1u);
  BOOST_TEST(updates[0].through == 8u);
  const auto second = Report("agent-1", {}, status);
  BOOST_TEST(SentTo<Evacuations>("agent-1", second).empty());
}

BOOST_AUTO_TEST_CASE(step_without_capacity_does_not_block_the_next_step) {
  Do(PeerConnected{"agent-1", 1});
  Report("agent-1", {}, Status(kSixCores));
  const JobArrived arrival =
      Arrival(1, "5c0e", {{1, kWholeWorker, 100}, {1, kSixCores, 100}});
  const auto starts = SentTo<StartRuns>("agent-1", Do(arrival));
  BOOST_REQUIRE(starts.size() == 1u);
  BOOST_TEST(starts[0].step == 1u);
}

BOOST_AUTO_TEST_CASE(job_behind_a_larger_one_without_capacity_is_started) {
  Do(PeerConnected{"agent-1", 1});
  Report("agent-1", {}, Status(kSixCores));
  const JobArrived large = Arrival(1, "1a2b", {{1, kWholeWorker, 100}});
  BOOST_TEST(SentTo<StartRuns>("agent-1", Do(large)).empty());
  BOOST_TEST(SentTo<StartRuns>("agent-1", Arrive(2, 1)).size() == 1u);
}

// The number of messages for waiting tasks must not grow with the deployment,
// nor exceed the number of waiting tasks.
BOOST_AUTO_TEST_CASE(waiting_job_asks_a_few_agents_at_a_time_and_each_in_turn) {
  constexpr int kAgents = 100;
  constexpr size_t kOthers = RunRenewals::kMaxOutsideRequests;
  for (int i = 0; i < kAgents; ++i) {
    const std::string agent = "agent-" + std::to_string(i);
    Do(PeerConnected{agent, 1});
    Report(agent, {}, Status({}));
  }
  std::set<std::string> asked;
  size_t most = 0;
  size_t first = 0;
  // 8 agents are in the subset; the others are asked 2 at a time.
  constexpr int kPasses = (kAgents - 8) / static_cast<int>(kOthers) + 2;
  for (int i = 0; i < kPasses; ++i) {
    size_t now_asked = 0;
    Arrive(static_cast<CallId>(i + 1), 1, "job-" + std::to_string(i));
    for (const SendRunMessage& send :
         ActionsOf<SendRunMessage>(Pass(absl::Milliseconds(20)))) {
      const auto* renewal = std::get_if<RenewRuns>(&send.body);
      if (renewal != nullptr && !renewal->wanted.empty()) {
        ++now_asked;
        asked.insert(send.peer);
        Report(send.peer, {}, Status({}));
      }
    }
    most = std::max(most, now_asked);
    first = i == 0 ? now_asked : first;
  }
  BOOST_TEST(first <= 2u, "one task waits");
  BOOST_TEST(most <= RunRenewals::kMaxSubsetRequests + kOthers);
  BOOST_TEST(asked.size() == static_cast<size_t>(kAgents));
}

BOOST_AUTO_TEST_CASE(job_whose_last_task_ends_is_answered_once) {
  AddAgent("agent-1");
  Arrive(1, 2);
  BOOST_TEST(
      Answers(Report("agent-1", {End(0, RunEnd::kDone)}, Status())).empty());
  const auto answers =
      Answers(Report("agent-1", {End(1, RunEnd::kDone)}, Status()));
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].verdict == JobVerdict::kCompleted));
  BOOST_TEST(
      Answers(Report("agent-1", {End(1, RunEnd::kDone)}, Status())).empty());
}

BOOST_AUTO_TEST_CASE(job_sent_again_while_it_runs_joins_it) {
  AddAgent("agent-1");
  Arrive(1, 1);
  BOOST_TEST(SentTo<StartRuns>("agent-1", Arrive(2, 1)).empty());
  const auto answers = ActionsOf<AnswerJob>(
      Report("agent-1", {End(0, RunEnd::kDone)}, Status()));
  BOOST_REQUIRE(answers.size() == 2u);
  BOOST_TEST(answers[0].call == 1u);
  BOOST_TEST(answers[1].call == 2u);
}

BOOST_AUTO_TEST_CASE(runs_of_a_disconnected_caller_are_stopped) {
  AddAgent("agent-1");
  Arrive(1, 1);
  const auto stops = SentTo<StopRuns>("agent-1", Do(CallerLeft{1}));
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST(stops[0].job == "5c0e");
  BOOST_TEST(dispatcher.open_jobs() == 0u);
}

BOOST_AUTO_TEST_CASE(job_keeps_running_while_another_caller_waits) {
  AddAgent("agent-1");
  Arrive(1, 1);
  Arrive(2, 1);
  BOOST_TEST(SentTo<StopRuns>("agent-1", Do(CallerLeft{1})).empty());
  BOOST_TEST(dispatcher.open_jobs() == 1u);
}

BOOST_AUTO_TEST_CASE(
    task_refused_for_lack_of_capacity_is_sent_to_another_agent) {
  AddAgent("agent-1");
  Arrive(1, 1);
  AddAgent("agent-2");
  const auto actions =
      Report("agent-1", {End(0, RunEnd::kNoCapacity)}, Status({0, 0, 0}));
  const auto starts = SentTo<StartRuns>("agent-2", actions);
  BOOST_REQUIRE(starts.size() == 1u);
  BOOST_TEST(starts[0].runs[0].run == 2u);
}

BOOST_AUTO_TEST_CASE(task_whose_run_number_was_seen_before_gets_a_higher_one) {
  AddAgent("agent-1");
  Arrive(1, 1);
  const auto starts = SentTo<StartRuns>(
      "agent-1", Report("agent-1", {End(0, RunEnd::kOldNumber)}, Status()));
  BOOST_REQUIRE(starts.size() == 1u);
  BOOST_TEST(starts[0].runs[0].run > 10u);
}

// A start of the first attempt that was long delayed may be refused while the
// second attempt has a run of the same number.
BOOST_AUTO_TEST_CASE(report_of_an_earlier_attempt_is_ignored) {
  AddAgent("agent-1");
  Arrive(1, 1);
  Do(CallerLeft{1});
  Arrive(2, 1);
  const auto over =
      Report("agent-1", {End(0, RunEnd::kStopped, 1, 1)}, Status());
  BOOST_TEST(SentTo<StartRuns>("agent-1", over).size() == 1u);
  const auto actions =
      Report("agent-1", {End(0, RunEnd::kStale, 1, 1)}, Status());
  BOOST_TEST(SentTo<StartRuns>("agent-1", actions).empty());
  const auto answers =
      Answers(Report("agent-1", {End(0, RunEnd::kDone, 1, 2)}, Status()));
  BOOST_TEST(answers.size() == 1u);
}

BOOST_AUTO_TEST_CASE(task_that_failed_max_attempts_times_fails_its_job) {
  AddAgent("agent-1");
  Arrive(1, 2);
  const auto again = Report("agent-1", {End(0, RunEnd::kFailed)}, Status());
  BOOST_TEST(SentTo<StartRuns>("agent-1", again).size() == 1u);
  const auto actions =
      Report("agent-1", {End(0, RunEnd::kFailed, 2)}, Status());
  const auto answers = Answers(actions);
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].verdict == JobVerdict::kFailed));
  BOOST_TEST(SentTo<StopRuns>("agent-1", actions).size() == 1u);
}

BOOST_AUTO_TEST_CASE(job_never_started_is_answered_not_run_with_a_retry_delay) {
  Arrive(1, 1);
  const auto answers = Answers(Pass(absl::Seconds(3)));
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].verdict == JobVerdict::kNotRun));
  BOOST_TEST((answers[0].retry_after > absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(job_refused_by_every_agent_is_refused_as_not_run) {
  AddAgent("agent-1");
  Arrive(1, 1);
  Report("agent-1", {End(0, RunEnd::kNoCapacity)}, Status({0, 0, 0}));
  const auto answers = Answers(Pass(absl::Seconds(3)));
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].verdict == JobVerdict::kNotRun));
}

BOOST_AUTO_TEST_CASE(job_started_and_overdue_is_answered_may_have_run) {
  AddAgent("agent-1");
  Arrive(1, 1);
  std::vector<JobAnswer> answers;
  for (int i = 0; i < 40 && answers.empty(); ++i) {
    answers = Answers(Pass(absl::Milliseconds(100)));
    Report("agent-1", {}, Status());
  }
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].verdict == JobVerdict::kMayHaveRun));
}

// During the pause the callers may have sent their jobs to other entries.
BOOST_AUTO_TEST_CASE(pause_longer_than_the_limit_ends_every_job) {
  AddAgent("agent-1");
  Arrive(1, 1);
  clock.Advance(kMaxEntryPause + absl::Milliseconds(1));
  const auto actions = Do(TimePassed{});
  BOOST_TEST(SentTo<StopRuns>("agent-1", actions).size() == 1u);
  const auto answers = Answers(actions);
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].verdict == JobVerdict::kMayHaveRun));
}

// Guards against a renewal for a caller that left during a pause: the event
// loop may handle its timers before the end of the caller's connection.
BOOST_AUTO_TEST_CASE(
    short_pause_holds_starts_and_renewals_until_callers_are_checked) {
  AddAgent("agent-1");
  Arrive(1, 1);
  Pass(absl::Milliseconds(100));
  Report("agent-1", {}, Status());
  clock.Advance(kMaxEntryPause - absl::Milliseconds(50));
  const auto woken = dispatcher.Handle(TimePassed{}, clock.now());
  BOOST_TEST(ActionsOf<CheckCallers>(woken).size() == 1u);
  BOOST_TEST(SentTo<RenewRuns>("agent-1", woken).empty());
  BOOST_TEST(SentTo<StartRuns>("agent-1", Arrive(2, 1, "77aa")).empty());
  Do(CallerLeft{1});
  const auto checked = Do(CallersChecked{});
  BOOST_TEST(SentTo<StartRuns>("agent-1", checked).size() == 1u);
  const auto renewed = SentTo<RenewRuns>("agent-1", Pass(kRenewPeriod));
  BOOST_REQUIRE(renewed.size() == 1u);
  BOOST_TEST(renewed[0].wanted_attempts->size() == 1u);
}

// The request was queued in the socket during the pause: its caller may have
// disconnected, and a later attempt may run at another entry.
BOOST_AUTO_TEST_CASE(request_read_right_after_a_pause_is_refused_as_not_run) {
  AddAgent("agent-1");
  clock.Advance(kMaxEntryPause + absl::Milliseconds(1));
  const auto actions = Arrive(1, 1);
  BOOST_TEST(SentTo<StartRuns>("agent-1", actions).empty());
  const auto answers = Answers(actions);
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].verdict == JobVerdict::kNotRun));
}

BOOST_AUTO_TEST_CASE(request_read_later_after_a_pause_is_served) {
  AddAgent("agent-1");
  clock.Advance(kMaxEntryPause + absl::Milliseconds(1));
  Do(TimePassed{});
  Pass(absl::Milliseconds(200));
  BOOST_TEST(SentTo<StartRuns>("agent-1", Arrive(1, 1)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(idle_dispatcher_wakes_well_within_the_pause_limit) {
  AddAgent("agent-1");
  BOOST_TEST((dispatcher.NextWake() - clock.now().mono <= kMaxEntryPause / 4));
}

// The entry has no runs at such an agent whose ends would report free capacity.
BOOST_AUTO_TEST_CASE(waiting_job_asks_full_agents_for_capacity) {
  AddAgent("agent-1");
  Report("agent-1", {}, Status({0, 0, 0}));
  Arrive(1, 1);
  const auto asked = SentTo<RenewRuns>("agent-1", Pass(absl::Milliseconds(40)));
  BOOST_REQUIRE(!asked.empty());
  BOOST_REQUIRE(asked[0].wanted.size() == 1u);
  BOOST_TEST(asked[0].wanted[0].needs.millicores == kSixCores.millicores);
  BOOST_TEST(
      SentTo<StartRuns>("agent-1", Report("agent-1", {}, Status())).size() ==
      1u);
}

BOOST_AUTO_TEST_CASE(shutdown_answers_every_job_with_its_verdict) {
  AddAgent("agent-1");
  Arrive(1, 1);
  Report("agent-1", {}, Status({0, 0, 0}));
  Arrive(2, 1, "other");
  const JobDispatcherActions actions = dispatcher.AbandonAllJobs(clock.now());
  for (const AnswerJob& answer : ActionsOf<AnswerJob>(actions)) {
    BOOST_TEST(
        (answer.answer.verdict ==
         (answer.call == 1 ? JobVerdict::kMayHaveRun : JobVerdict::kNotRun)));
  }
  BOOST_TEST(ActionsOf<AnswerJob>(actions).size() == 2u);
  BOOST_TEST(SentTo<StopRuns>("agent-1", actions).size() == 1u);
  BOOST_TEST(dispatcher.open_jobs() == 0u);
}

BOOST_AUTO_TEST_CASE(waiting_jobs_are_started_by_priority_then_by_arrival) {
  AddAgent("agent-1");
  Report("agent-1", {}, Status({0, 0, 0}));
  Arrive(1, 1, "a", 2);
  Arrive(2, 1, "b", 0);
  Arrive(3, 1, "c", 0);
  const auto starts = SentTo<StartRuns>(
      "agent-1", Report("agent-1", {}, Status({12000, 1024, 0})));
  BOOST_REQUIRE(starts.size() == 2u);
  BOOST_TEST(starts[0].job == "b");
  BOOST_TEST(starts[1].job == "c");
}

BOOST_AUTO_TEST_CASE(task_far_slower_than_its_siblings_is_moved) {
  AddAgent("agent-1");
  Arrive(1, 2);
  AddAgent("agent-2");
  Report("agent-1", {End(0, RunEnd::kDone)}, Status());
  std::vector<StopRuns> stops;
  for (int i = 0; i < 30 && stops.empty(); ++i) {
    stops = SentTo<StopRuns>("agent-1", Pass(absl::Milliseconds(20)));
    Report("agent-1", {}, Status());
  }
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST(stops[0].runs.size() == 1u);
  const auto moved = Report("agent-1", {End(1, RunEnd::kStopped)}, Status());
  BOOST_TEST(SentTo<StartRuns>("agent-2", moved).size() == 1u);
}

// The task crashes each worker that starts it.
BOOST_AUTO_TEST_CASE(task_whose_workers_crash_is_abandoned_after_two) {
  AddAgent("agent-1");
  AddAgent("agent-2");
  AddAgent("agent-3");
  std::set<std::string> started;
  const auto where = [&started](const JobDispatcherActions& actions) {
    for (const SendRunMessage& sent : ActionsOf<SendRunMessage>(actions)) {
      if (std::holds_alternative<StartRuns>(sent.body)) {
        started.insert(sent.peer);
        return sent.peer;
      }
    }
    return std::string();
  };
  const std::string first = where(Arrive(1, 1));
  const std::string second =
      where(Report(first, {End(0, RunEnd::kWorkerLost)}, Status()));
  BOOST_REQUIRE(!second.empty());
  const auto ended = Report(second, {End(0, RunEnd::kWorkerLost, 2)}, Status());
  BOOST_TEST(started.size() == 2u);
  BOOST_TEST(where(ended).empty());
  const auto answers = Answers(ended);
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].verdict == JobVerdict::kFailed));
  BOOST_TEST(answers[0].reason == "crashes_workers");
}

BOOST_AUTO_TEST_CASE(restarted_worker_gets_other_tasks_at_once) {
  AddAgent("agent-1");
  Arrive(1, 1);
  Report("agent-1", {End(0, RunEnd::kWorkerLost)}, Status());
  const auto starts = SentTo<StartRuns>("agent-1", Arrive(2, 1, "other"));
  BOOST_TEST(starts.size() == 1u);
}

BOOST_AUTO_TEST_CASE(task_that_fits_no_linked_worker_requests_a_larger_subset) {
  AddAgent("agent-1");
  Arrive(1, 1);
  Pass(absl::Milliseconds(100));
  BOOST_TEST(dispatcher.pool().subsets().at("desk").sufficient);
  Do(Arrival(2, "large", {{1, {6000, 64, 1}, 100}}));
  Pass(absl::Milliseconds(20));
  BOOST_TEST(!dispatcher.pool().subsets().at("desk").sufficient);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
