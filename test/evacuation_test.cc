// Tests data centres that are evacuated under load and taken back into service,
// in virtual time: the real state machines of entries and agents (RunWorld),
// with six workers in three data centres.
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "run_fixture.h"
#include "run_world.h"

namespace egretswitch::internal {
namespace {

constexpr VirtualUs kEvacuated = Ms(2000);

// Every 5 ms a job of two small tasks; together the jobs use a twelfth of the
// capacity.
std::vector<JobPlan> SteadyJobs(VirtualUs until) {
  std::vector<JobPlan> plans;
  for (VirtualUs at = Ms(600); at < until; at += Ms(5)) {
    JobPlan plan;
    plan.id = "job-" + std::to_string(plans.size());
    plan.at = at;
    plan.work_ms = {100, 100};
    plan.needs = {300, 1, 0};
    plan.estimate_ms = 100;
    plan.queue.name = "checks";
    plan.queue.service = "desk";
    plan.queue.timeout_ms = 1500;
    plan.queue.max_attempts = 3;
    plan.queue.stretch = 1.6;
    plan.queue.objective_ms = 60;
    plans.push_back(plan);
  }
  return plans;
}

struct EvacuationFixture {
  // Counts the completed jobs of those submitted in [from, to).
  int CompletedBetween(VirtualUs from, VirtualUs to) const {
    int completed = 0;
    for (size_t i = 0; i < plans.size(); ++i) {
      const JobOutcome outcome = world.OutcomeOf(static_cast<int>(i));
      const bool in_interval = plans[i].at >= from && plans[i].at < to;
      completed +=
          in_interval && outcome.verdict == JobVerdict::kCompleted ? 1 : 0;
    }
    return completed;
  }

  // Counts the starts in the data centre during [from, to) into `count`, while
  // the world runs.
  void CountStarts(int data_centre, VirtualUs from, VirtualUs to, int& count) {
    world.At(from, [this, data_centre, &count] {
      count = -world.StartsIn(data_centre);
    });
    world.At(to, [this, data_centre, &count] {
      count += world.StartsIn(data_centre);
    });
  }

  void EvacuateAt(VirtualUs at, std::vector<int> data_centres) {
    world.At(at, [this, data_centres] { world.SetEvacuated(data_centres); });
  }

  std::vector<JobPlan> plans = SteadyJobs(Ms(8000));
  RunWorld world{{.seed = 1, .agents = 6, .faults = 0, .plans = plans}};
};

BOOST_FIXTURE_TEST_SUITE(evacuation, EvacuationFixture)

BOOST_AUTO_TEST_CASE(starts_in_the_data_centre_end_within_300_ms) {
  EvacuateAt(kEvacuated, {1});
  int before = 0;
  int after = 0;
  CountStarts(1, Ms(1000), kEvacuated, before);
  CountStarts(1, kEvacuated + Ms(300), Ms(8000), after);
  world.Run(Ms(10'000));
  BOOST_TEST(before > 100);
  BOOST_TEST(after == 0);
  BOOST_TEST(world.violations().empty());
}

BOOST_AUTO_TEST_CASE(jobs_are_served_by_the_other_data_centres) {
  EvacuateAt(kEvacuated, {1});
  world.Run(Ms(10'000));
  BOOST_TEST(CompletedBetween(kEvacuated, Ms(8000)) == 1200);
}

BOOST_AUTO_TEST_CASE(data_centre_taken_back_gets_work_within_a_second) {
  EvacuateAt(kEvacuated, {1});
  EvacuateAt(Ms(4000), {});
  int starts = 0;
  CountStarts(1, Ms(4000), Ms(5000), starts);
  world.Run(Ms(10'000));
  BOOST_TEST(starts > 50);
}

BOOST_AUTO_TEST_CASE(two_data_centres_at_once_get_nothing) {
  EvacuateAt(kEvacuated, {0, 2});
  int first = 0;
  int second = 0;
  CountStarts(0, kEvacuated + Ms(300), Ms(8000), first);
  CountStarts(2, kEvacuated + Ms(300), Ms(8000), second);
  world.Run(Ms(10'000));
  BOOST_TEST(first == 0);
  BOOST_TEST(second == 0);
}

BOOST_AUTO_TEST_CASE(repeated_evacuation_ends_in_the_last_state) {
  EvacuateAt(Ms(2000), {1});
  EvacuateAt(Ms(2100), {});
  EvacuateAt(Ms(2200), {1});
  EvacuateAt(Ms(2300), {});
  EvacuateAt(Ms(2400), {1});
  int starts = 0;
  CountStarts(1, Ms(2700), Ms(8000), starts);
  world.Run(Ms(10'000));
  BOOST_TEST(starts == 0);
}

// The entry keeps sending starts there, and the agents refuse them.
BOOST_AUTO_TEST_CASE(entry_without_the_update_starts_nothing_there) {
  world.At(Ms(1900), [this] { world.BlockStoreUpdates(0); });
  EvacuateAt(kEvacuated, {1});
  int starts = 0;
  CountStarts(1, kEvacuated + Ms(300), Ms(8000), starts);
  world.Run(Ms(10'000));
  BOOST_TEST(starts == 0);
  BOOST_TEST(CompletedBetween(kEvacuated, Ms(8000)) > 1150);
}

BOOST_AUTO_TEST_CASE(processes_restarted_after_power_loss_start_nothing_there) {
  EvacuateAt(kEvacuated, {1});
  world.At(Ms(3000), [this] { world.LoseAllPower(Ms(500)); });
  int starts = 0;
  CountStarts(1, kEvacuated + Ms(300), Ms(8000), starts);
  world.Run(Ms(10'000));
  BOOST_TEST(starts == 0);
  BOOST_TEST(CompletedBetween(Ms(5500), Ms(8000)) > 450);
}

BOOST_AUTO_TEST_CASE(all_evacuated_refuses_at_once_with_a_retry_time) {
  EvacuateAt(kEvacuated, {0, 1, 2});
  world.Run(Ms(10'000));
  for (size_t i = 0; i < plans.size(); ++i) {
    if (plans[i].at < kEvacuated + Ms(50)) {
      continue;
    }
    const JobOutcome outcome = world.OutcomeOf(static_cast<int>(i));
    BOOST_REQUIRE((outcome.verdict == JobVerdict::kNotRun));
    BOOST_TEST(outcome.ended_at - plans[i].at <= Ms(5));
    BOOST_TEST((outcome.retry_after >= absl::Seconds(1)));
  }
  BOOST_TEST(world.CountersOf(0).Get(RunCounter::kJobsRefusedEvacuated) > 0u);
}

BOOST_AUTO_TEST_CASE(taken_back_after_all_were_evacuated_serves_again) {
  EvacuateAt(kEvacuated, {0, 1, 2});
  EvacuateAt(Ms(4000), {});
  world.Run(Ms(10'000));
  BOOST_TEST(CompletedBetween(Ms(4500), Ms(8000)) > 650);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
