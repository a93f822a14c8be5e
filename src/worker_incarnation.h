// The name of one life of a worker: its id, and its birth where it tells one.
//
//   IncarnationName("i-7", 1764750000123)  -> "i-7@1764750000123"
//   WorkerIdOf("i-7@1764750000123")        -> "i-7"
//   StartTimeOf("i-7@1764750000123")           -> 1764750000123
//
// A worker may start again under the id that it had. Whoever compares names
// then tells the two lives apart without knowing what they are made of.
#ifndef EGRETSWITCH_SRC_WORKER_INCARNATION_H_
#define EGRETSWITCH_SRC_WORKER_INCARNATION_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace egretswitch::internal {

// `born_ms` is the wall time of its start; 0: it tells none.
std::string IncarnationName(std::string_view worker_id, int64_t born_ms);

std::string_view WorkerIdOf(std::string_view incarnation);

// 0: the incarnation tells none.
int64_t StartTimeOf(std::string_view incarnation);

// Whether `left` is an earlier life of the same worker than `right`.
bool IsEarlierIncarnation(std::string_view left, std::string_view right);

// Whether an id can be told from the birth that follows it in a name.
bool IsWorkerId(std::string_view text);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_INCARNATION_H_
