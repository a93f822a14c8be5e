// The checks of a submission that need no knowledge of its past.
//
//   CheckSubmission(a17 submitted 2 s ahead of our clock, control, wall_ms)
//   -> kClockOutOfRange
#ifndef EGRETSWITCH_SRC_SUBMISSION_CHECK_H_
#define EGRETSWITCH_SRC_SUBMISSION_CHECK_H_

#include <cstdint>
#include <optional>

#include "control_state.h"
#include "outcome.h"
#include "submission.h"

namespace egretswitch::internal {

// What is wrong with the submission at wall time `wall_ms`, or nothing.
// `past` is the verdict where the check alone doesn't tell: whether an earlier
// sending of the same submission may have run.
std::optional<JobRefusal> CheckSubmission(const Submission& submission,
                                          const ControlState& control,
                                          int64_t wall_ms,
                                          RunVerdict past);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SUBMISSION_CHECK_H_
