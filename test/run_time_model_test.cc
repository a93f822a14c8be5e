// Tests the run time that is predicted for a caller's estimate.
#include "run_time_model.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

namespace egretswitch::internal {
namespace {

BOOST_AUTO_TEST_SUITE(run_time_model)

BOOST_AUTO_TEST_CASE(too_few_samples_return_the_estimate) {
  RunTimeModel model;
  for (int i = 0; i < 10; ++i) {
    model.Observe("checks", 100, 300);
  }
  BOOST_TEST(model.Expect("checks", 100) == 100u);
}

BOOST_AUTO_TEST_CASE(estimates_off_by_one_factor_are_corrected_by_it) {
  RunTimeModel model;
  for (uint32_t i = 0; i < 200; ++i) {
    const uint32_t estimate = 50 + 10 * (i % 20);
    model.Observe("checks", estimate, 2 * estimate);
  }
  BOOST_TEST(std::abs(static_cast<int>(model.Expect("checks", 100)) - 200) < 4);
  BOOST_TEST(model.Expect("other", 100) == 100u);
}

// If the estimates scatter as much as the work, they say little about a single
// task.
BOOST_AUTO_TEST_CASE(scattered_estimates_regress_to_the_mean) {
  RunTimeModel model;
  std::mt19937_64 random(1);
  std::lognormal_distribution<double> work(std::log(100), 0.4);
  std::lognormal_distribution<double> error(0, 0.4);
  for (int i = 0; i < 2000; ++i) {
    const double run = work(random);
    model.Observe("checks", static_cast<uint32_t>(run * error(random)),
                  static_cast<uint32_t>(run));
  }
  BOOST_TEST(model.Expect("checks", 300) < 230u);
  BOOST_TEST(model.Expect("checks", 30) > 40u);
}

BOOST_AUTO_TEST_CASE(run_times_of_zero_are_accepted) {
  RunTimeModel model;
  for (int i = 0; i < 50; ++i) {
    model.Observe("checks", 0, 0);
  }
  BOOST_TEST(model.Expect("checks", 0) <= 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
