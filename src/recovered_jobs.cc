#include "recovered_jobs.h"

#include <algorithm>
#include <set>
#include <string>

#include "absl/container/flat_hash_map.h"

#include "node_limits.h"
#include "shard_release.h"

namespace egretswitch::internal {
namespace {

// Adds the tasks that `released` doesn't list.
void AddMissing(const RecoveredJob& job, ReleasedJob* released) {
  std::set<uint32_t> listed;
  for (const StartedTasks& tasks : released->started) {
    listed.insert(tasks.indexes.begin(), tasks.indexes.end());
  }
  for (const auto& [index, agent] : job.agent_by_task) {
    if (!listed.contains(index)) {
      const auto sent = job.sent_to.find(index);
      const uint64_t incarnation = sent == job.sent_to.end() ? 0 : sent->second;
      AddStarted(agent, incarnation, index, &released->started);
    }
  }
}

}  // namespace

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
    const auto [task, added] = job.agent_by_task.emplace(index, agent);
    if (!added && job.sent_to.erase(index) > 0) {
      task->second = agent;  // until now it was only known as sent
    }
  }
}

void RecoveredJobs::Merge(const ReleasedJob& released) {
  RecoveredJob& job = m_shards[released.shard][released.key];
  if (job.digest == 0) {
    job.digest = released.digest;
  }
  job.task_count = std::max(job.task_count, released.task_count);
  job.submitted_ms = std::max(job.submitted_ms, released.submitted_ms);
  for (const StartedTasks& tasks : released.started) {
    for (const uint32_t index : tasks.indexes) {
      const bool added = job.agent_by_task.emplace(index, tasks.agent).second;
      if (added && tasks.incarnation != 0) {
        job.sent_to.emplace(index, tasks.incarnation);
      }
    }
  }
}

void RecoveredJobs::Complete(ShardId shard,
                             std::vector<ReleasedJob>* jobs) const {
  const auto own = m_shards.find(shard);
  if (own == m_shards.end()) {
    return;
  }
  absl::flat_hash_map<SubmissionKey, size_t> place;
  for (size_t at = 0; at < jobs->size(); ++at) {
    place.emplace((*jobs)[at].key, at);
  }
  for (const auto& [key, job] : own->second) {
    const auto it = place.find(key);
    if (it == place.end()) {
      jobs->push_back(
          {shard, 0, key, job.digest, job.task_count, job.submitted_ms, {}});
    }
    AddMissing(job, it == place.end() ? &jobs->back() : &(*jobs)[it->second]);
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
