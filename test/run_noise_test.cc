// Tests the distribution of run times within a step.
#include "run_noise.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

namespace egretswitch::internal {
namespace {

using boost::test_tools::tolerance;

struct RunNoiseFixture {
  // The ratio of a run of which 3% take seven times as long.
  double Drawn() {
    const double usual = std::exp(scatter(random));
    return uniform(random) < 0.03 ? 7 * usual : usual;
  }

  std::mt19937_64 random{1};
  std::normal_distribution<double> scatter{0, 0.15};
  std::uniform_real_distribution<double> uniform{0, 1};
  RunNoise noise;
};

BOOST_FIXTURE_TEST_SUITE(run_noise, RunNoiseFixture)

BOOST_AUTO_TEST_CASE(chance_without_runs_rises_from_0_to_1) {
  BOOST_TEST(noise.ChanceBelow(0) == 0);
  BOOST_TEST(noise.ChanceBelow(-1) == 0);
  double former = 0;
  for (double ratio = 0.01; ratio < 100; ratio *= 1.1) {
    BOOST_TEST(noise.ChanceBelow(ratio) >= former);
    former = noise.ChanceBelow(ratio);
  }
  BOOST_TEST(former == 1, tolerance(1e-6));
}

BOOST_AUTO_TEST_CASE(tail_of_long_runs_is_learned) {
  for (int i = 0; i < 2000; ++i) {
    noise.Add(Drawn());
  }
  BOOST_TEST(noise.ChanceBelow(1) == 0.485, tolerance(0.1));
  BOOST_TEST(1 - noise.ChanceBelow(2) == 0.03, tolerance(0.4));
  BOOST_TEST(1 - noise.ChanceBelow(4) == 0.03, tolerance(0.4));
  BOOST_TEST(noise.ChanceBelow(16) > 0.99);
}

// Each run is stopped once it takes 1.5 times as long as the others of its
// step.
BOOST_AUTO_TEST_CASE(tail_is_not_forgotten_once_long_runs_are_stopped) {
  for (int i = 0; i < 1000; ++i) {
    noise.Add(Drawn());
  }
  const double before = 1 - noise.ChanceBelow(4);
  for (int i = 0; i < 5000; ++i) {
    const double ratio = Drawn();
    if (ratio > 1.5) {
      noise.AddLongerThan(1.5);
    } else {
      noise.Add(ratio);
    }
  }
  BOOST_TEST(1 - noise.ChanceBelow(1.5) == 0.03, tolerance(0.4));
  BOOST_TEST(1 - noise.ChanceBelow(4) > 0.5 * before);
}

BOOST_AUTO_TEST_CASE(queue_starts_from_its_parent_and_departs_from_it) {
  for (int i = 0; i < 1000; ++i) {
    noise.Add(3);
  }
  RunNoise queue(&noise);
  BOOST_TEST(queue.ChanceBelow(2) == noise.ChanceBelow(2));
  for (int i = 0; i < 400; ++i) {
    queue.Add(1);
  }
  BOOST_TEST(queue.ChanceBelow(2) > 0.9);
  BOOST_TEST(noise.ChanceBelow(2) < 0.1);
}

BOOST_AUTO_TEST_CASE(old_runs_decay) {
  for (int i = 0; i < 2000; ++i) {
    noise.Add(4);
  }
  for (int i = 0; i < 2000; ++i) {
    noise.Add(1);
  }
  BOOST_TEST(noise.ChanceBelow(2) > 0.95);
}

BOOST_AUTO_TEST_CASE(ratios_out_of_range_are_accepted) {
  for (int i = 0; i < 100; ++i) {
    noise.Add(0);
    noise.Add(1e9);
    noise.AddLongerThan(1e9);
    noise.AddLongerThan(0);
  }
  BOOST_TEST(noise.ChanceBelow(1) > 0.2);
  BOOST_TEST(noise.ChanceBelow(1e9) <= 1);
}

// The weights of new runs grow, so they are rescaled from time to time.
BOOST_AUTO_TEST_CASE(a_hundred_thousand_runs_keep_the_chances) {
  for (int i = 0; i < 100'000; ++i) {
    noise.Add(Drawn());
  }
  BOOST_TEST(noise.ChanceBelow(1) == 0.485, tolerance(0.15));
  BOOST_TEST(noise.ChanceBelow(64) == 1, tolerance(0.01));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
