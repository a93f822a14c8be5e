#include "submission_check.h"

#include <string>
#include <utility>

#include "node_limits.h"

namespace egretswitch::internal {
namespace {

// Wrong for every entry alike, so it never ran.
const char* FindInvalidPart(const Submission& submission) {
  const SubmissionKey& key = submission.key;
  if (key.team.empty() || key.team.size() > kMaxIdBytes) {
    return "team: allowed 1 to 128 bytes";
  }
  if (key.id.empty() || key.id.size() > kMaxIdBytes) {
    return "id: allowed 1 to 128 bytes";
  }
  if (submission.tasks.empty() || submission.tasks.size() > kMaxTasksPerJob) {
    return "tasks: allowed 1 to 790";
  }
  if (submission.submitted_ms < 0) {
    return "submitted_ms: allowed 0 or more";
  }
  if (submission.deadline_ms <= submission.submitted_ms) {
    return "deadline_ms: allowed only after submitted_ms";
  }
  if (submission.deadline_ms - submission.submitted_ms > kHorizonMs) {
    return "deadline_ms: allowed at most 120000 ms after submitted_ms";
  }
  return nullptr;
}

JobRefusal Refuse(RefusalReason reason, RunVerdict verdict, const char* why) {
  return JobRefusal{reason, verdict, 0, why};
}

}  // namespace

std::optional<JobRefusal> CheckSubmission(const Submission& submission,
                                          const ControlState& control,
                                          int64_t wall_ms,
                                          RunVerdict past) {
  if (const char* why = FindInvalidPart(submission)) {
    return Refuse(RefusalReason::kInvalidRequest, RunVerdict::kNotRun, why);
  }
  if (submission.submitted_ms > wall_ms + kWallSkewMs) {
    return Refuse(RefusalReason::kClockOutOfRange, RunVerdict::kNotRun,
                  "submitted_ms is ahead of this entry's clock");
  }
  if (submission.submitted_ms < wall_ms - kHorizonMs) {
    return Refuse(RefusalReason::kTooOld, RunVerdict::kMayHaveRun,
                  "submitted_ms is older than what is remembered");
  }
  if (!control.FindRow(submission.kind)) {
    return Refuse(RefusalReason::kUnknownKind, past,
                  "the operator table has no row for this kind");
  }
  if (submission.deadline_ms <= wall_ms) {
    return Refuse(RefusalReason::kDeadlinePassed, past,
                  "the deadline has passed");
  }
  return std::nullopt;
}

}  // namespace egretswitch::internal
