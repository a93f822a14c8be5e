// Tests the state of evacuations after reads of the operators' table.
#include "evacuations.h"

#include <boost/test/unit_test.hpp>

namespace egretswitch::internal {
namespace {

const Evacuations kSouth = {.through = 12, .data_centres = {"south"}};

BOOST_AUTO_TEST_SUITE(evacuations)

BOOST_AUTO_TEST_CASE(evacuation_record_adds_to_the_state) {
  const Evacuations after =
      ApplyRead(kSouth, {.records = {{"north", true, 13}}, .through = 13});
  BOOST_TEST(after.Covers("north"));
  BOOST_TEST(after.Covers("south"));
  BOOST_TEST(!after.Covers("east"));
  BOOST_TEST(after.through == 13u);
}

BOOST_AUTO_TEST_CASE(take_back_record_ends_the_evacuation) {
  const Evacuations after =
      ApplyRead(kSouth, {.records = {{"south", false, 13}}, .through = 13});
  BOOST_TEST(after.data_centres.empty());
}

BOOST_AUTO_TEST_CASE(last_record_of_a_data_centre_in_one_read_decides) {
  const Evacuations after = ApplyRead(kSouth, {.records = {{"south", true, 13},
                                                           {"south", true, 14},
                                                           {"south", false, 15},
                                                           {"north", true, 16},
                                                           {"north", false, 17},
                                                           {"north", true, 18}},
                                               .through = 18});
  BOOST_TEST(!after.Covers("south"));
  BOOST_TEST(after.Covers("north"));
}

BOOST_AUTO_TEST_CASE(absence_from_a_complete_read_ends_the_evacuation) {
  const Evacuations after = ApplyRead(
      kSouth, {.records = {{"north", true, 9}}, .through = 13, .whole = true});
  BOOST_TEST(!after.Covers("south"));
  BOOST_TEST(after.Covers("north"));
}

BOOST_AUTO_TEST_CASE(absence_from_a_partial_read_changes_nothing) {
  const Evacuations after = ApplyRead(kSouth, {.records = {}, .through = 40});
  BOOST_TEST(after.Covers("south"));
}

BOOST_AUTO_TEST_CASE(read_older_than_the_state_changes_nothing) {
  const EvacuationsRead old_snapshot = {
      .records = {}, .through = 11, .whole = true};
  BOOST_TEST((ApplyRead(kSouth, old_snapshot) == kSouth));
  const EvacuationsRead old_record = {.records = {{"south", false, 11}},
                                      .through = 11};
  BOOST_TEST((ApplyRead(kSouth, old_record) == kSouth));
}

// A peer has sent a newer state, which this process's own read now reaches.
BOOST_AUTO_TEST_CASE(records_already_applied_are_skipped) {
  const Evacuations after = ApplyRead(
      kSouth,
      {.records = {{"south", false, 10}, {"north", true, 13}}, .through = 13});
  BOOST_TEST(after.Covers("south"));
  BOOST_TEST(after.Covers("north"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
