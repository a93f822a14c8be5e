// An estimate of a peer's steady clock that is never ahead of it, from the
// readings that come with the peer's messages.
//
//   clock.Observe(peer_ms = 5000, now = 100 ms);   // under way for 2 ms
//   clock.Estimate(now = 160 ms)  -> 5060           // the truth: 5062
//
// A message's delay makes the estimate too low, never too high, so the least
// delayed reading counts. A stamp made of it is therefore at least as old as
// what carries it: the peer judges the age of a message by its own clock alone.
#ifndef EGRETSWITCH_SRC_REMOTE_CLOCK_H_
#define EGRETSWITCH_SRC_REMOTE_CLOCK_H_

#include <cstdint>
#include <optional>

#include "clock.h"

namespace egretswitch::internal {

class RemoteClock {
 public:
  void Observe(int64_t peer_ms, MonoTime now);

  // Nullopt before the first reading.
  std::optional<int64_t> Estimate(MonoTime now) const;

 private:
  std::optional<int64_t> m_offset_ms;  // peer's clock less ours
  MonoTime m_observed_at = absl::ZeroDuration();
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_REMOTE_CLOCK_H_
