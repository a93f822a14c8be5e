#include "recovered_jobs.h"

#include <algorithm>
#include <string>

#include "node_limits.h"

namespace egretswitch::internal {

// An agent that learnt of a task from its worker alone knows neither digest
// nor count: what another agent knows stays.
void RecoveredJobs::Merge(std::string_view agent, const Holding& holding) {
  RecoveredJob& job = m_shards[holding.shard][holding.key];
  if (job.digest == 0) {
    job.digest = holding.digest;
  }
  job.task_count = std::max(job.task_count, holding.task_count);
  job.submitted_ms = std::max(job.submitted_ms, holding.submitted_ms);
  for (const uint32_t index : holding.indexes) {
    job.agent_by_task.emplace(index, std::string(agent));
  }
}

const RecoveredJob* RecoveredJobs::Find(ShardId shard,
                                        const SubmissionKey& key) const {
  const auto jobs = m_shards.find(shard);
  if (jobs == m_shards.end()) {
    return nullptr;
  }
  const auto job = jobs->second.find(key);
  return job == jobs->second.end() ? nullptr : &job->second;
}

// An unknown time (0) is kept for as long as the shard is owned here: an agent
// stops to list the task when its worker is done with it.
void RecoveredJobs::DropExpired(int64_t now_ms) {
  for (auto& [shard, jobs] : m_shards) {
    std::erase_if(jobs, [now_ms](const auto& job) {
      const int64_t submitted_ms = job.second.submitted_ms;
      return submitted_ms != 0 &&
             now_ms > submitted_ms + kHorizonMs + 2 * kWallSkewMs;
    });
  }
}

}  // namespace egretswitch::internal
