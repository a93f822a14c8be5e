// A single timer that is rearmed after each event, for a state machine that
// reports when it is next due.
//
//   WakeTimer timer(loop, [this] { Deliver(TimePassed{}); });
//   timer.Arm(node.NextWake());      // after each event
#ifndef EGRETSWITCH_SRC_WAKE_TIMER_H_
#define EGRETSWITCH_SRC_WAKE_TIMER_H_

#include <functional>
#include <utility>

#include "clock.h"
#include "event_loop.h"

namespace egretswitch::internal {

class WakeTimer {
 public:
  WakeTimer(EventLoop& loop, std::function<void()> on_wake)
      : m_loop(loop), m_on_wake(std::move(on_wake)) {}
  ~WakeTimer() { m_loop.Cancel(m_timer); }
  WakeTimer(const WakeTimer&) = delete;
  WakeTimer& operator=(const WakeTimer&) = delete;

  // Infinite disarms the timer.
  void Arm(MonoTime due) {
    if (due == m_due) {
      return;
    }
    m_loop.Cancel(m_timer);
    m_due = due;
    if (due == absl::InfiniteDuration()) {
      return;
    }
    const absl::Duration delay =
        std::max(due - EventLoop::MonoNow(), absl::ZeroDuration());
    m_timer = m_loop.RunAfter(delay, [this] {
      m_due = absl::InfiniteDuration();
      m_on_wake();
    });
  }

 private:
  EventLoop& m_loop;
  const std::function<void()> m_on_wake;
  MonoTime m_due = absl::InfiniteDuration();
  EventLoop::TimerId m_timer = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WAKE_TIMER_H_
