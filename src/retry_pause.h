// Pauses between failed attempts: each twice as long as the one before, up to a
// longest one, and drawn from the half above, so that processes that failed at
// the same moment don't come back at the same moment.
//
//   RetryPause pause({.first = 100 ms, .longest = 1600 ms}, seed);
//   pause.Next()  -> 50 to 100 ms, 100 to 200 ms, ... 800 to 1600 ms
//   pause.Reset() after a success
#ifndef EGRETSWITCH_SRC_RETRY_PAUSE_H_
#define EGRETSWITCH_SRC_RETRY_PAUSE_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "absl/time/time.h"

namespace egretswitch::internal {

struct RetryPauseLimits {
  absl::Duration first;
  absl::Duration longest;
};

class RetryPause {
 public:
  RetryPause(RetryPauseLimits limits, uint64_t seed)
      : m_limits(limits), m_next(limits.first), m_random(seed) {}

  absl::Duration Next() {
    const double share =
        std::uniform_real_distribution<double>(0.5, 1)(m_random);
    const absl::Duration pause = m_next * share;
    m_next = std::min(m_next * 2, m_limits.longest);
    return pause;
  }

  void Reset() { m_next = m_limits.first; }

 private:
  const RetryPauseLimits m_limits;
  absl::Duration m_next;
  std::minstd_rand m_random;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RETRY_PAUSE_H_
