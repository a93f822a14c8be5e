// What a caller is told: a whole answer, or a refusal with a truthful verdict.
//
// A refusal always says whether the request may have run, because a caller of
// a request that is not repeatable decides by that alone:
//
//   kNotRun      nothing of it started and nothing will: safe to send again
//   kMayHaveRun  a part may have started, or its past is unknown
#ifndef EGRETSWITCH_SRC_OUTCOME_H_
#define EGRETSWITCH_SRC_OUTCOME_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "msgpack_config.h"

namespace egretswitch {

// Whether a refused request may have run.
enum class RunVerdict : uint8_t { kNotRun = 0, kMayHaveRun = 1 };

// Why a request was refused or failed. Each value has a counter of its own.
enum class RefusalReason : uint8_t {
  kNone = 0,
  kInvalidRequest,       // malformed, or a value out of range
  kUnknownKind,          // no row of the table for this kind of work
  kIdConflict,           // same id, other content
  kClockOutOfRange,      // submitted_ms too far ahead of the entry's clock
  kTooOld,               // submitted_ms beyond the horizon of kept state
  kDeadlinePassed,       // the deadline passed before or during the run
  kDeadlineUnreachable,  // the learned wait is longer than the time left
  kQueueFull,            // the row's queue limit is reached
  kTeamQuota,            // the team's quota is used up
  kNoWorkerFits,         // no known worker can ever run a task of the job
  kNoOwner,              // the shard of the id has no serving owner now
  kOwnerIsolated,        // the owner's authority cannot be confirmed now
  kDraining,             // this process is shutting down
  kCancelled,            // the caller cancelled the job
  kTaskFailed,           // a task ran and reported a failure
  kWorkerLost,           // a task's worker was lost while it may have run
  kUnknownPast,          // may have started before a change of owner
  kOverloaded,           // memory or connection bounds of the entry reached
  kAnswerExpired,        // completed, but the answer is no longer held
  kCount
};

// Stable lower_snake_case name, used in JSON, counters and logs.
std::string_view RefusalReasonName(RefusalReason reason);

// "not_run" or "may_have_run".
std::string_view RunVerdictName(RunVerdict verdict);

// The output of one task that ran to its end.
struct TaskOutput {
  std::string payload;
  MSGPACK_DEFINE(payload)
};

// Every task's output, in the order of the submission.
struct JobAnswer {
  std::vector<TaskOutput> outputs;
  MSGPACK_DEFINE(outputs)
};

// A job that has no answer. `retry_after_ms` is 0 when sending it again is
// pointless (for example an invalid request).
struct JobRefusal {
  RefusalReason reason = RefusalReason::kNone;
  RunVerdict verdict = RunVerdict::kNotRun;
  uint32_t retry_after_ms = 0;
  std::string detail;
  MSGPACK_DEFINE(reason, verdict, retry_after_ms, detail)
};

// The final outcome of a submission: never a part of an answer.
using JobOutcome = std::variant<JobAnswer, JobRefusal>;

}  // namespace egretswitch

MSGPACK_ADD_ENUM(egretswitch::RunVerdict)
MSGPACK_ADD_ENUM(egretswitch::RefusalReason)

#endif  // EGRETSWITCH_SRC_OUTCOME_H_
