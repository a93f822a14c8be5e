// Which jobs are taken for repeats, by what is left of their callers' wait.
#include "typical_timeout.h"

#include <boost/test/unit_test.hpp>

namespace egretswitch::internal {
namespace {

struct TypicalTimeoutFixture {
  void NoteTimes(int times, int64_t ms) {
    for (int i = 0; i < times; ++i) {
      usual.Record("checks", absl::Milliseconds(ms));
    }
  }
  bool IsRepeat(int64_t ms) const {
    return usual.IsRepeat("checks", absl::Milliseconds(ms));
  }

  TypicalTimeout usual;
};

BOOST_FIXTURE_TEST_SUITE(typical_timeout, TypicalTimeoutFixture)

BOOST_AUTO_TEST_CASE(too_few_samples_never_report_a_repeat) {
  NoteTimes(7, 1900);
  BOOST_TEST(!IsRepeat(300));
}

BOOST_AUTO_TEST_CASE(timeout_far_below_the_typical_one_is_a_repeat) {
  NoteTimes(20, 1900);
  BOOST_TEST(IsRepeat(600));
  BOOST_TEST(!IsRepeat(1600));
}

// After a loss of power.
BOOST_AUTO_TEST_CASE(repeats_are_detected_when_they_are_half_of_all_jobs) {
  NoteTimes(16, 1900);
  NoteTimes(16, 600);
  BOOST_TEST(IsRepeat(600));
  BOOST_TEST(!IsRepeat(1900));
}

BOOST_AUTO_TEST_CASE(callers_with_a_new_timeout_change_the_typical_one) {
  NoteTimes(40, 1900);
  NoteTimes(40, 600);
  BOOST_TEST(!IsRepeat(600));
}

BOOST_AUTO_TEST_CASE(callers_without_a_timeout_are_never_repeats) {
  for (int i = 0; i < 20; ++i) {
    usual.Record("checks", absl::InfiniteDuration());
  }
  BOOST_TEST(!usual.IsRepeat("checks", absl::InfiniteDuration()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
