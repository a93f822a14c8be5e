// Tests the goodput of entries and agents under simulated load, with and
// without the mechanism that handles each load pattern. Shares are of the total
// worth of the arriving jobs, averaged over three seeds; the margins are about
// half of the difference measured over eight seeds.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "load_scenario.h"

namespace egretswitch::internal {
namespace {

constexpr uint64_t kSeeds = 3;
constexpr int kShort = 0;  // kinds of MixedLoad()
constexpr int kLong = 1;

struct LoadFixture {
  LoadFixture() { scenario.lasts = Ms(14'000); }

  static DispatchPolicy Without(const std::string& mechanism) {
    DispatchPolicy policy;
    BOOST_REQUIRE(SwitchOff(policy, mechanism));
    return policy;
  }

  // The mean share served of the jobs that arrive from 4 s to 12 s, of one kind
  // or
  // (-1) of all kinds.
  double Served(const DispatchPolicy& policy = {}, int kind = -1) const {
    double sum = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const std::vector<LoadJob> jobs = DrawJobs(scenario, seed);
      const auto world = SimulateLoad(scenario, jobs, seed, policy);
      BOOST_TEST(world->violations().empty());
      sum += ShareServed(jobs, *world, Ms(4'000), Ms(12'000), kind);
    }
    return sum / kSeeds;
  }

  // The longest time after which a job was refused, as a share of the objective
  // that follows from its caller's estimate.
  double LongestRelativeWaitOfRefused() const {
    double longest = 0;
    const std::vector<LoadJob> jobs = DrawJobs(scenario, 1);
    const auto world = SimulateLoad(scenario, jobs, 1);
    for (size_t i = 0; i < jobs.size(); ++i) {
      const JobOutcome outcome = world->OutcomeOf(static_cast<int>(i));
      const JobPlan& plan = jobs[i].plan;
      if (outcome.verdict == JobVerdict::kNotRun) {
        const double objective_ms =
            plan.queue.stretch * plan.estimate_ms + plan.queue.objective_ms;
        longest =
            std::max(longest, static_cast<double>(outcome.ended_at - plan.at) /
                                  1000 / objective_ms);
      }
    }
    return longest;
  }

  // The share of starts that the agent refused for lack of free capacity.
  double RefusedStartShare(const RunWorld& world) const {
    double starts = 0;
    double refused = 0;
    for (int entry = 0; entry < scenario.entries; ++entry) {
      const RunCounters& counters = world.CountersOf(entry);
      starts += static_cast<double>(counters.Get(RunCounter::kRunsStarted));
      refused += static_cast<double>(counters.Get(RunCounter::kRetriesNoRoom));
    }
    return refused / starts;
  }

  LoadScenario scenario = MixedLoad();
};

BOOST_FIXTURE_TEST_SUITE(load, LoadFixture)

BOOST_AUTO_TEST_CASE(load_below_capacity_is_served_whole) {
  scenario.load = 0.8;
  BOOST_TEST(Served() > 0.99);
}

// Goodput should level off beyond the capacity of the workers; the required
// share is 0.85.
BOOST_AUTO_TEST_CASE(load_of_twice_the_capacity_keeps_the_goodput) {
  const double usual = 1 / 0.73;  // MixedLoad() needs 0.73 of the capacity
  scenario.load = usual;
  const double at_the_limit = usual * Served();
  scenario.load = 2 * usual;
  BOOST_TEST(2 * usual * Served() > 0.85 * at_the_limit);
}

BOOST_AUTO_TEST_CASE(burst_of_all_kinds_serves_more_by_the_predicted_end) {
  scenario.bursts = {{.at = Ms(4'000), .lasts = Ms(8'000), .factor = 1.8}};
  BOOST_TEST(Served() > Served(Without("predicted_end")) + 0.015);
}

BOOST_AUTO_TEST_CASE(burst_of_all_kinds_serves_the_most_urgent_best) {
  scenario.bursts = {{.at = Ms(4'000), .lasts = Ms(8'000), .factor = 1.8}};
  BOOST_TEST(Served({}, kShort) > Served({}, kLong) + 0.03);
  BOOST_TEST(Served({}, kShort) >
             Served(Without("urgent_entries_first"), kShort) + 0.02);
}

BOOST_AUTO_TEST_CASE(
    burst_with_estimates_twice_the_truth_serves_more_corrected) {
  scenario.estimate_bias = 2;
  scenario.bursts = {{.at = Ms(4'000), .lasts = Ms(8'000), .factor = 1.8}};
  BOOST_TEST(Served() > Served(Without("correct_estimates")) + 0.005);
}

BOOST_AUTO_TEST_CASE(loss_of_power_serves_first_attempts_before_repeats) {
  scenario.troubles = {{.kind = LoadTrouble::Kind::kPowerLoss,
                        .at = Ms(6'000),
                        .lasts = Ms(1'400)}};
  BOOST_TEST(Served() > Served(Without("repeats_last")) + 0.004);
}

// A refusal is useless to the caller once the objective has passed.
BOOST_AUTO_TEST_CASE(burst_of_all_kinds_refuses_well_within_the_objective) {
  scenario.bursts = {{.at = Ms(4'000), .lasts = Ms(8'000), .factor = 1.8}};
  BOOST_TEST(LongestRelativeWaitOfRefused() < 0.8);
}

// Starts, stops and polls whose answers are lost are carried out all the same,
// so the lost answers delay few jobs.
BOOST_AUTO_TEST_CASE(workers_that_lose_answers_serve_nearly_all) {
  scenario.load = 0.9;
  scenario.troubles = {{.kind = LoadTrouble::Kind::kLostAnswers,
                        .at = Ms(4'000),
                        .lasts = Ms(8'000),
                        .share = 0.6,
                        .factor = 0.3}};
  BOOST_TEST(Served() > 0.85);
  BOOST_TEST(Served({}, kShort) > 0.7);
}

// 60 workers behind 13 entries. If each entry uses all workers, one start in
// two is refused for lack of free capacity, at a cost of two messages.
BOOST_AUTO_TEST_CASE(
    fleet_in_a_burst_has_fewer_refused_starts_with_a_small_subset) {
  scenario = FleetLoad(0.5);
  scenario.lasts = Ms(7'000);
  scenario.load = 1.1;
  scenario.bursts = {{.at = Ms(4'000), .lasts = Ms(3'000), .factor = 1.25}};
  const std::vector<LoadJob> jobs = DrawJobs(scenario, 1);
  const auto subset = SimulateLoad(scenario, jobs, 1);
  const auto all = SimulateLoad(scenario, jobs, 1, Without("worker_reach"));
  BOOST_TEST(RefusedStartShare(*subset) < 0.9 * RefusedStartShare(*all));
  BOOST_TEST(static_cast<double>(subset->messages()) <
             0.985 * static_cast<double>(all->messages()));
  BOOST_TEST(ShareServed(jobs, *subset, Ms(1'000), Ms(7'000)) >
             ShareServed(jobs, *all, Ms(1'000), Ms(7'000)) - 0.01);
}

// Half of the workers crash at once, including those in the entries' subsets.
BOOST_AUTO_TEST_CASE(
    fleet_that_loses_half_of_its_workers_serves_with_the_rest) {
  scenario = FleetLoad(0.25);
  scenario.lasts = Ms(6'000);
  scenario.load = 0.4;
  scenario.troubles = {{.kind = LoadTrouble::Kind::kCrash,
                        .at = Ms(2'000),
                        .lasts = Ms(20'000),
                        .share = 0.5}};
  const std::vector<LoadJob> jobs = DrawJobs(scenario, 1);
  const auto world = SimulateLoad(scenario, jobs, 1);
  // The loss of a worker and of its runs is detected with the worker's next
  // announcement.
  BOOST_TEST(ShareServed(jobs, *world, Ms(4'000), Ms(6'000)) > 0.95);
}

// Two kinds of workers, one 2.4 times slower than the other, estimates that
// scatter by 0.4, and 3% of the runs seven times as long: the slow kind is
// avoided, and long runs are moved while a new run makes the objective.
BOOST_AUTO_TEST_CASE(two_kinds_of_workers_serve_more_with_learned_speeds) {
  scenario = TwoKindsLoad();
  BOOST_TEST(Served() > Served(Without("learn_slowness")) + 0.05);
}

BOOST_AUTO_TEST_CASE(tail_of_long_runs_serves_more_if_they_move_early) {
  scenario = TwoKindsLoad();
  DispatchPolicy early;
  early.move_early = true;
  BOOST_TEST(Served(early) > Served() + 0.015);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
