// Errors that are ours: a broken invariant ends the process at once, since a
// dispatcher that goes on with a wrong state could start a task twice.
//
//   InternalAssert(it != end, "service not registered", name);
//   -> "internal assert: service not registered: dispatch"
//
// Errors of a user (settings, requests, arguments) are absl::Status values
// whose text begins "user error:" when printed, and never end up here.
#ifndef EGRETSWITCH_SRC_INTERNAL_ASSERT_H_
#define EGRETSWITCH_SRC_INTERNAL_ASSERT_H_

#include <string_view>

namespace egretswitch::internal {

[[noreturn]] void FailInternalAssert(std::string_view what,
                                     std::string_view subject);

// Ends the process when `condition` is false, naming `subject`.
inline void InternalAssert(bool condition,
                           std::string_view what,
                           std::string_view subject) {
  if (!condition) {
    FailInternalAssert(what, subject);
  }
}

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_INTERNAL_ASSERT_H_
