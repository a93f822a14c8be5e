// What the losses of a task's runs say of the task.
#include "lost_runs.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace egretswitch::internal {
namespace {

const MonoTime kFirst = absl::Seconds(100);
const MonoTime kSecond = kFirst + absl::Milliseconds(700);
const MonoTime kThird = kSecond + absl::Milliseconds(700);

struct LostRunsFixture {
  // As an entry does: the loss is one of the workers', too.
  LossVerdict Lose(const std::string& agent, MonoTime at, RunLoss loss) {
    losses.Record(agent, at);
    lost.push_back({agent, at, loss});
    return JudgeLostRuns(lost, losses);
  }
  LossVerdict Crash(const std::string& agent, MonoTime at) {
    return Lose(agent, at, RunLoss::kWorkerCrashed);
  }

  WorkerLosses losses;
  std::vector<LostRun> lost;
};

BOOST_FIXTURE_TEST_SUITE(lost_runs, LostRunsFixture)

BOOST_AUTO_TEST_CASE(two_crashes_on_two_machines_are_the_tasks_fault) {
  BOOST_TEST((Crash("agent-1", kFirst) == LossVerdict::kTryAgain));
  BOOST_TEST((Crash("agent-2", kSecond) == LossVerdict::kCrashesWorkers));
}

// Guards against a task that is blamed for one machine's worker.
BOOST_AUTO_TEST_CASE(two_crashes_on_one_machine_are_not_the_tasks_fault) {
  Crash("agent-1", kFirst);
  BOOST_TEST((Crash("agent-1", kSecond) == LossVerdict::kTryAgain));
}

// Guards against a task that is blamed for workers that are cut off or frozen.
BOOST_AUTO_TEST_CASE(workers_that_fell_silent_are_not_the_tasks_fault) {
  Lose("agent-1", kFirst, RunLoss::kWorkerGone);
  BOOST_TEST((Lose("agent-2", kSecond, RunLoss::kWorkerGone) ==
              LossVerdict::kTryAgain));
  BOOST_TEST((Lose("agent-3", kThird, RunLoss::kWorkerGone) ==
              LossVerdict::kTooManyLosses));
}

// Guards against a task that crashes workers before its starts are answered.
BOOST_AUTO_TEST_CASE(third_start_lost_unanswered_ends_the_tries) {
  Lose("agent-1", kFirst, RunLoss::kMayHaveBegun);
  Lose("agent-2", kSecond, RunLoss::kMayHaveBegun);
  BOOST_TEST((Lose("agent-3", kThird, RunLoss::kMayHaveBegun) ==
              LossVerdict::kTooManyLosses));
}

BOOST_AUTO_TEST_CASE(crash_beside_a_silence_is_not_the_tasks_fault) {
  Lose("agent-1", kFirst, RunLoss::kWorkerGone);
  BOOST_TEST((Crash("agent-2", kSecond) == LossVerdict::kTryAgain));
}

// Guards against a task that is blamed for racks that lose power.
BOOST_AUTO_TEST_CASE(crashes_beside_those_of_others_are_not_the_tasks_fault) {
  Crash("agent-1", kFirst);
  losses.Record("agent-7", kFirst + absl::Milliseconds(200));
  BOOST_TEST((Crash("agent-2", kSecond) == LossVerdict::kTryAgain));
}

// Guards against a task that hides behind the losses of others.
BOOST_AUTO_TEST_CASE(third_crash_is_the_tasks_fault_beside_others_too) {
  losses.Record("agent-7", kFirst);
  Crash("agent-1", kFirst);
  losses.Record("agent-8", kSecond);
  Crash("agent-2", kSecond);
  losses.Record("agent-7", kThird);
  BOOST_TEST((Crash("agent-3", kThird) == LossVerdict::kCrashesWorkers));
}

BOOST_AUTO_TEST_CASE(crash_long_after_those_of_others_counts) {
  losses.Record("agent-7", kFirst - absl::Seconds(5));
  Crash("agent-1", kFirst);
  BOOST_TEST((Crash("agent-2", kSecond) == LossVerdict::kCrashesWorkers));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
