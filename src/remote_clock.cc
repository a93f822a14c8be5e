// Two steady clocks drift apart. The estimate is lowered by the drift over the
// time since the offset was observed, so that it stays a lower bound if the
// peer's clock is the slower one:
//
//   observed 5 s ago, drift 0.1%  ->  the estimate is 5 ms lower
#include "remote_clock.h"

#include <algorithm>

namespace egretswitch::internal {

void RemoteClock::Observe(int64_t peer_ms, MonoTime now) {
  const int64_t observed = peer_ms - absl::ToInt64Milliseconds(now);
  const std::optional<int64_t> estimate = Estimate(now);
  const int64_t aged = estimate.has_value()
                           ? *estimate - absl::ToInt64Milliseconds(now)
                           : observed;
  m_offset_ms = std::max(observed, aged);
  m_observed_at = now;
}

std::optional<int64_t> RemoteClock::Estimate(MonoTime now) const {
  if (!m_offset_ms.has_value()) {
    return std::nullopt;
  }
  const absl::Duration drift = m_drift * (now - m_observed_at);
  // The drift is rounded up, since both clocks are read in whole milliseconds.
  return absl::ToInt64Milliseconds(now) + *m_offset_ms -
         absl::ToInt64Milliseconds(absl::Ceil(drift, absl::Milliseconds(1)));
}

}  // namespace egretswitch::internal
