// Names of worker incarnations: the worker's id, followed by its start time if
// it reports one.
//
//   IncarnationName("i-7", 1764750000123)  -> "i-7@1764750000123"
//   WorkerIdOf("i-7@1764750000123")        -> "i-7"
//   StartTimeOf("i-7@1764750000123")           -> 1764750000123
//
// A worker may restart under the same id. Comparing the names distinguishes its
// incarnations, without parsing them.
#ifndef EGRETSWITCH_SRC_WORKER_INCARNATION_H_
#define EGRETSWITCH_SRC_WORKER_INCARNATION_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace egretswitch::internal {

// `start_time_ms` is the wall time of the worker's start; 0 if it reports none.
std::string IncarnationName(std::string_view worker_id, int64_t start_time_ms);

std::string_view WorkerIdOf(std::string_view incarnation);

// Returns 0 if the name has no start time.
int64_t StartTimeOf(std::string_view incarnation);

// Whether `left` is an earlier incarnation of the same worker than `right`.
bool IsEarlierIncarnation(std::string_view left, std::string_view right);

// Whether `text` is usable as an id: not empty, and without the separator that
// precedes the start time in a name.
bool IsWorkerId(std::string_view text);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_INCARNATION_H_
