// Token bucket that limits log lines per second. Its capacity is the number of
// lines of one second.
//
//   if (limiter.TryAcquire(now)) { ... write the line ... }
#ifndef EGRETSWITCH_SRC_LOG_RATE_LIMITER_H_
#define EGRETSWITCH_SRC_LOG_RATE_LIMITER_H_

#include <algorithm>
#include <cstdint>

#include "clock.h"

namespace egretswitch::internal {

class LogRateLimiter {
 public:
  explicit LogRateLimiter(double lines_per_second)
      : m_rate(lines_per_second), m_left(lines_per_second) {}

  bool TryAcquire(MonoTime now) {
    const double passed = absl::ToDoubleSeconds(now - m_last);
    m_last = now;
    m_left = std::min(m_rate, m_left + m_rate * passed);
    if (m_left < 1) {
      ++m_suppressed;
      return false;
    }
    m_left -= 1;
    return true;
  }

  // Number of lines denied so far.
  uint64_t suppressed() const { return m_suppressed; }

 private:
  const double m_rate;
  double m_left;
  MonoTime m_last = absl::ZeroDuration();
  uint64_t m_suppressed = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LOG_RATE_LIMITER_H_
