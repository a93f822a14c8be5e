// Estimates a peer's steady clock from the readings in the peer's messages. The
// estimate is never ahead of the clock.
//
//   clock.Observe(peer_ms = 5000, now = 100 ms);   // in flight for 2 ms
//   clock.Estimate(now = 160 ms)  -> 5060          // the peer's clock: 5062
//
// A message's delay makes the estimate too low, never too high, so the reading
// with the least delay is used. A message stamped with the estimate is never
// older than its stamp says, so the peer can limit its age by its own clock.
#ifndef EGRETSWITCH_SRC_REMOTE_CLOCK_H_
#define EGRETSWITCH_SRC_REMOTE_CLOCK_H_

#include <cstdint>
#include <optional>

#include "clock.h"

namespace egretswitch::internal {

class RemoteClock {
 public:
  // Ten times the difference between the steady clocks of two hosts, which is
  // some 100 ppm at most.
  static constexpr double kHostDrift = 0.001;

  RemoteClock() = default;
  // `drift` is the share of the time by which the peer's clock may be slower.
  explicit RemoteClock(double drift) : m_drift(drift) {}

  void Observe(int64_t peer_ms, MonoTime now);

  // Returns nullopt before the first reading.
  std::optional<int64_t> Estimate(MonoTime now) const;

 private:
  double m_drift = kHostDrift;
  std::optional<int64_t> m_offset_ms;  // the peer's clock minus ours
  MonoTime m_observed_at = absl::ZeroDuration();
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_REMOTE_CLOCK_H_
