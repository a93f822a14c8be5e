// Every task that this agent started, remembered until its submission is too
// old to be accepted anywhere: what makes a repeated start harmless.
//
//   ledger.AddRunning(request{a17, digest d}, 0);
//   ledger.Finish(a17, 0, WorkerTaskEnded{kFinished, "ok"});
//   ledger.FindTask(a17, 0)->state   // kFinished, for the next 120 s
#ifndef EGRETSWITCH_SRC_START_LEDGER_H_
#define EGRETSWITCH_SRC_START_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/types/span.h"
#include "messages.h"
#include "node_events.h"

namespace egretswitch::internal {

enum class TaskState : uint8_t { kRunning = 0, kFinished, kFailed, kLost };

struct HeldTask {
  TaskState state = TaskState::kRunning;
  std::string payload;  // output or error, once it has ended
  bool payload_dropped = false;
  bool delivered = false;  // its end was sent on a link that was up
  uint32_t run_ms = 0;
};

struct HeldJob {
  std::optional<ShardId> shard;  // empty: started by a former process
  uint64_t digest = 0;           // 0: started by a former process
  uint32_t task_count = 0;
  int64_t submitted_ms = 0;
  int64_t deadline_ms = 0;
  std::map<uint32_t, HeldTask> tasks;
};

class StartLedger {
 public:
  explicit StartLedger(size_t result_bytes_limit)
      : m_result_bytes_limit(result_bytes_limit) {}

  // Null when nothing of the submission is held.
  const HeldJob* Find(const SubmissionKey& key) const;

  // Null when the task is not held.
  HeldTask* FindTask(const SubmissionKey& key, uint32_t index);

  // Notes a start, before it is handed to the worker.
  void AddRunning(const StartTasks& request, uint32_t index);

  // Notes a task that a former process of this agent started. Its digest is
  // not known, so its end is never told: it is held as lost.
  void AddUnknown(const WorkerTask& task, int64_t memory_since_ms);

  // Notes the end of a task that is held as running.
  void Finish(const SubmissionKey& key,
              uint32_t index,
              const WorkerTaskEnded& ended);

  // The task did not run after all: another start of it is a first one.
  void Forget(const SubmissionKey& key, uint32_t index);

  // Drops outputs past their deadline and submissions past the horizon.
  void Expire(int64_t wall_ms);

  // Drops the oldest outputs beyond the limit.
  void EnforceResultLimit();

  // False when starts of such a submission may have been dropped already.
  static bool Remembers(int64_t submitted_ms, int64_t wall_ms);

  // What is held of these shards.
  std::vector<Holding> HoldingsOf(absl::Span<const ShardEpoch> shards) const;

  // Whether some output that a caller may still wait for was never sent.
  bool HasUndelivered(int64_t wall_ms) const;

  // Number of tasks held.
  size_t size() const;

 private:
  using TaskId = std::pair<SubmissionKey, uint32_t>;

  void DropPayload(HeldTask& task);
  void DropPayloads(const SubmissionKey& key);
  void ExpireOutputs(int64_t wall_ms);
  void ForgetDroppedOutputs();

  size_t m_result_bytes_limit;
  size_t m_result_bytes = 0;
  std::map<SubmissionKey, HeldJob> m_jobs;
  std::multimap<int64_t, SubmissionKey> m_jobs_by_submitted;
  std::multimap<int64_t, SubmissionKey> m_jobs_by_deadline;
  std::deque<TaskId> m_outputs;  // in the order of their ends
};

// The state of a task that has ended, as it is told to entries.
TaskReport ReportOf(const SubmissionKey& key,
                    uint32_t index,
                    const HeldTask& task);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_START_LEDGER_H_
