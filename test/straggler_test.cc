// Tests when a run is moved to make its job's objective: runs of 51 ms on
// workers of slowness 0.7 and 1.7, of which 3% take seven times as long, with
// an objective of 1.6 times the longest plus 60 ms.
#include "straggler.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>
#include <vector>

namespace egretswitch::internal {
namespace {

struct StragglerFixture {
  StragglerFixture() {
    // 51 ms on a usual worker.
    std::mt19937_64 random(1);
    std::normal_distribution<double> scatter(0, 0.15);
    std::uniform_real_distribution<double> uniform(0, 1);
    WorkerSpeed usual;
    for (int job = 0; job < 200; ++job) {
      std::vector<double> done_ms;
      for (int task = 0; task < 8; ++task) {
        const double tail = uniform(random) < 0.03 ? 7 : 1;
        done_ms.push_back(51 * tail * std::exp(scatter(random)));
        times.RecordRun({"checks", 51}, static_cast<uint32_t>(done_ms.back()),
                        usual, absl::ZeroDuration(), false);
      }
      times.RecordStep({"checks", 51, done_ms}, {});
    }
  }

  // Whether a run is moved that has taken `ran_ms` beside `done` finished runs
  // and `beside` others that run for as long.
  bool Moves(double ran_ms,
             size_t done = 7,
             size_t beside = 0,
             double slowness = 1,
             double best_slowness = 1) const {
    const double elapsed_ms = ran_ms / slowness;
    const std::vector<double> done_ms(done, 51);
    const std::vector<double> running_ms(beside + 1, elapsed_ms);
    return HelpsToMove(
        ChancesOf(times.OutlookOf({"checks", 51, done_ms, running_ms}),
                  {.elapsed_ms = elapsed_ms,
                   .slowness = slowness,
                   .best_slowness = best_slowness,
                   .remaining = absl::Milliseconds(kObjectiveMs - ran_ms - 5),
                   .overhead = absl::Milliseconds(5)}));
  }

  static constexpr double kObjectiveMs = 1.6 * 51 + 60;

  RunTimes times;
};

BOOST_FIXTURE_TEST_SUITE(straggler, StragglerFixture)

BOOST_AUTO_TEST_CASE(run_of_usual_length_waits) {
  for (const double ran_ms : {1, 20, 40, 51}) {
    BOOST_TEST(!Moves(ran_ms));
    BOOST_TEST(!Moves(ran_ms, 0, 7));
  }
}

BOOST_AUTO_TEST_CASE(long_run_moves_while_a_fast_worker_makes_the_objective) {
  BOOST_TEST(Moves(75, 7, 0, 1, 0.7));
}

BOOST_AUTO_TEST_CASE(long_run_waits_once_no_new_run_makes_the_objective) {
  BOOST_TEST(!Moves(110, 7, 0, 1, 0.7));
  BOOST_TEST(!Moves(200, 7, 0, 1, 0.7));
}

BOOST_AUTO_TEST_CASE(long_run_waits_if_only_a_slow_worker_has_room) {
  BOOST_TEST(!Moves(80, 7, 0, 1, 1.7));
}

// The estimate was too short: a new run would take as long.
BOOST_AUTO_TEST_CASE(step_of_which_all_runs_last_waits) {
  BOOST_TEST(!Moves(90, 0, 7, 1, 0.7));
}

// 80 ms is 0.92 of what a worker of slowness 1.7 takes for 51 ms.
BOOST_AUTO_TEST_CASE(usual_run_on_a_slow_worker_waits_if_it_ends_in_time) {
  BOOST_TEST(!Moves(80, 7, 0, 1.7, 0.7));
}

BOOST_AUTO_TEST_CASE(way_of_a_move_counts) {
  const std::vector<double> done_ms(7, 51);
  const std::vector<double> running_ms = {75};
  const StepOutlook outlook =
      times.OutlookOf({"checks", 51, done_ms, running_ms});
  MoveCandidate candidate{.elapsed_ms = 75,
                          .best_slowness = 0.7,
                          .remaining = absl::Milliseconds(65),
                          .overhead = absl::Milliseconds(5)};
  BOOST_TEST(HelpsToMove(ChancesOf(outlook, candidate)));
  candidate.overhead = absl::Milliseconds(25);
  BOOST_TEST(!HelpsToMove(ChancesOf(outlook, candidate)));
}

BOOST_AUTO_TEST_CASE(objective_that_has_passed_leaves_no_chance) {
  const std::vector<double> running_ms = {300};
  const MoveChances chances =
      ChancesOf(times.OutlookOf({"checks", 51, {}, running_ms}),
                {.elapsed_ms = 300,
                 .remaining = absl::Milliseconds(-100),
                 .overhead = absl::Milliseconds(10)});
  BOOST_TEST(chances.moved == 0);
  BOOST_TEST(chances.waiting == 0);
}

BOOST_AUTO_TEST_CASE(budget_allows_a_few_moves_in_a_hundred_starts) {
  MoveBudget budget;
  int moves = 0;
  for (int start = 0; start < 1000; ++start) {
    budget.RecordStarts(1);
    if (budget.MayMove()) {
      budget.RecordMove();
      ++moves;
    }
  }
  BOOST_TEST(moves >= 20);
  BOOST_TEST(moves <= 50);
}

// A burst of long runs after a quiet time.
BOOST_AUTO_TEST_CASE(budget_saves_up_few_moves) {
  MoveBudget budget;
  budget.RecordStarts(1'000'000);
  int moves = 0;
  for (; budget.MayMove(); ++moves) {
    budget.RecordMove();
  }
  BOOST_TEST(moves <= 10);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
