// The time bounds on which safety and recovery rest, and how they must relate.
//
//   kPermissionLife <= kOwnerLease: an owner only uses a permission that ends
//   before its own authority does, so waiting kOwnerLease after a change of
//   owner is known to have taken effect outlives every start of the former one.
//
// docs/DESIGN.md, "Who may start a task", derives each use.
#ifndef EGRETSWITCH_SRC_NODE_LIMITS_H_
#define EGRETSWITCH_SRC_NODE_LIMITS_H_

#include <cstdint>

#include "absl/time/time.h"

namespace egretswitch::internal {

inline constexpr absl::Duration kTickPeriod = absl::Milliseconds(10);

// How long an agent honours a permission, by its own clock.
inline constexpr absl::Duration kPermissionLife = absl::Seconds(1);

// How long an owner's authority lasts after the evidence for it was asked for.
inline constexpr absl::Duration kOwnerLease = absl::Seconds(4);

// Added to every wait that compares two processes' steady clocks.
inline constexpr absl::Duration kDriftMargin = absl::Milliseconds(200);

inline constexpr absl::Duration kPeerPingPeriod = absl::Milliseconds(300);

// Silence after which an entry is suspected, also by hearsay.
inline constexpr absl::Duration kSuspectAfter = absl::Milliseconds(1500);

// A log that has not answered a read for this long counts as lacking.
inline constexpr absl::Duration kLogLackingAfter = absl::Milliseconds(1500);

// Pause after a failed log call; reads wait in the log for new records.
inline constexpr absl::Duration kLogRetryPeriod = absl::Milliseconds(200);
inline constexpr absl::Duration kLogReadWait = absl::Milliseconds(400);

// How long a front keeps a request while its shard has no serving owner.
inline constexpr absl::Duration kOwnerPatience = absl::Seconds(3);

// How long a new owner that could serve waits for the release of the living
// owner before it, which spares it the doubt.
inline constexpr absl::Duration kReleasePatience = absl::Milliseconds(500);

// How long an offered slot is kept for the entry it was offered to.
inline constexpr absl::Duration kOfferLife = absl::Milliseconds(50);

// Bound on the difference between any two wall clocks of the deployment and
// its callers.
inline constexpr int64_t kWallSkewMs = 500;

// State of a submission is kept until submitted_ms + this; older ones are
// refused as too old. Deadlines reach no further.
inline constexpr int64_t kHorizonMs = 120'000;

inline constexpr uint32_t kDefaultShardCount = 64;

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_NODE_LIMITS_H_
