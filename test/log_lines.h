// The fields of a log line among the actions of a state machine.
//
//   FieldsOf("run stopped", actions).at("why")   // "not_wanted"
#ifndef EGRETSWITCH_TEST_LOG_LINES_H_
#define EGRETSWITCH_TEST_LOG_LINES_H_

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "node_events.h"
#include "run_fixture.h"

namespace egretswitch::internal {

using LogFields = std::map<std::string, std::string>;

// The fields of the only line `event` among the actions that is always written.
template <typename Actions>
LogFields FieldsOf(std::string_view event, const Actions& actions) {
  std::vector<NoteStateChange> lines = ActionsOf<NoteStateChange>(actions);
  std::erase_if(lines, [event](const NoteStateChange& line) {
    return line.what != event || line.routine;
  });
  BOOST_REQUIRE(lines.size() == 1u);
  LogFields fields;
  for (const NoteField& field : lines.front().fields) {
    fields[field.key] = field.value;
  }
  return fields;
}

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_LOG_LINES_H_
