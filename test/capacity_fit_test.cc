// The straight line that capacity_bench puts through its points.
#include <boost/test/unit_test.hpp>

#include "capacity_fit.h"

namespace egretswitch::internal {
namespace {

constexpr double kTolerance = 1e-9;

BOOST_AUTO_TEST_CASE(points_on_a_line_give_its_slope_and_intercept) {
  Series series{"name", "workers", "ns", {}};
  for (const double size : {1.0, 2.0, 4.0, 8.0}) {
    series.Add(size, {3 * size + 5});
  }
  const LineFit fit = FitLine(series);
  BOOST_TEST(fit.slope == 3, boost::test_tools::tolerance(kTolerance));
  BOOST_TEST(fit.intercept == 5, boost::test_tools::tolerance(kTolerance));
  BOOST_TEST(fit.r_squared == 1, boost::test_tools::tolerance(kTolerance));
}

BOOST_AUTO_TEST_CASE(one_slow_repeat_moves_the_spread_and_not_the_slope) {
  Series series{"name", "workers", "ns", {}};
  series.Add(1, {10, 10, 10});
  series.Add(2, {20, 20, 50});
  series.Add(3, {30, 30, 90});
  const LineFit fit = FitLine(series);
  BOOST_TEST(fit.slope == 10, boost::test_tools::tolerance(kTolerance));
  BOOST_TEST(fit.slope_low == 10, boost::test_tools::tolerance(kTolerance));
  BOOST_TEST(fit.slope_high == 40, boost::test_tools::tolerance(kTolerance));
}

BOOST_AUTO_TEST_CASE(curved_points_have_an_r_squared_below_one) {
  Series series{"name", "entries", "bytes", {}};
  for (const double size : {1.0, 2.0, 4.0, 8.0}) {
    series.Add(size, {size * size});
  }
  BOOST_TEST(FitLine(series).r_squared < 0.98);
}

BOOST_AUTO_TEST_CASE(level_points_have_no_slope_and_are_straight) {
  Series series{"name", "workers", "ns", {}};
  series.Add(1, {7});
  series.Add(2, {7});
  const LineFit fit = FitLine(series);
  BOOST_TEST(fit.slope == 0);
  BOOST_TEST(fit.r_squared == 1);
}

}  // namespace
}  // namespace egretswitch::internal
