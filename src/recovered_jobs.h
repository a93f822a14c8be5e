// What agents said they hold of the shards that this entry owns, and what the
// owner before said it sent: the tasks of submissions that a former owner
// started.
//
//   recovered.Merge("agent-3", Holding{shard 5, a17, tasks 0 and 2});
//   recovered.Find(5, a17)->agent_by_task   // {0: agent-3, 2: agent-3}
#ifndef EGRETSWITCH_SRC_RECOVERED_JOBS_H_
#define EGRETSWITCH_SRC_RECOVERED_JOBS_H_

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "messages.h"
#include "shard_authority.h"
#include "submission.h"

namespace egretswitch::internal {

class RecoveredJobs {
 public:
  // Adds what `agent` holds. Several agents may hold tasks of one job.
  void Merge(std::string_view agent, const Holding& holding);

  // Adds what the owner before had sent; what an agent holds counts more.
  void Merge(const ReleasedJob& job);

  // Adds to the `jobs` of a shard what only this object knows of them.
  void Complete(ShardId shard, std::vector<ReleasedJob>* jobs) const;

  // Null when no agent holds a task of the job.
  const RecoveredJob* Find(ShardId shard, const SubmissionKey& key) const;

  void Forget(ShardId shard) { m_shards.erase(shard); }

  // Drops submissions that are beyond the horizon at wall time `now_ms`.
  void DropExpired(int64_t now_ms);

 private:
  std::map<ShardId, std::map<SubmissionKey, RecoveredJob>> m_shards;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RECOVERED_JOBS_H_
