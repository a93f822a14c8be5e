// What is evacuated, by what was read and told of it.
#include "evacuations.h"

#include <boost/test/unit_test.hpp>

namespace egretswitch::internal {
namespace {

const Evacuations kSouth = {.through = 12, .data_centres = {"south"}};

BOOST_AUTO_TEST_SUITE(evacuations)

BOOST_AUTO_TEST_CASE(record_of_an_evacuation_adds_to_what_was_known) {
  const Evacuations after =
      ApplyRead(kSouth, {.records = {{"north", true, 13}}, .through = 13});
  BOOST_TEST(after.Covers("north"));
  BOOST_TEST(after.Covers("south"));
  BOOST_TEST(!after.Covers("east"));
  BOOST_TEST(after.through == 13u);
}

BOOST_AUTO_TEST_CASE(record_of_a_taking_back_ends_the_evacuation) {
  const Evacuations after =
      ApplyRead(kSouth, {.records = {{"south", false, 13}}, .through = 13});
  BOOST_TEST(after.data_centres.empty());
}

BOOST_AUTO_TEST_CASE(evacuation_repeated_and_taken_back_in_one_read_ends) {
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

BOOST_AUTO_TEST_CASE(absence_from_a_whole_read_is_a_taking_back) {
  const Evacuations after = ApplyRead(
      kSouth, {.records = {{"north", true, 9}}, .through = 13, .whole = true});
  BOOST_TEST(!after.Covers("south"));
  BOOST_TEST(after.Covers("north"));
}

BOOST_AUTO_TEST_CASE(absence_from_a_read_that_is_not_whole_says_nothing) {
  const Evacuations after = ApplyRead(kSouth, {.records = {}, .through = 40});
  BOOST_TEST(after.Covers("south"));
}

BOOST_AUTO_TEST_CASE(read_that_is_older_than_what_is_held_changes_nothing) {
  const EvacuationsRead old_whole = {
      .records = {}, .through = 11, .whole = true};
  BOOST_TEST((ApplyRead(kSouth, old_whole) == kSouth));
  const EvacuationsRead old_record = {.records = {{"south", false, 11}},
                                      .through = 11};
  BOOST_TEST((ApplyRead(kSouth, old_record) == kSouth));
}

// A neighbour was ahead of this process, whose own read now catches up.
BOOST_AUTO_TEST_CASE(records_that_are_counted_already_are_passed_over) {
  const Evacuations after = ApplyRead(
      kSouth,
      {.records = {{"south", false, 10}, {"north", true, 13}}, .through = 13});
  BOOST_TEST(after.Covers("south"));
  BOOST_TEST(after.Covers("north"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
