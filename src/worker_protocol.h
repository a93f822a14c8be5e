// Encodes and parses the JSON bodies exchanged with a worker, as described in
// docs/PLATFORM.md.
//
//   EncodeStart({lease "g-1", team desk, id a17, index 0, ...})
//   -> {"lease":"g-1","team":"desk","id":"a17","index":0,"payload":"..."}
#ifndef EGRETSWITCH_SRC_WORKER_PROTOCOL_H_
#define EGRETSWITCH_SRC_WORKER_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/types/span.h"
#include "node_events.h"

namespace egretswitch::internal {

// The worker's tasks that are running, or ended and not yet acknowledged.
// `instance` changes with every start of the worker.
struct WorkerTaskList {
  std::string instance;
  std::vector<WorkerTask> tasks;
};

// The worker's response to one start.
struct StartResult {
  LeaseId lease;
  bool accepted = false;
  std::string verdict;
};

struct SequencedEnd {
  uint64_t sequence = 0;
  WorkerTaskEnded ended;
};

struct EndsPage {
  std::string instance;
  std::vector<SequencedEnd> ends;
};

std::string EncodeHolder(std::string_view holder);
std::string EncodeStop(std::string_view holder,
                       absl::Span<const LeaseId> leases);

// Returns one element of a batch. Fails if a text is not UTF-8, since replacing
// the invalid bytes would run a payload that differs from the caller's.
absl::StatusOr<std::string> EncodeStart(const StartOnWorker& start);

// `starts` are elements returned by EncodeStart().
std::string EncodeBatch(std::string_view holder,
                        absl::Span<const std::string> starts);

absl::StatusOr<WorkerTaskList> ParseTaskList(const std::string& body);
absl::StatusOr<std::vector<StartResult>> ParseStartResults(
    const std::string& body);
absl::StatusOr<EndsPage> ParseEnds(const std::string& body);

// Returns the holder named by a 409 reply, or nullopt if it names none.
std::optional<std::string> ParseCurrentHolder(const std::string& body);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_PROTOCOL_H_
