// A job as its owner keeps it while it is open: which task waits, which was
// sent to which agent, and who waits for the answer.
//
//   waiting [2, 1]; task 0 sent to agent 4; fronts {entry-b}
#ifndef EGRETSWITCH_SRC_OWNED_JOB_H_
#define EGRETSWITCH_SRC_OWNED_JOB_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "clock.h"
#include "outcome.h"
#include "submission.h"

namespace egretswitch::internal {

// Number of an agent within this process (agent_picker.h).
using AgentId = uint32_t;
inline constexpr AgentId kNoAgent = UINT32_MAX;

enum class TaskPhase : uint8_t { kWaiting = 0, kSent, kFinished };

struct OwnedTask {
  TaskPhase phase = TaskPhase::kWaiting;
  AgentId agent = kNoAgent;
  // The agent's incarnation that the start was sent to; 0 when the task was
  // found there in a takeover, so that it certainly started.
  uint64_t incarnation = 0;
};

// The job's place in its row of the queue, kept by DispatchQueue alone.
struct QueuePlace {
  bool queued = false;
  uint32_t row = 0;
  double key = 0;      // least first
  double work_ms = 0;  // as counted in the row
  uint32_t tasks = 0;  // likewise
};

struct OwnedJob {
  uint64_t serial = 0;  // grows with each job of this process
  Submission submission;
  uint64_t digest = 0;
  ShardId shard = 0;
  uint32_t row = 0;           // of DispatchQueue
  bool uniform_needs = true;  // every task needs the same
  // A takeover left open whether more of it started than is known.
  bool past_unknown = false;
  // An agent's fence is above our epoch: nothing more may be sent.
  bool fenced = false;
  // No linked worker can run a task of it: kept out of the queue.
  bool unplaceable = false;
  bool local_waits = false;      // this process's own front waits for it
  std::set<std::string> fronts;  // other entries that wait for it
  std::vector<OwnedTask> tasks;
  std::vector<TaskOutput> outputs;
  std::vector<uint32_t> waiting;  // task indexes, the next one last
  std::vector<uint32_t> delayed;  // bounced, without a retry budget yet
  uint32_t sent = 0;
  uint32_t finished = 0;
  uint64_t payload_bytes = 0;
  uint32_t mean_declared_ms = 0;
  double ageing_at_entry = 0;  // the queue's ageing clock when it came
  QueuePlace place;

  // Whether any task ran, runs, or may have been started.
  bool MayHaveRun() const { return past_unknown || sent > 0 || finished > 0; }
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_OWNED_JOB_H_
