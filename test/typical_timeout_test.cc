// Tests which jobs are classified as repeats by their remaining caller timeout.
#include "typical_timeout.h"

#include <boost/test/unit_test.hpp>

namespace egretswitch::internal {
namespace {

struct TypicalTimeoutFixture {
  void RecordTimes(int times, int64_t ms) {
    for (int i = 0; i < times; ++i) {
      typical.Record("checks", absl::Milliseconds(ms));
    }
  }
  bool IsRepeat(int64_t ms) const {
    return typical.IsRepeat("checks", absl::Milliseconds(ms));
  }

  TypicalTimeout typical;
};

BOOST_FIXTURE_TEST_SUITE(typical_timeout, TypicalTimeoutFixture)

BOOST_AUTO_TEST_CASE(too_few_samples_never_report_a_repeat) {
  RecordTimes(7, 1900);
  BOOST_TEST(!IsRepeat(300));
}

BOOST_AUTO_TEST_CASE(timeout_far_below_the_typical_one_is_a_repeat) {
  RecordTimes(20, 1900);
  BOOST_TEST(IsRepeat(600));
  BOOST_TEST(!IsRepeat(1600));
}

// As after a power loss.
BOOST_AUTO_TEST_CASE(repeats_are_detected_when_they_are_half_of_all_jobs) {
  RecordTimes(16, 1900);
  RecordTimes(16, 600);
  BOOST_TEST(IsRepeat(600));
  BOOST_TEST(!IsRepeat(1900));
}

BOOST_AUTO_TEST_CASE(callers_with_a_new_timeout_change_the_typical_one) {
  RecordTimes(40, 1900);
  RecordTimes(40, 600);
  BOOST_TEST(!IsRepeat(600));
}

BOOST_AUTO_TEST_CASE(callers_without_a_timeout_are_never_repeats) {
  for (int i = 0; i < 20; ++i) {
    typical.Record("checks", absl::InfiniteDuration());
  }
  BOOST_TEST(!typical.IsRepeat("checks", absl::InfiniteDuration()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
