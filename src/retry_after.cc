#include "retry_after.h"

#include <algorithm>

namespace egretswitch::internal {

uint32_t SpreadRetryAfterMs(double wait_ms, std::mt19937_64& random) {
  std::uniform_real_distribution<double> spread(1, 2);
  return static_cast<uint32_t>(std::max(wait_ms, kLeastRetryAfterMs) *
                               spread(random));
}

}  // namespace egretswitch::internal
