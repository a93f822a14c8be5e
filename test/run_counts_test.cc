// Tests that an entry's number of runs at a worker is that of its tasks there,
// whatever ends a job, and what depends on it: renewals, and the restart of
// tasks whose agent is lost.
#include <boost/test/unit_test.hpp>
#include <string>

#include "job_dispatcher_fixture.h"
#include "long_jobs.h"
#include "run_limits.h"
#include "run_world.h"

namespace egretswitch::internal {
namespace {

constexpr char kLongJob[] = "5c0e";
constexpr char kFailingJob[] = "f00d";
constexpr uint64_t kFailingAttempt = 2;

// A long job runs at agent-1, and beside it one whose first failure ends it.
struct RunCountsFixture : JobDispatcherFixture {
  RunCountsFixture() {
    AddAgent("agent-1");
    Submit(1, kLongJob, 1);
    Submit(2, kFailingJob, 2);
  }

  void Submit(CallId call, const std::string& id, uint32_t tasks) {
    JobArrived arrival = Arrival(call, id, {{tasks, kSixCores, 3000}});
    arrival.queue.max_attempts = 1;
    arrival.caller_timeout = absl::Seconds(14);
    Do(arrival);
  }
  JobDispatcherActions EndFailingJob(RunEnd end) {
    RunReport report = End(0, end, 1, kFailingAttempt);
    report.task.job = kFailingJob;
    return Report("agent-1", {report}, Status());
  }
  // The agent answers all renewals.
  JobDispatcherActions PassInTouch(absl::Duration by) {
    JobDispatcherActions all;
    const absl::Duration step = absl::Milliseconds(100);
    for (; by > absl::ZeroDuration(); by -= step) {
      for (JobDispatcherAction& action : Pass(step)) {
        all.push_back(std::move(action));
      }
      Report("agent-1", {}, Status());
    }
    return all;
  }
  const PooledWorker& Worker() const {
    return *dispatcher.pool().Find("agent-1");
  }
  bool CountsAgree() const { return dispatcher.CheckRunCounts().ok(); }
};

BOOST_FIXTURE_TEST_SUITE(run_counts, RunCountsFixture)

// Guards against a run that is taken off the record twice.
BOOST_AUTO_TEST_CASE(run_that_fails_its_job_is_not_counted_as_abandoned) {
  BOOST_TEST(Worker().runs == 3u);
  const auto answers = Answers(EndFailingJob(RunEnd::kFailed));
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].verdict == JobVerdict::kFailed));
  BOOST_TEST(Worker().runs == 1u);
  BOOST_REQUIRE(Worker().abandoned.attempts().size() == 1u);
  BOOST_TEST(Worker().abandoned.attempts()[0].runs == 1u);
  BOOST_TEST(CountsAgree());
}

// The worker crashes under the task as often as ends the job.
BOOST_AUTO_TEST_CASE(run_whose_loss_ends_its_job_is_not_counted_as_abandoned) {
  for (RunNumber run = 1; run <= 3; ++run) {
    const std::string agent = "agent-" + std::to_string(run);
    RunReport report = End(0, RunEnd::kWorkerLost, run, kFailingAttempt);
    report.task.job = kFailingJob;
    AddAgent("agent-" + std::to_string(run + 1));
    Report(agent, {report}, Status());
    BOOST_TEST(CountsAgree());
  }
  BOOST_TEST(dispatcher.open_jobs() == 1u);
  BOOST_TEST(Worker().runs == 1u);
}

BOOST_AUTO_TEST_CASE(run_that_completes_its_job_leaves_the_others_on_record) {
  RunReport report = End(0, RunEnd::kDone, 1, kFailingAttempt);
  report.task.job = kFailingJob;
  RunReport second = report;
  second.task.index = 1;
  Report("agent-1", {report, second}, Status());
  BOOST_TEST(dispatcher.open_jobs() == 1u);
  BOOST_TEST(Worker().runs == 1u);
  BOOST_TEST(CountsAgree());
}

// Guards against a sound run that its agent stops as `entry_silent`.
BOOST_AUTO_TEST_CASE(run_beside_a_failed_job_is_renewed_until_it_is_done) {
  EndFailingJob(RunEnd::kFailed);
  PassInTouch(2 * kRunCertainlyOver);
  const auto renewals = SentTo<RenewRuns>("agent-1", PassInTouch(kRunLease));
  BOOST_REQUIRE(!renewals.empty());
  BOOST_REQUIRE(renewals.back().wanted_attempts.has_value());
  BOOST_TEST(renewals.back().wanted_attempts->size() == 1u);
}

// Guards against a task that stays at a lost agent.
BOOST_AUTO_TEST_CASE(run_beside_a_failed_job_starts_elsewhere_after_its_loss) {
  EndFailingJob(RunEnd::kFailed);
  AddAgent("agent-2");
  Do(PeerDisconnected{"agent-1", 1});
  const auto starts = SentTo<StartRuns>(
      "agent-2", Pass(kRunCertainlyOver + absl::Milliseconds(100)));
  BOOST_REQUIRE(starts.size() == 1u);
  BOOST_TEST(starts[0].job == kLongJob);
}

// Guards against an entry that ends as a job's time is up, since a task names
// an agent that is no longer on record.
BOOST_AUTO_TEST_CASE(entry_outlives_a_job_whose_agent_is_lost_for_long) {
  EndFailingJob(RunEnd::kFailed);
  Do(PeerDisconnected{"agent-1", 1});
  const auto answers = Answers(Pass(absl::Seconds(14)));
  BOOST_TEST(answers.size() == 1u);
  BOOST_TEST(dispatcher.open_jobs() == 0u);
  BOOST_TEST(CountsAgree());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(run_counts_of_a_deployment)

// No process is disturbed, so no run is stopped and no task starts twice.
BOOST_AUTO_TEST_CASE(long_runs_beside_failing_jobs_go_on_in_quiet_times) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    RunWorld world(
        {.seed = seed, .faults = 0, .plans = LongJobsBesideFailingOnes()});
    world.Run(Ms(40'000));
    BOOST_TEST(world.violations().empty(), "seed " << seed << LogOf(world));
    BOOST_TEST(world.CountAtAgents(RunCounter::kStoppedEntrySilent) == 0u,
               "seed " << seed);
    for (int job = 0; job < world.jobs(); ++job) {
      BOOST_TEST(world.OutcomeOf(job).attempts == 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(counts_of_runs_agree_under_drawn_faults) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    RunWorld world(
        {.seed = seed, .faults = 6, .plans = LongJobsBesideFailingOnes()});
    world.Run(Ms(40'000));
    BOOST_TEST(world.violations().empty(), "seed " << seed << LogOf(world));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
