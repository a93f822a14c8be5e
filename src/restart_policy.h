// The one place that says when a task may be sent to an agent again.
//
//   VerdictOf(kFull)  -> kSendElsewhere: the agent never started it
//   VerdictOf(kLost)  -> kJobLost: it started and its end is unknown
//
// "No task of a submission starts twice" is read literally: also a repeatable
// task is not run again after a start whose end is unknown. A weaker reading
// is a change of this file alone.
#ifndef EGRETSWITCH_SRC_RESTART_POLICY_H_
#define EGRETSWITCH_SRC_RESTART_POLICY_H_

#include <cstdint>

#include "counters.h"
#include "messages.h"

namespace egretswitch::internal {

enum class RestartVerdict : uint8_t {
  kResult,           // the task ran to its end
  kSendElsewhere,    // certainly not started: may be sent again
  kSendAgainFree,    // likewise, and no retry budget is needed
  kHoldForNewOwner,  // certainly not started, but this owner may send nothing
  kJobFailed,        // it ran and failed
  kJobLost,          // it may have run: never sent again
  kAnswerGone,       // it ran, its output is no longer held
  kConflictingJob,   // not started: the agent holds other content for the key
};

// What a report of `status` permits. `same_incarnation`: the agent's present
// process is the one that the start was sent to, so kNotHeld proves that the
// start never arrived (its link is down for good, and links keep order).
RestartVerdict VerdictOf(TaskStatus status, bool same_incarnation);

// Counter of a repeat after `status`.
Counter RetryCounterOf(TaskStatus status);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RESTART_POLICY_H_
