// Two steady clocks drift apart. The offset kept is lowered by kDrift of the
// time since it was observed, so that it stays a lower bound when the peer's
// clock is the slower one:
//
//   observed 5 s ago, kDrift 0.1%  ->  the estimate is 5 ms lower
#include "remote_clock.h"

#include <algorithm>

namespace egretswitch::internal {
namespace {

// Steady clocks of hosts differ by some 100 ppm at most; ten times that.
constexpr double kDrift = 0.001;

}  // namespace

void RemoteClock::Observe(int64_t peer_ms, MonoTime now) {
  const int64_t fresh = peer_ms - absl::ToInt64Milliseconds(now);
  const std::optional<int64_t> kept = Estimate(now);
  const int64_t aged =
      kept.has_value() ? *kept - absl::ToInt64Milliseconds(now) : fresh;
  m_offset_ms = std::max(fresh, aged);
  m_observed_at = now;
}

std::optional<int64_t> RemoteClock::Estimate(MonoTime now) const {
  if (!m_offset_ms.has_value()) {
    return std::nullopt;
  }
  const absl::Duration drift = kDrift * (now - m_observed_at);
  // Both clocks read whole milliseconds: one more for the rounding.
  return absl::ToInt64Milliseconds(now) + *m_offset_ms -
         absl::ToInt64Milliseconds(absl::Ceil(drift, absl::Milliseconds(1)));
}

}  // namespace egretswitch::internal
