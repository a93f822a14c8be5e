// Tests long tasks in a deployment of many processes whose connections are
// reset in series, while others of its processes are stopped, killed and
// frozen. In virtual time.
#include <boost/test/unit_test.hpp>

#include "long_jobs.h"
#include "run_world.h"

namespace egretswitch::internal {
namespace {

BOOST_AUTO_TEST_SUITE(reset_series)

// Guards against abandoned runs that go on beside the caller's next attempt.
BOOST_AUTO_TEST_CASE(tasks_of_a_large_deployment_never_run_twice_at_once) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    RunWorld world({.seed = seed,
                    .entries = 12,
                    .agents = 60,
                    .faults = 0,
                    .reset_series = 12,
                    .plans = LongJobsBesideShortOnes(
                        {.jobs = 1200, .period = Ms(10), .long_one_in = 12})});
    world.Run(Ms(25'000));
    BOOST_TEST(world.resets() >= 36);
    BOOST_TEST(world.planned_stops() > 0);
    BOOST_TEST(world.completed() > world.jobs() / 2);
    BOOST_TEST(world.violations().empty(), "seed " << seed << LogOf(world));
  }
}

// The same with drawn single faults and lost calls beside the series.
BOOST_AUTO_TEST_CASE(tasks_under_series_and_drawn_faults_never_run_twice) {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    RunWorld world({.seed = seed,
                    .faults = 8,
                    .reset_series = 4,
                    .plans = LongJobsBesideShortOnes()});
    world.Run(Ms(25'000));
    BOOST_TEST(world.violations().empty(), "seed " << seed << LogOf(world));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
