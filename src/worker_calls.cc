#include "worker_calls.h"

namespace egretswitch::internal {

std::string_view CallVerdictName(CallVerdict verdict) {
  switch (verdict) {
    case CallVerdict::kDone:
      return "done";
    case CallVerdict::kFenced:
      return "fenced";
    case CallVerdict::kOldNumber:
      return "old_number";
    case CallVerdict::kTooLate:
      return "too_late";
    case CallVerdict::kNoCapacity:
      return "no_room";
    case CallVerdict::kOtherWorker:
      return "other_worker";
    case CallVerdict::kRefused:
      return "refused";
    case CallVerdict::kUnreachable:
      return "unreachable";
    case CallVerdict::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace egretswitch::internal
