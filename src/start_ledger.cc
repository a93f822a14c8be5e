#include "start_ledger.h"

#include "node_limits.h"

namespace egretswitch::internal {
namespace {

TaskState StateOf(TaskStatus status) {
  switch (status) {
    case TaskStatus::kFinished:
      return TaskState::kFinished;
    case TaskStatus::kFailed:
      return TaskState::kFailed;
    default:
      return TaskState::kLost;
  }
}

TaskStatus StatusOf(const HeldTask& task) {
  switch (task.state) {
    case TaskState::kFinished:
      return task.payload_dropped ? TaskStatus::kResultExpired
                                  : TaskStatus::kFinished;
    case TaskState::kFailed:
      return TaskStatus::kFailed;
    default:
      return TaskStatus::kLost;
  }
}

Holding HoldingOf(ShardId shard, const SubmissionKey& key, const HeldJob& job) {
  Holding holding{.shard = shard,
                  .key = key,
                  .digest = job.digest,
                  .task_count = job.task_count,
                  .submitted_ms = job.submitted_ms,
                  .indexes = {}};
  for (const auto& [index, task] : job.tasks) {
    holding.indexes.push_back(index);
  }
  return holding;
}

}  // namespace

const HeldJob* StartLedger::Find(const SubmissionKey& key) const {
  const auto it = m_jobs.find(key);
  return it == m_jobs.end() ? nullptr : &it->second;
}

HeldTask* StartLedger::FindTask(const SubmissionKey& key, uint32_t index) {
  const auto job = m_jobs.find(key);
  if (job == m_jobs.end()) {
    return nullptr;
  }
  const auto task = job->second.tasks.find(index);
  return task == job->second.tasks.end() ? nullptr : &task->second;
}

void StartLedger::AddRunning(const StartTasks& request, uint32_t index) {
  HeldJob& job = m_jobs[request.key];
  if (!job.shard.has_value()) {
    job.shard = request.shard;
    job.digest = request.digest;
    job.task_count = request.task_count;
    job.submitted_ms = request.submitted_ms;
    job.deadline_ms = request.deadline_ms;
    m_jobs_by_submitted.emplace(job.submitted_ms, request.key);
    m_jobs_by_deadline.emplace(job.deadline_ms, request.key);
  }
  job.tasks.try_emplace(index);
}

void StartLedger::AddUnknown(const WorkerTask& task, int64_t memory_since_ms) {
  const auto [it, inserted] = m_jobs.try_emplace(task.key);
  if (inserted) {
    it->second.submitted_ms = memory_since_ms;
    m_jobs_by_submitted.emplace(memory_since_ms, task.key);
  }
  it->second.tasks[task.index].state = TaskState::kLost;
}

void StartLedger::Finish(const SubmissionKey& key,
                         uint32_t index,
                         const WorkerTaskEnded& ended) {
  HeldTask* task = FindTask(key, index);
  if (task == nullptr || task->state != TaskState::kRunning) {
    return;
  }
  task->state = StateOf(ended.status);
  task->run_ms = ended.run_ms;
  task->payload = ended.payload;
  if (!task->payload.empty()) {
    m_result_bytes += task->payload.size();
    m_outputs.emplace_back(key, index);
  }
}

void StartLedger::Forget(const SubmissionKey& key, uint32_t index) {
  const auto job = m_jobs.find(key);
  if (job == m_jobs.end()) {
    return;
  }
  job->second.tasks.erase(index);
  if (job->second.tasks.empty()) {
    m_jobs.erase(job);
  }
}

bool StartLedger::Remembers(int64_t submitted_ms, int64_t wall_ms) {
  return wall_ms <= submitted_ms + kHorizonMs + 2 * kWallSkewMs;
}

void StartLedger::Expire(int64_t wall_ms) {
  ExpireOutputs(wall_ms);
  while (!m_jobs_by_submitted.empty() &&
         !Remembers(m_jobs_by_submitted.begin()->first, wall_ms)) {
    const SubmissionKey key = m_jobs_by_submitted.begin()->second;
    m_jobs_by_submitted.erase(m_jobs_by_submitted.begin());
    const auto job = m_jobs.find(key);
    // The key may be held again by now, by a younger submission.
    if (job != m_jobs.end() && !Remembers(job->second.submitted_ms, wall_ms)) {
      DropPayloads(key);
      m_jobs.erase(job);
    }
  }
  ForgetDroppedOutputs();
}

void StartLedger::ExpireOutputs(int64_t wall_ms) {
  while (!m_jobs_by_deadline.empty() &&
         m_jobs_by_deadline.begin()->first + kWallSkewMs < wall_ms) {
    const SubmissionKey key = m_jobs_by_deadline.begin()->second;
    const int64_t deadline_ms = m_jobs_by_deadline.begin()->first;
    m_jobs_by_deadline.erase(m_jobs_by_deadline.begin());
    const HeldJob* job = Find(key);
    if (job != nullptr && job->deadline_ms <= deadline_ms) {
      DropPayloads(key);
    }
  }
}

void StartLedger::EnforceResultLimit() {
  while (m_result_bytes > m_result_bytes_limit && !m_outputs.empty()) {
    const TaskId oldest = m_outputs.front();
    m_outputs.pop_front();
    if (HeldTask* task = FindTask(oldest.first, oldest.second)) {
      DropPayload(*task);
    }
  }
}

// Outputs dropped by their deadlines leave names behind in m_outputs.
void StartLedger::ForgetDroppedOutputs() {
  while (!m_outputs.empty()) {
    const HeldTask* task =
        FindTask(m_outputs.front().first, m_outputs.front().second);
    if (task != nullptr && !task->payload.empty()) {
      return;
    }
    m_outputs.pop_front();
  }
}

void StartLedger::DropPayload(HeldTask& task) {
  if (task.payload.empty()) {
    return;
  }
  m_result_bytes -= task.payload.size();
  task.payload = std::string();
  task.payload_dropped = true;
}

void StartLedger::DropPayloads(const SubmissionKey& key) {
  for (auto& [index, task] : m_jobs.at(key).tasks) {
    DropPayload(task);
  }
}

std::vector<Holding> StartLedger::HoldingsOf(
    absl::Span<const ShardEpoch> shards) const {
  std::vector<Holding> holdings;
  for (const auto& [key, job] : m_jobs) {
    for (const ShardEpoch& asked : shards) {
      // A job of a former process may belong to any shard: each is told.
      if (job.shard.value_or(asked.shard) == asked.shard) {
        holdings.push_back(HoldingOf(asked.shard, key, job));
      }
    }
  }
  return holdings;
}

bool StartLedger::HasUndelivered(int64_t wall_ms) const {
  for (const auto& [key, job] : m_jobs) {
    if (job.deadline_ms + kWallSkewMs < wall_ms) {
      continue;
    }
    for (const auto& [index, task] : job.tasks) {
      if (task.state != TaskState::kRunning && !task.delivered) {
        return true;
      }
    }
  }
  return false;
}

size_t StartLedger::size() const {
  size_t tasks = 0;
  for (const auto& [key, job] : m_jobs) {
    tasks += job.tasks.size();
  }
  return tasks;
}

TaskReport ReportOf(const SubmissionKey& key,
                    uint32_t index,
                    const HeldTask& task) {
  return {.key = key,
          .index = index,
          .status = StatusOf(task),
          .payload = task.payload,
          .run_ms = task.run_ms};
}

}  // namespace egretswitch::internal
