#include "outcome.h"

namespace egretswitch {

std::string_view RefusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNone:
      return "none";
    case RefusalReason::kInvalidRequest:
      return "invalid_request";
    case RefusalReason::kUnknownKind:
      return "unknown_kind";
    case RefusalReason::kIdConflict:
      return "id_conflict";
    case RefusalReason::kClockOutOfRange:
      return "clock_out_of_range";
    case RefusalReason::kTooOld:
      return "too_old";
    case RefusalReason::kDeadlinePassed:
      return "deadline_passed";
    case RefusalReason::kDeadlineUnreachable:
      return "deadline_unreachable";
    case RefusalReason::kQueueFull:
      return "queue_full";
    case RefusalReason::kTeamQuota:
      return "team_quota";
    case RefusalReason::kNoWorkerFits:
      return "no_worker_fits";
    case RefusalReason::kNoOwner:
      return "no_owner";
    case RefusalReason::kOwnerIsolated:
      return "owner_isolated";
    case RefusalReason::kDraining:
      return "draining";
    case RefusalReason::kCancelled:
      return "cancelled";
    case RefusalReason::kTaskFailed:
      return "task_failed";
    case RefusalReason::kWorkerLost:
      return "worker_lost";
    case RefusalReason::kUnknownPast:
      return "unknown_past";
    case RefusalReason::kOverloaded:
      return "overloaded";
    case RefusalReason::kAnswerExpired:
      return "answer_expired";
    case RefusalReason::kCount:
      break;
  }
  return "unknown";
}

std::string_view RunVerdictName(RunVerdict verdict) {
  return verdict == RunVerdict::kNotRun ? "not_run" : "may_have_run";
}

}  // namespace egretswitch
