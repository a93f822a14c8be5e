// The steady clock and the timers of a shell, as functions, so that a test can
// run minutes of it in virtual time.
//
//   const Timers timers = TimersOf(loop);
//   timers.run_after(absl::Seconds(1), [] { ... });
#ifndef EGRETSWITCH_SRC_TIMERS_H_
#define EGRETSWITCH_SRC_TIMERS_H_

#include <functional>
#include <utility>

#include "clock.h"
#include "event_loop.h"

namespace egretswitch::internal {

struct Timers {
  std::function<MonoTime()> now;
  // `what` runs in a later turn, never within the call.
  std::function<void(absl::Duration delay, std::function<void()> what)>
      run_after;
};

// The loop must outlive every use.
inline Timers TimersOf(EventLoop& loop) {
  return {.now = [] { return EventLoop::MonoNow(); },
          .run_after =
              [&loop](absl::Duration delay, std::function<void()> what) {
                loop.RunAfter(delay, std::move(what));
              }};
}

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_TIMERS_H_
