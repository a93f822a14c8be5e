// The two clocks of a process. The I/O code around a state machine reads them
// and passes them in.
//
// State machines never read a clock themselves: every call receives a `Now`, so
// a test can run minutes of behaviour in virtual time.
//
//   node.Handle(event, Now{.mono = absl::Seconds(12), .wall_ms =
//   1700000012000});
#ifndef EGRETSWITCH_SRC_CLOCK_H_
#define EGRETSWITCH_SRC_CLOCK_H_

#include <cstdint>

#include "absl/time/time.h"

namespace egretswitch {

// Time on this process's own steady clock, counted from an arbitrary origin.
using MonoTime = absl::Duration;

// One reading of both clocks. `wall_ms` is milliseconds since the Unix epoch
// and is only ever compared within the deployment's clock-skew bound.
struct Now {
  MonoTime mono = absl::ZeroDuration();
  int64_t wall_ms = 0;
};

}  // namespace egretswitch

#endif  // EGRETSWITCH_SRC_CLOCK_H_
