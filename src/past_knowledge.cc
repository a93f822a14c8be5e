#include "past_knowledge.h"

#include "node_limits.h"

namespace egretswitch::internal {
namespace {

// Taken off kSuspectAfter: evidence that is younger than the rest precedes any
// takeover by suspicion.
constexpr absl::Duration kSuspicionMargin = absl::Milliseconds(100);

}  // namespace

// MayStart(t) says that the lease lasts until t + kPermissionLife, and the
// lease ends kOwnerLease after its evidence was asked for.
bool KnowsPast(const EntryRefs& entry) {
  const absl::Duration fresh = kSuspectAfter - kSuspicionMargin;
  return entry.authority.MayStart(entry.context.now().mono + kOwnerLease -
                                  kPermissionLife - fresh);
}

bool MayBeRepeat(const EntryRefs& entry, const Submission& submission) {
  return entry.context.now().wall_ms - submission.submitted_ms > kWallSkewMs;
}

RunVerdict VerdictIf(bool may_have_run) {
  return may_have_run ? RunVerdict::kMayHaveRun : RunVerdict::kNotRun;
}

}  // namespace egretswitch::internal
