// How late an event loop runs what is due on it: the stand-ins and proxies of a
// soak are on one loop, and what they do late looks like a fault of others.
//
//   LoopLateness lateness(loop);
//   lateness.worst()
#ifndef EGRETSWITCH_TEST_SOAK_LOOP_LATENESS_H_
#define EGRETSWITCH_TEST_SOAK_LOOP_LATENESS_H_

#include <algorithm>

#include "event_loop.h"

namespace egretswitch::soak {

class LoopLateness {
 public:
  explicit LoopLateness(internal::EventLoop& loop) : m_loop(loop) { Arm(); }
  ~LoopLateness() { m_loop.Cancel(m_timer); }
  LoopLateness(const LoopLateness&) = delete;
  LoopLateness& operator=(const LoopLateness&) = delete;

  absl::Duration worst() const { return m_worst; }

 private:
  static constexpr absl::Duration kPeriod = absl::Milliseconds(10);

  void Arm() {
    const MonoTime due = internal::EventLoop::MonoNow() + kPeriod;
    m_timer = m_loop.RunAfter(kPeriod, [this, due] {
      m_worst = std::max(m_worst, internal::EventLoop::MonoNow() - due);
      Arm();
    });
  }

  internal::EventLoop& m_loop;
  internal::EventLoop::TimerId m_timer = 0;
  absl::Duration m_worst = absl::ZeroDuration();
};

}  // namespace egretswitch::soak

#endif  // EGRETSWITCH_TEST_SOAK_LOOP_LATENESS_H_
