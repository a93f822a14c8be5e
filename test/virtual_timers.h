// Timers for shells under test, on a clock that runs only from one of them to
// the next.
//
//   VirtualTimers virtual_timers;
//   StoreFollower follower(virtual_timers.timers(), ...);
//   virtual_timers.RunUntil(absl::Seconds(20));
#ifndef EGRETSWITCH_TEST_VIRTUAL_TIMERS_H_
#define EGRETSWITCH_TEST_VIRTUAL_TIMERS_H_

#include <functional>
#include <map>
#include <utility>

#include "timers.h"

namespace egretswitch::internal {

class VirtualTimers {
 public:
  Timers timers() {
    return {.now = [this] { return m_now; },
            .run_after =
                [this](absl::Duration delay, std::function<void()> what) {
                  RunAfter(delay, std::move(what));
                }};
  }

  absl::Duration now() const { return m_now; }
  void At(absl::Duration when, std::function<void()> what) {
    m_due.emplace(when, std::move(what));
  }
  void RunAfter(absl::Duration delay, std::function<void()> what) {
    At(m_now + delay, std::move(what));
  }
  // Everything up to and including `end`.
  void RunUntil(absl::Duration end) {
    while (!m_due.empty() && m_due.begin()->first <= end) {
      auto next = m_due.extract(m_due.begin());
      m_now = next.key();
      next.mapped()();
    }
    m_now = end;
  }

 private:
  absl::Duration m_now;
  std::multimap<absl::Duration, std::function<void()>> m_due;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_VIRTUAL_TIMERS_H_
