// The jobs of an owner: the open ones with their tasks, and for a while the
// outcomes of those that ended, so that a resubmission gets the same one.
//
//   OwnedJob& job = store.Add(std::move(submission), digest, shard, row);
//   store.MarkSent(job, 0, agent, incarnation);
//   store.Close(job, outcome, /*remember=*/true);
//   store.FindDone(key)->outcome   // outputs until the deadline
#ifndef EGRETSWITCH_SRC_JOB_STORE_H_
#define EGRETSWITCH_SRC_JOB_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "agent_picker.h"
#include "dispatch_queue.h"
#include "kernel.h"
#include "messages.h"
#include "outcome.h"
#include "owned_job.h"
#include "submission.h"

namespace egretswitch::internal {

// Tasks of one job that were sent to one process of an agent.
struct StartedAt {
  AgentId agent = kNoAgent;
  uint64_t incarnation = 0;
  std::vector<uint32_t> indexes;
};

// A job that ended here.
struct DoneJob {
  uint64_t digest = 0;
  ShardId shard = 0;
  uint32_t task_count = 0;
  int64_t submitted_ms = 0;
  std::vector<StartedAt> started;
  JobOutcome outcome;
  size_t output_bytes = 0;
  int64_t outputs_until_ms = 0;  // wall time; the verdict stays longer
  int64_t forget_at_ms = 0;
};

class JobStore {
 public:
  // Outputs of ended jobs beyond this are dropped, oldest first.
  static constexpr size_t kMostOutputBytes = 256u << 20;

  explicit JobStore(Kernel& kernel);

  // Null when no such job is open.
  OwnedJob* Find(const SubmissionKey& key);
  OwnedJob* FindBySerial(uint64_t serial);

  // Null when no such job is remembered as ended.
  const DoneJob* FindDone(const SubmissionKey& key) const;

  // A new job, all tasks waiting but not yet in the queue.
  OwnedJob& Add(Submission submission,
                uint64_t digest,
                ShardId shard,
                uint32_t row);

  // Takes the job out. Its outcome is kept when `remember`.
  void Close(OwnedJob& job, const JobOutcome& outcome, bool remember);

  // The jobs of the shard, open or ended, that have tasks at agents.
  std::vector<ReleasedJob> StartedJobs(ShardId shard) const;

  // Drops every trace of the ended jobs of a shard.
  void ForgetDone(ShardId shard);

  // The task at `index` waits and was sent, or was found started.
  void MarkSent(OwnedJob& job,
                uint32_t index,
                AgentId agent,
                uint64_t incarnation);
  // The sent task certainly did not start.
  void MarkBounced(OwnedJob& job, uint32_t index);
  void MarkFinished(OwnedJob& job, uint32_t index, std::string output);

  // Puts the job into the queue or takes it out; see OwnedJob::unplaceable.
  void SetUnplaceable(OwnedJob& job, bool unplaceable);
  const std::set<uint64_t>& unplaceable() const { return m_unplaceable; }

  // Open jobs with tasks sent to the agent.
  std::vector<OwnedJob*> JobsAt(AgentId agent);

  // Open jobs whose deadline is not after `wall_ms`.
  std::vector<OwnedJob*> DueJobs(int64_t wall_ms);

  // Drops outputs and outcomes whose time is over.
  void Expire(int64_t wall_ms);

  const std::map<uint64_t, std::unique_ptr<OwnedJob>>& open() const {
    return m_open;
  }
  uint32_t tasks_running() const { return m_running; }
  uint64_t payload_bytes() const { return m_payload_bytes; }
  size_t done_count() const { return m_done.size(); }

 private:
  struct Due {
    int64_t at_ms;
    uint64_t serial;
    auto operator<=>(const Due&) const = default;
  };

  void Unsend(OwnedJob& job, uint32_t index);
  void Remember(const OwnedJob& job, const JobOutcome& outcome);
  void DropOutputs(DoneJob& done);
  void EnforceOutputLimit();

  DispatchQueue& m_queue;
  AgentPicker& m_picker;
  uint64_t m_next_serial = 1;
  std::map<uint64_t, std::unique_ptr<OwnedJob>> m_open;
  absl::flat_hash_map<SubmissionKey, uint64_t> m_open_by_key;
  std::set<Due> m_deadlines;
  // Jobs with sent tasks, and how many, for each agent.
  std::map<AgentId, std::map<uint64_t, uint32_t>> m_sent_to;
  std::set<uint64_t> m_unplaceable;  // serials
  uint32_t m_running = 0;
  uint64_t m_payload_bytes = 0;

  absl::flat_hash_map<SubmissionKey, DoneJob> m_done;
  std::multimap<int64_t, SubmissionKey> m_expiry;
  std::deque<SubmissionKey> m_with_outputs;
  size_t m_output_bytes = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_JOB_STORE_H_
