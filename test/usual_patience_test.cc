// Which jobs are taken for repeats, by what is left of their callers' wait.
#include "usual_patience.h"

#include <boost/test/unit_test.hpp>

namespace egretswitch::internal {
namespace {

struct UsualPatienceFixture {
  void NoteTimes(int times, int64_t ms) {
    for (int i = 0; i < times; ++i) {
      usual.Note("checks", absl::Milliseconds(ms));
    }
  }
  bool IsRepeat(int64_t ms) const {
    return usual.IsRepeat("checks", absl::Milliseconds(ms));
  }

  UsualPatience usual;
};

BOOST_FIXTURE_TEST_SUITE(usual_patience, UsualPatienceFixture)

BOOST_AUTO_TEST_CASE(little_known_takes_nothing_for_a_repeat) {
  NoteTimes(7, 1900);
  BOOST_TEST(!IsRepeat(300));
}

BOOST_AUTO_TEST_CASE(much_less_left_than_usual_is_a_repeat) {
  NoteTimes(20, 1900);
  BOOST_TEST(IsRepeat(600));
  BOOST_TEST(!IsRepeat(1600));
}

// After a loss of power.
BOOST_AUTO_TEST_CASE(half_of_all_repeats_are_still_told_apart) {
  NoteTimes(16, 1900);
  NoteTimes(16, 600);
  BOOST_TEST(IsRepeat(600));
  BOOST_TEST(!IsRepeat(1900));
}

BOOST_AUTO_TEST_CASE(callers_that_changed_their_wait_are_learnt_anew) {
  NoteTimes(40, 1900);
  NoteTimes(40, 600);
  BOOST_TEST(!IsRepeat(600));
}

BOOST_AUTO_TEST_CASE(callers_that_name_no_wait_are_never_repeats) {
  for (int i = 0; i < 20; ++i) {
    usual.Note("checks", absl::InfiniteDuration());
  }
  BOOST_TEST(!usual.IsRepeat("checks", absl::InfiniteDuration()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
