// When a refused caller should come back: the expected wait, spread at random
// so that callers which were refused together don't come back together.
//
//   SpreadRetryAfterMs(400, random)   // 400 to 800
#ifndef EGRETSWITCH_SRC_RETRY_AFTER_H_
#define EGRETSWITCH_SRC_RETRY_AFTER_H_

#include <cstdint>
#include <random>

namespace egretswitch::internal {

inline constexpr double kLeastRetryAfterMs = 50;

uint32_t SpreadRetryAfterMs(double wait_ms, std::mt19937_64& random);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RETRY_AFTER_H_
