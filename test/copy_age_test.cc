// Tests how old a copy of the tables counts as, and which entries its agent
// dials.
#include "copy_age.h"

#include <boost/test/unit_test.hpp>

#include "lost_entry_dials.h"
#include "member_list.h"

namespace egretswitch::internal {
namespace {

const MonoTime kStart = absl::Seconds(10);

BOOST_AUTO_TEST_SUITE(copy_age)

BOOST_AUTO_TEST_CASE(version_that_a_linked_entry_has_is_current) {
  CopyAge age;
  age.RecordOwnVersion(7);
  age.RecordEntryVersion("entry-1", 7, kStart);
  BOOST_TEST((age.At(kStart + absl::Hours(1)) == absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(age_counts_from_the_end_of_the_last_link) {
  CopyAge age;
  age.RecordOwnVersion(7);
  age.RecordEntryVersion("entry-1", 7, kStart);
  age.RecordEntryVersion("entry-2", 7, kStart);
  age.RemoveEntry("entry-1", kStart + absl::Seconds(1));
  age.RemoveEntry("entry-2", kStart + absl::Seconds(5));
  BOOST_TEST((age.At(kStart + absl::Seconds(8)) == absl::Seconds(3)));
}

// An entry that has just started has version 0.
BOOST_AUTO_TEST_CASE(entry_without_the_version_does_not_vouch_for_it) {
  CopyAge age;
  age.RecordOwnVersion(7);
  age.RecordEntryVersion("entry-1", 7, kStart);
  age.RemoveEntry("entry-1", kStart);
  age.RecordEntryVersion("entry-1", 0, kStart + absl::Seconds(1));
  BOOST_TEST((age.At(kStart + absl::Seconds(8)) == absl::Seconds(8)));
}

BOOST_AUTO_TEST_CASE(
    age_of_a_replaced_version_counts_from_its_first_successor) {
  CopyAge age;
  age.RecordOwnVersion(7);
  age.RecordEntryVersion("entry-1", 7, kStart);
  age.RecordEntryVersion("entry-1", 8, kStart + absl::Seconds(1));
  age.RecordEntryVersion("entry-1", 9, kStart + absl::Seconds(2));
  BOOST_TEST((age.At(kStart + absl::Seconds(4)) == absl::Seconds(3)));
  age.RecordOwnVersion(9);
  BOOST_TEST((age.At(kStart + absl::Seconds(4)) == absl::ZeroDuration()));
}

BOOST_AUTO_TEST_SUITE_END()

struct DialsFixture {
  DialsFixture() {
    members.Take({"entry-1", "10.1.0.13:7720", true, 1});
    dials.OnLinkUp("entry-1");
  }
  size_t TargetsAt(absl::Duration after) {
    return dials.Targets(members, kStart + after).size();
  }
  MemberList members;
  LostEntryDials dials{7};
};

BOOST_FIXTURE_TEST_SUITE(lost_entry_dials, DialsFixture)

BOOST_AUTO_TEST_CASE(linked_entry_is_not_dialled) {
  BOOST_TEST(TargetsAt(absl::Seconds(5)) == 0u);
  BOOST_TEST((dials.NextWake() == absl::InfiniteDuration()));
}

// An entry that is up dials a lost agent again within some 10 ms.
BOOST_AUTO_TEST_CASE(lost_entry_is_dialled_once_it_had_time_to_dial) {
  dials.OnLinkLost("entry-1", kStart);
  BOOST_TEST(TargetsAt(absl::Milliseconds(90)) == 0u);
  BOOST_TEST((dials.NextWake() > kStart));
  BOOST_TEST(TargetsAt(absl::Milliseconds(210)) == 1u);
}

BOOST_AUTO_TEST_CASE(entry_that_was_dialled_stays_a_target_while_linked) {
  dials.OnLinkLost("entry-1", kStart);
  TargetsAt(absl::Seconds(1));
  dials.OnLinkUp("entry-1");
  BOOST_TEST(TargetsAt(absl::Hours(1)) == 1u);
  dials.OnLinkLost("entry-1", kStart + absl::Hours(1));
  BOOST_TEST(TargetsAt(absl::Hours(1)) == 0u);
}

BOOST_AUTO_TEST_CASE(entry_that_is_gone_for_good_is_given_up) {
  dials.OnLinkLost("entry-1", kStart);
  BOOST_TEST(TargetsAt(kMaxCopyAge - absl::Seconds(1)) == 1u);
  BOOST_TEST(TargetsAt(kMaxCopyAge) == 0u);
  BOOST_TEST((dials.NextWake() == absl::InfiniteDuration()));
}

BOOST_AUTO_TEST_CASE(entry_without_a_recorded_address_is_not_dialled) {
  dials.OnLinkUp("entry-2");
  dials.OnLinkLost("entry-2", kStart);
  BOOST_TEST(TargetsAt(absl::Seconds(1)) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
