#include "run_events.h"

namespace egretswitch::internal {

std::string_view JobVerdictName(JobVerdict verdict) {
  switch (verdict) {
    case JobVerdict::kCompleted:
      return "completed";
    case JobVerdict::kFailed:
      return "failed";
    case JobVerdict::kNotRun:
      return "not_run";
    case JobVerdict::kCancelled:
      return "cancelled";
    case JobVerdict::kMayHaveRun:
      break;
  }
  return "may_have_run";
}

}  // namespace egretswitch::internal
