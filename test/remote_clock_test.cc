#include "remote_clock.h"

#include <boost/test/unit_test.hpp>

namespace egretswitch::internal {
namespace {

BOOST_AUTO_TEST_SUITE(remote_clock)

BOOST_AUTO_TEST_CASE(estimate_before_any_reading_is_unknown) {
  BOOST_TEST(!RemoteClock().Estimate(absl::Seconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(estimate_of_readings_with_delays_uses_the_least_delayed) {
  RemoteClock clock;
  // The peer's clock is 4000 ms ahead. The readings take 50, 2 and 30 ms.
  clock.Observe(5000 - 50, absl::Milliseconds(1000));
  clock.Observe(5100 - 2, absl::Milliseconds(1100));
  clock.Observe(5200 - 30, absl::Milliseconds(1200));
  const int64_t estimate = *clock.Estimate(absl::Milliseconds(1200));
  BOOST_TEST(estimate <= 5200);
  BOOST_TEST(estimate >= 5195);
}

BOOST_AUTO_TEST_CASE(estimate_of_a_slower_peer_is_never_ahead_of_it) {
  RemoteClock clock;
  clock.Observe(1000, absl::Milliseconds(1000));
  // 200 ppm slower: after 100 s the peer reads 20 ms less.
  BOOST_TEST(*clock.Estimate(absl::Seconds(101)) <= 100'980);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
