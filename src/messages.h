// The messages between the system's own processes, as plain data.
//
// Entry to entry: Hello, PeerPing/PeerPong, LogRelay, Forward, ForwardAnswer,
// ForwardMoved, CancelJob, ShardsReleased.
// Entry to agent (the process beside a worker): Hello, StartTasks, CancelTasks,
// FenceShards, WantSlots. Agent to entry: Hello, AgentStatus, TaskReports,
// FenceReply.
//
//   entry  StartTasks{job a17, tasks 0..3}  ->  agent
//   entry  <-  TaskReports{a17/0 finished, a17/1 finished; 2 slots free}
#ifndef EGRETSWITCH_SRC_MESSAGES_H_
#define EGRETSWITCH_SRC_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "log_records.h"
#include "msgpack_config.h"
#include "outcome.h"
#include "run_messages.h"
#include "submission.h"

namespace egretswitch::internal {

using Epoch = uint64_t;

enum class ProcessRole : uint8_t { kEntry = 0, kAgent = 1, kTool = 2 };

// First message in each direction on every link.
struct Hello {
  std::string name;          // configured, unique in the deployment
  uint64_t incarnation = 0;  // random, new at every start of the process
  ProcessRole role = ProcessRole::kEntry;
  std::string data_centre;
  std::string region;
  uint32_t slots = 0;           // agents only: slots of the worker
  TaskNeeds capacity;           // agents only: the worker's whole capacity
  int64_t memory_since_ms = 0;  // agents only: wall time of its empty start
  // The alternatives of RunMessageBody that the process understands; 0 in
  // earlier versions.
  uint32_t run_message_kinds = 0;
  MSGPACK_DEFINE(name,
                 incarnation,
                 role,
                 data_centre,
                 region,
                 slots,
                 capacity,
                 memory_since_ms,
                 run_message_kinds)
};

// What one entry knows of another, by its own measurement.
struct HeardPeer {
  std::string name;
  uint64_t incarnation = 0;
  uint32_t age_ms = 0;
  MSGPACK_DEFINE(name, incarnation, age_ms)
};

// State that entries tell each other with every ping and pong.
struct PeerStatus {
  uint64_t fold_offset = 0;  // next log offset to be folded
  bool lacks_log = false;    // no successful read lately and no append pending
  bool draining = false;
  std::vector<HeardPeer> heard;
  MSGPACK_DEFINE(fold_offset, lacks_log, draining, heard)
};

struct PeerPing {
  uint64_t sequence = 0;
  PeerStatus status;
  MSGPACK_DEFINE(sequence, status)
};

// Answers the ping with the same sequence number.
struct PeerPong {
  uint64_t sequence = 0;
  PeerStatus status;
  MSGPACK_DEFINE(sequence, status)
};

// Control-log records for a peer that has folded less.
struct LogRelay {
  std::vector<LogEntry> entries;
  MSGPACK_DEFINE(entries)
};

// Hands a caller's submission to the owner of its shard. Sending it again is
// harmless.
struct Forward {
  Submission submission;
  MSGPACK_DEFINE(submission)
};

struct ForwardAnswer {
  SubmissionKey key;
  uint64_t digest = 0;
  JobOutcome outcome;
  MSGPACK_DEFINE(key, digest, outcome)
};

// The receiver does not serve the shard of `key` (any more): nothing was done
// by it that its successor cannot find out. The sender waits for the new owner.
struct ForwardMoved {
  SubmissionKey key;
  uint64_t digest = 0;
  MSGPACK_DEFINE(key, digest)
};

struct CancelJob {
  SubmissionKey key;
  MSGPACK_DEFINE(key)
};

struct ShardEpoch {
  ShardId shard = 0;
  Epoch epoch = 0;
  MSGPACK_DEFINE(shard, epoch)
};

// What a releasing owner knows of a shard that it served until then.
// `job_count` ReleasedJobs of the shard and epoch make the knowledge whole:
// what they don't name was never started, but for submissions in its doubt.
struct ShardKnowledge {
  ShardId shard = 0;
  Epoch held_epoch = 0;  // under which the sender owned it
  int64_t doubt_ms = 0;  // starts before this wall time may be unknown to it
  uint32_t job_count = 0;
  MSGPACK_DEFINE(shard, held_epoch, doubt_ms, job_count)
};

// Tasks whose start was sent to one process of an agent. Incarnation 0: to
// whichever process of that name; they have certainly started there.
struct StartedTasks {
  std::string agent;
  uint64_t incarnation = 0;
  std::vector<uint32_t> indexes;
  MSGPACK_DEFINE(agent, incarnation, indexes)
};

// A job of a released shard, open or ended, of which something was started.
struct ReleasedJob {
  ShardId shard = 0;
  Epoch held_epoch = 0;
  SubmissionKey key;
  uint64_t digest = 0;
  uint32_t task_count = 0;
  int64_t submitted_ms = 0;
  std::vector<StartedTasks> started;
  MSGPACK_DEFINE(shard,
                 held_epoch,
                 key,
                 digest,
                 task_count,
                 submitted_ms,
                 started)
};

// The sender has stopped for good to act under any lower epoch of the shards.
// Further messages with the rest of the jobs alone may follow.
struct ShardsReleased {
  std::vector<ShardEpoch> shards = {};
  std::vector<ShardKnowledge> known = {};
  std::vector<ReleasedJob> jobs = {};
  MSGPACK_DEFINE(shards, known, jobs)
};

// An entry's standing interest in slots of an agent; 0 withdraws it.
// `urgency` is lower for what should run first; `prefer_response` is that of
// the operator table's row of the most urgent job.
struct WantSlots {
  uint32_t count = 0;
  double urgency = 0;
  uint32_t prefer_response = 50;
  MSGPACK_DEFINE(count, urgency, prefer_response)
};

// One task within StartTasks.
struct TaskStart {
  uint32_t index = 0;
  TaskSpec spec;
  MSGPACK_DEFINE(index, spec)
};

// Starts tasks of one job on the agent's worker. Idempotent: a task that the
// agent already holds is reported again, never started again.
struct StartTasks {
  uint64_t permission = 0;  // latest AgentStatus/TaskReports permission
  uint64_t agent_incarnation = 0;
  ShardId shard = 0;
  Epoch epoch = 0;
  SubmissionKey key;
  uint64_t digest = 0;
  uint32_t task_count = 0;  // of the whole job
  int64_t submitted_ms = 0;
  int64_t deadline_ms = 0;
  bool attach_only = false;  // report what is held, start nothing
  WantSlots want;            // replaces the sender's; not with attach_only
  std::vector<TaskStart> tasks;
  MSGPACK_DEFINE(permission,
                 agent_incarnation,
                 shard,
                 epoch,
                 key,
                 digest,
                 task_count,
                 submitted_ms,
                 deadline_ms,
                 attach_only,
                 want,
                 tasks)
};

// Stops every task of the job on this agent.
struct CancelTasks {
  ShardId shard = 0;
  Epoch epoch = 0;
  SubmissionKey key;
  MSGPACK_DEFINE(shard, epoch, key)
};

// From now on the agent refuses these shards below the given epochs.
struct FenceShards {
  std::vector<ShardEpoch> shards;
  MSGPACK_DEFINE(shards)
};

// The tasks of one submission that an agent has started.
struct Holding {
  ShardId shard = 0;
  SubmissionKey key;
  uint64_t digest = 0;
  uint32_t task_count = 0;
  int64_t submitted_ms = 0;
  std::vector<uint32_t> indexes;
  MSGPACK_DEFINE(shard, key, digest, task_count, submitted_ms, indexes)
};

// Answers FenceShards with everything the agent remembers of the shards.
// `memory_since_ms`: starts before this wall time are not remembered.
struct FenceReply {
  std::vector<ShardEpoch> shards;
  int64_t memory_since_ms = 0;
  std::vector<Holding> holdings;
  MSGPACK_DEFINE(shards, memory_since_ms, holdings)
};

// What an agent says of itself whenever it matters to this entry.
// `offered` slots are kept for this entry for a short time.
struct AgentStatus {
  uint64_t permission = 0;
  uint32_t free_slots = 0;
  uint32_t offered = 0;
  bool leaving = false;
  MSGPACK_DEFINE(permission, free_slots, offered, leaving)
};

enum class TaskStatus : uint8_t {
  kFinished = 0,      // payload is the output
  kFailed,            // payload is the error; the task ran
  kLost,              // started, and its end can no longer be known
  kFull,              // not run: no free slot
  kLeaving,           // not run: the agent takes no new work
  kStalePermission,   // not run: permission too old; a new one is in `agent`
  kFenced,            // not run: the epoch is below the agent's fence
  kOtherIncarnation,  // not run: meant for a former process of this slot
  kConflict,          // not run: the key is held with another digest
  kNotHeld,           // attach_only: the agent never started it
  kResultExpired,     // finished, but its output is no longer held
  kRefusedByWorker,   // not run: the worker refused the start
};

struct TaskReport {
  SubmissionKey key;
  uint32_t index = 0;
  TaskStatus status = TaskStatus::kFinished;
  std::string payload;
  uint32_t run_ms = 0;  // measured run time, when it ran
  MSGPACK_DEFINE(key, index, status, payload, run_ms)
};

struct TaskReports {
  AgentStatus agent;
  std::vector<TaskReport> reports;
  MSGPACK_DEFINE(agent, reports)
};

using Message = std::variant<Hello,
                             PeerPing,
                             PeerPong,
                             LogRelay,
                             Forward,
                             ForwardAnswer,
                             ForwardMoved,
                             CancelJob,
                             ShardsReleased,
                             StartTasks,
                             CancelTasks,
                             FenceShards,
                             FenceReply,
                             WantSlots,
                             AgentStatus,
                             TaskReports,
                             RunMessage>;

}  // namespace egretswitch::internal

MSGPACK_ADD_ENUM(egretswitch::internal::ProcessRole)
MSGPACK_ADD_ENUM(egretswitch::internal::TaskStatus)

#endif  // EGRETSWITCH_SRC_MESSAGES_H_
