// Tests when the lost runs of a task are blamed on the task.
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
  // Records the loss for the worker and for the task, as an entry does.
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

BOOST_AUTO_TEST_CASE(two_crashes_at_two_agents_are_the_tasks_fault) {
  BOOST_TEST((Crash("agent-1", kFirst) == LossVerdict::kTryAgain));
  BOOST_TEST((Crash("agent-2", kSecond) == LossVerdict::kCrashesWorkers));
}

// Guards against blaming a task for one faulty worker.
BOOST_AUTO_TEST_CASE(two_crashes_at_one_agent_are_not_the_tasks_fault) {
  Crash("agent-1", kFirst);
  BOOST_TEST((Crash("agent-1", kSecond) == LossVerdict::kTryAgain));
}

// Guards against blaming a task for disconnected or frozen workers.
BOOST_AUTO_TEST_CASE(unresponsive_workers_are_not_the_tasks_fault) {
  Lose("agent-1", kFirst, RunLoss::kWorkerGone);
  BOOST_TEST((Lose("agent-2", kSecond, RunLoss::kWorkerGone) ==
              LossVerdict::kTryAgain));
  BOOST_TEST((Lose("agent-3", kThird, RunLoss::kWorkerGone) ==
              LossVerdict::kTooManyLosses));
}

// Guards against unlimited retries of a task that crashes its workers before
// its starts are answered.
BOOST_AUTO_TEST_CASE(third_unconfirmed_loss_ends_the_retries) {
  Lose("agent-1", kFirst, RunLoss::kMayHaveBegun);
  Lose("agent-2", kSecond, RunLoss::kMayHaveBegun);
  BOOST_TEST((Lose("agent-3", kThird, RunLoss::kMayHaveBegun) ==
              LossVerdict::kTooManyLosses));
}

BOOST_AUTO_TEST_CASE(
    crash_beside_an_unresponsive_worker_is_not_the_tasks_fault) {
  Lose("agent-1", kFirst, RunLoss::kWorkerGone);
  BOOST_TEST((Crash("agent-2", kSecond) == LossVerdict::kTryAgain));
}

// Guards against blaming a task for racks that lose power.
BOOST_AUTO_TEST_CASE(crashes_beside_other_losses_are_not_the_tasks_fault) {
  Crash("agent-1", kFirst);
  losses.Record("agent-7", kFirst + absl::Milliseconds(200));
  BOOST_TEST((Crash("agent-2", kSecond) == LossVerdict::kTryAgain));
}

// Guards against unlimited retries of a crashing task because other workers are
// lost at the same times.
BOOST_AUTO_TEST_CASE(third_crash_is_the_tasks_fault_even_beside_other_losses) {
  losses.Record("agent-7", kFirst);
  Crash("agent-1", kFirst);
  losses.Record("agent-8", kSecond);
  Crash("agent-2", kSecond);
  losses.Record("agent-7", kThird);
  BOOST_TEST((Crash("agent-3", kThird) == LossVerdict::kCrashesWorkers));
}

BOOST_AUTO_TEST_CASE(crash_long_after_other_losses_counts) {
  losses.Record("agent-7", kFirst - absl::Seconds(5));
  Crash("agent-1", kFirst);
  BOOST_TEST((Crash("agent-2", kSecond) == LossVerdict::kCrashesWorkers));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
