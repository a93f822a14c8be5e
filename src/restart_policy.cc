#include "restart_policy.h"

namespace egretswitch::internal {

RestartVerdict VerdictOf(TaskStatus status, bool same_incarnation) {
  switch (status) {
    case TaskStatus::kFinished:
      return RestartVerdict::kResult;
    case TaskStatus::kFailed:
      return RestartVerdict::kJobFailed;
    case TaskStatus::kFull:
    case TaskStatus::kLeaving:
    case TaskStatus::kOtherIncarnation:
    case TaskStatus::kRefusedByWorker:
      return RestartVerdict::kSendElsewhere;
    case TaskStatus::kStalePermission:
      return RestartVerdict::kSendAgainFree;
    case TaskStatus::kFenced:
      return RestartVerdict::kHoldForNewOwner;
    case TaskStatus::kNotHeld:
      return same_incarnation ? RestartVerdict::kSendElsewhere
                              : RestartVerdict::kJobLost;
    case TaskStatus::kConflict:
      return RestartVerdict::kConflictingJob;
    case TaskStatus::kResultExpired:
      return RestartVerdict::kAnswerGone;
    case TaskStatus::kLost:
      break;
  }
  return RestartVerdict::kJobLost;
}

Counter RetryCounterOf(TaskStatus status) {
  switch (status) {
    case TaskStatus::kFull:
      return Counter::kRetryFull;
    case TaskStatus::kLeaving:
      return Counter::kRetryLeaving;
    case TaskStatus::kStalePermission:
      return Counter::kRetryStalePermission;
    case TaskStatus::kFenced:
      return Counter::kRetryFenced;
    case TaskStatus::kOtherIncarnation:
      return Counter::kRetryOtherIncarnation;
    case TaskStatus::kRefusedByWorker:
      return Counter::kRetryRefusedByWorker;
    default:
      return Counter::kRetryLinkDown;
  }
}

}  // namespace egretswitch::internal
