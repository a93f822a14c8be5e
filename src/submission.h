// A job as its caller submits it, and the key under which it is remembered.
//
// The identity of a submission is (team, id); `submitted_ms` is part of its
// content and must be the same on every resubmission. It tells a new
// submission from one that a former owner may have started:
//
//   {team: "desk", id: "a17", submitted_ms: 1700000000000, ...}   first sending
//   {team: "desk", id: "a17", submitted_ms: 1700000000000, ...}   joins the
//   first {team: "desk", id: "a17", submitted_ms: 1700000000900, ...}   id
//   conflict
#ifndef EGRETSWITCH_SRC_SUBMISSION_H_
#define EGRETSWITCH_SRC_SUBMISSION_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "msgpack_config.h"

namespace egretswitch {

inline constexpr uint32_t kMaxTasksPerJob = 790;
inline constexpr uint32_t kMaxIdBytes = 128;

// Number of a shard of the submission-id space, from 0 to the shard count - 1.
using ShardId = uint32_t;

// Names one submission in the whole deployment.
struct SubmissionKey {
  std::string team;
  std::string id;
  auto operator<=>(const SubmissionKey&) const = default;
  MSGPACK_DEFINE(team, id)

  template <typename H>
  friend H AbslHashValue(H h, const SubmissionKey& key) {
    return H::combine(std::move(h), key.team, key.id);
  }
};

// Resources one task needs on its worker while it runs.
struct TaskNeeds {
  uint32_t millicores = 0;
  uint32_t memory_mb = 0;
  uint32_t accelerators = 0;
  auto operator<=>(const TaskNeeds&) const = default;
  MSGPACK_DEFINE(millicores, memory_mb, accelerators)
};

// One task. `declared_ms` is the caller's guess of the run time and is often
// far off; nothing may depend on it being right.
struct TaskSpec {
  std::string payload;
  uint32_t declared_ms = 0;
  TaskNeeds needs;
  bool operator==(const TaskSpec&) const = default;
  MSGPACK_DEFINE(payload, declared_ms, needs)
};

// A job: one to kMaxTasksPerJob tasks that are answered together.
struct Submission {
  SubmissionKey key;
  std::string kind;          // row of the operator table
  int64_t submitted_ms = 0;  // caller's wall clock, fixed over resubmissions
  int64_t deadline_ms = 0;   // absolute wall clock
  bool repeatable = false;
  std::vector<TaskSpec> tasks;
  MSGPACK_DEFINE(key, kind, submitted_ms, deadline_ms, repeatable, tasks)
};

// Shard that `key` belongs to; the same in every process.
ShardId ShardOf(const SubmissionKey& key, uint32_t shard_count);

// Digest of everything in the submission, to tell a resubmission from another
// job under the same key.
uint64_t DigestOf(const Submission& submission);

}  // namespace egretswitch

#endif  // EGRETSWITCH_SRC_SUBMISSION_H_
