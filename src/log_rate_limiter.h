// Token bucket that limits log lines per second. Its capacity is the number of
// lines of one second.
//
//   if (limiter.TryAcquire(now)) { ... write the line ... }
//   if (const uint64_t lines = limiter.TakeUnreported(now)) { ... write it ...
//   }
#ifndef EGRETSWITCH_SRC_LOG_RATE_LIMITER_H_
#define EGRETSWITCH_SRC_LOG_RATE_LIMITER_H_

#include <algorithm>
#include <cstdint>
#include <utility>

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

  // Number of lines denied since the last call that returned one; 0 if there
  // is none or if that call was less than kReportPeriod ago.
  uint64_t TakeUnreported(MonoTime now) {
    if (m_suppressed == m_reported || now - m_reported_at < kReportPeriod) {
      return 0;
    }
    m_reported_at = now;
    return m_suppressed - std::exchange(m_reported, m_suppressed);
  }

 private:
  static constexpr absl::Duration kReportPeriod = absl::Seconds(1);

  const double m_rate;
  double m_left;
  MonoTime m_last = absl::ZeroDuration();
  uint64_t m_suppressed = 0;
  uint64_t m_reported = 0;
  MonoTime m_reported_at = absl::ZeroDuration();
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LOG_RATE_LIMITER_H_
