// A duration as the value of a field of the log.
//
//   {"under_way_ms", MillisecondsText(absl::Seconds(2))}    -> "2000"
#ifndef EGRETSWITCH_SRC_DURATION_TEXT_H_
#define EGRETSWITCH_SRC_DURATION_TEXT_H_

#include <string>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

namespace egretswitch::internal {

// "never" for an infinite one.
inline std::string MillisecondsText(absl::Duration duration) {
  return duration == absl::InfiniteDuration()
             ? "never"
             : absl::StrCat(absl::ToInt64Milliseconds(duration));
}

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_DURATION_TEXT_H_
