// Reads a recorded trace with its stated outcomes, replays it, and says which
// outcomes did not come true. docs/TRACES.md describes the format.
//
//   at 5000 submit r1 kind reserve via entry-a run 60,60 deadline 4000 once
//   expect r1 complete within 1000
//
// A trace in another form needs only another ReadTrace().
#ifndef EGRETSWITCH_TEST_TRACE_FILE_H_
#define EGRETSWITCH_TEST_TRACE_FILE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "fault_plan.h"
#include "history_checker.h"
#include "scenario.h"

namespace egretswitch::internal {

// A fault at a time instead of at a step.
struct TimedFault {
  VirtualUs at = 0;
  FaultKind kind = FaultKind::kKillEntry;
  std::string process;
};

enum class StatedOutcome : uint8_t {
  kComplete = 0,
  kRefused,  // the last word is a refusal
  kFinal     // one of the two
};

// The outcome of every job whose id matches, or of some of them.
struct Expectation {
  uint32_t line = 0;
  std::string pattern;  // an id, or a prefix before '*'
  StatedOutcome outcome = StatedOutcome::kFinal;
  std::string reason;                // of a refusal; empty: any
  VirtualUs within = kNever;         // from the first sending to the answer
  std::optional<uint32_t> at_least;  // jobs; else every matching job
  std::optional<uint32_t> at_most;
};

struct TraceFile {
  Scenario scenario;
  uint64_t seed = 1;
  std::vector<TimedFault> faults;
  std::vector<Expectation> expectations;
};

// `name` is used in errors, which name the line.
absl::StatusOr<TraceFile> ReadTrace(std::string_view name,
                                    std::string_view text);

struct TraceResult {
  uint32_t jobs = 0;
  uint32_t jobs_complete = 0;
  std::vector<std::string> unmet;  // one line for each failed expectation
  std::vector<Violation> violations;
};

TraceResult ReplayTrace(const TraceFile& trace);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_TRACE_FILE_H_
