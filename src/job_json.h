// The JSON of callers: a submission coming in, an outcome going out.
//
//   {"team":"desk","id":"a17","kind":"check","submitted_ms":1700000000000,
//    "deadline_ms":1700000002000,"tasks":[{"payload":"SKF 6204"}]}
//   -> Submission
//   JobAnswer{"in stock"}
//   -> {"status":"complete","id":"a17","team":"desk","outputs":["in stock"]}
#ifndef EGRETSWITCH_SRC_JOB_JSON_H_
#define EGRETSWITCH_SRC_JOB_JSON_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "outcome.h"
#include "submission.h"

namespace egretswitch::internal {

inline constexpr size_t kMaxTeamBytes = 64;
inline constexpr size_t kMaxKindBytes = 64;
inline constexpr size_t kMaxPayloadBytes = 64 * 1024;
inline constexpr uint32_t kMaxDeclaredMs = 600'000;
inline constexpr TaskNeeds kMaxNeeds = {.millicores = 1'000'000,
                                        .memory_mb = 16'777'216,
                                        .accelerators = 1024};

// Reads a submission strictly; the error is for the caller and names the field,
// what was found and what is allowed.
absl::StatusOr<Submission> ParseSubmission(std::string_view text);

// The submission as ParseSubmission() reads it.
std::string SubmissionToJson(const Submission& submission);

// Reads {"team":..,"id":..}.
absl::StatusOr<SubmissionKey> ParseSubmissionKey(std::string_view text);

// The outcome of `key` as callers see it. An output that is not valid UTF-8
// appears as {"base64":".."} in place of a string.
std::string OutcomeToJson(const SubmissionKey& key, const JobOutcome& outcome);

// A refusal of a request whose key is not known.
std::string RefusalToJson(const JobRefusal& refusal);

// Reads what OutcomeToJson() wrote.
absl::StatusOr<JobOutcome> ParseOutcome(std::string_view text);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_JOB_JSON_H_
