// Tests sound jobs on workers that are lost, and jobs that crash their workers,
// in virtual time with the real state machines of entries and agents.
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "run_world.h"

namespace egretswitch::internal {
namespace {

constexpr int kWorkers = 8;
constexpr VirtualUs kDay = Ms(16'000);

// Jobs of two tasks, one every 80 ms.
std::vector<JobPlan> SoundJobs() {
  std::vector<JobPlan> plans;
  for (int i = 0; i < 100; ++i) {
    JobPlan plan;
    plan.id = "sound-" + std::to_string(i);
    plan.at = Ms(1000 + 80 * i);
    plan.work_ms.assign(2, i % 5 == 0 ? 600 : 120);
    plan.estimate_ms = 200;
    plan.queue.service = "desk";
    plan.queue.max_attempts = 3;
    plan.queue.stretch = 1.6;
    plan.queue.objective_ms = 60;
    plans.push_back(plan);
  }
  return plans;
}

RunWorldOptions WorldOf(uint64_t seed, std::vector<JobPlan> plans) {
  return {.seed = seed,
          .agents = kWorkers,
          .faults = 0,
          .same_worker_ids = seed % 2 == 0,
          .plans = std::move(plans)};
}

int Failed(const RunWorld& world) {
  int failed = 0;
  for (int job = 0; job < world.jobs(); ++job) {
    failed += world.OutcomeOf(job).verdict == JobVerdict::kFailed ? 1 : 0;
  }
  return failed;
}

// Crashes the first `count` workers. Each restarts after `down`, and 60 ms
// after the one before it.
void CrashTogether(RunWorld& world, VirtualUs at, int count, VirtualUs down) {
  for (int agent = 0; agent < count; ++agent) {
    world.At(at, [&world, agent, down] {
      world.CrashWorker(agent, down + Ms(60) * agent);
    });
  }
}

BOOST_AUTO_TEST_SUITE(worker_loss)

// Guards against sound jobs that are answered as failed after one loss of
// power. A start that is sent to a terminated worker never began.
BOOST_AUTO_TEST_CASE(jobs_whose_workers_crash_together_are_not_failed) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    RunWorld world(WorldOf(seed, SoundJobs()));
    CrashTogether(world, Ms(3000), kWorkers, Ms(600));
    CrashTogether(world, Ms(6000), kWorkers, Ms(300));
    world.Run(kDay);
    BOOST_TEST(Failed(world) == 0, "seed " << seed);
    BOOST_TEST(world.violations().empty(), "seed " << seed);
  }
}

// Guards against sound jobs that are failed after two losses of power in a row.
BOOST_AUTO_TEST_CASE(jobs_under_two_crashes_of_many_workers_are_not_failed) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    RunWorld world(WorldOf(seed, SoundJobs()));
    CrashTogether(world, Ms(3000), kWorkers, Ms(50));
    CrashTogether(world, Ms(3700), kWorkers, Ms(50));
    world.Run(kDay);
    BOOST_TEST(Failed(world) == 0, "seed " << seed);
    BOOST_TEST(world.violations().empty(), "seed " << seed);
  }
}

// Guards against sound jobs that are failed because workers are unresponsive.
BOOST_AUTO_TEST_CASE(jobs_on_unresponsive_workers_are_not_failed) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    RunWorld world(WorldOf(seed, SoundJobs()));
    for (int agent = 0; agent < kWorkers; ++agent) {
      const VirtualUs at = Ms(3000) + Ms(350) * agent;
      world.At(at, [&world, agent] { world.LoseAnswers(agent, 100); });
      world.At(at + Ms(1500), [&world, agent] { world.LoseAnswers(agent, 0); });
    }
    world.Run(kDay);
    BOOST_TEST(Failed(world) == 0, "seed " << seed);
    BOOST_TEST(world.violations().empty(), "seed " << seed);
  }
}

// Guards against a task that crashes one worker after another.
BOOST_AUTO_TEST_CASE(job_that_crashes_its_workers_is_failed_after_two) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    std::vector<JobPlan> plans = SoundJobs();
    JobPlan& crashing = plans[25];
    crashing.work_ms.assign(1, 5000);
    crashing.crashes_workers = true;
    RunWorld world(WorldOf(seed, plans));
    world.Run(kDay);
    BOOST_TEST((world.OutcomeOf(25).verdict == JobVerdict::kFailed),
               "seed " << seed);
    BOOST_TEST(world.CrashesUnder(25) == 2, "seed " << seed);
    BOOST_TEST(Failed(world) == 1, "seed " << seed);
  }
}

// Guards against retrying a crashing task because other workers are lost at the
// same times. It is failed after one more crash.
BOOST_AUTO_TEST_CASE(
    job_that_crashes_its_workers_amid_losses_is_failed_after_three) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    std::vector<JobPlan> plans = SoundJobs();
    JobPlan& crashing = plans[25];
    crashing.work_ms.assign(1, 5000);
    crashing.crashes_workers = true;
    RunWorld world(WorldOf(seed, plans));
    for (int round = 0; round < 10; ++round) {
      world.At(Ms(2800) + Ms(200) * round, [&world, round] {
        world.CrashWorker(round % kWorkers, Ms(50));
      });
    }
    world.Run(kDay);
    BOOST_TEST((world.OutcomeOf(25).verdict == JobVerdict::kFailed),
               "seed " << seed);
    BOOST_TEST(world.CrashesUnder(25) >= 2, "seed " << seed);
    BOOST_TEST(world.CrashesUnder(25) <= 3, "seed " << seed);
  }
}

// Guards against a task that crashes worker after worker when these do not
// restart for long, so that the crashes are not confirmed.
BOOST_AUTO_TEST_CASE(job_with_unconfirmed_crashes_has_three_per_attempt) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    std::vector<JobPlan> plans = SoundJobs();
    JobPlan& crashing = plans[25];
    crashing.work_ms.assign(1, 5000);
    crashing.crashes_workers = true;
    crashing.crashed_for = Ms(4000);
    crashing.caller_timeout = Ms(6000);
    crashing.caller_timeout_is_total = true;
    RunWorld world(WorldOf(seed, plans));
    world.Run(kDay);
    BOOST_TEST(world.CrashesUnder(25) <= 3 * world.OutcomeOf(25).attempts,
               "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
