#include "job_store.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "node_limits.h"

namespace egretswitch::internal {
namespace {

bool NeedsAreUniform(const Submission& submission) {
  const TaskNeeds& first = submission.tasks.front().needs;
  return std::all_of(submission.tasks.begin(), submission.tasks.end(),
                     [&](const TaskSpec& task) { return task.needs == first; });
}

uint64_t PayloadBytes(const Submission& submission) {
  return std::accumulate(submission.tasks.begin(), submission.tasks.end(),
                         uint64_t{0}, [](uint64_t sum, const TaskSpec& task) {
                           return sum + task.payload.size();
                         });
}

uint32_t MeanDeclaredMs(const Submission& submission) {
  uint64_t sum = 0;
  for (const TaskSpec& task : submission.tasks) {
    sum += task.declared_ms;
  }
  return static_cast<uint32_t>(sum / submission.tasks.size());
}

size_t OutputBytes(const JobOutcome& outcome) {
  const auto* answer = std::get_if<JobAnswer>(&outcome);
  if (!answer) {
    return 0;
  }
  size_t bytes = 0;
  for (const TaskOutput& output : answer->outputs) {
    bytes += output.payload.size();
  }
  return bytes;
}

// A bounced task waits again; every other one was sent.
std::vector<StartedAt> StartedOf(const OwnedJob& job) {
  std::vector<StartedAt> started;
  for (uint32_t index = 0; index < job.tasks.size(); ++index) {
    const OwnedTask& task = job.tasks[index];
    if (task.phase == TaskPhase::kWaiting) {
      continue;
    }
    auto it = std::find_if(started.begin(), started.end(), [&](const auto& at) {
      return at.agent == task.agent && at.incarnation == task.incarnation;
    });
    if (it == started.end()) {
      it = started.insert(it, {task.agent, task.incarnation, {}});
    }
    it->indexes.push_back(index);
  }
  return started;
}

}  // namespace

JobStore::JobStore(Kernel& kernel)
    : m_queue(kernel.Find<DispatchQueue>("queue")),
      m_picker(kernel.Find<AgentPicker>("picker")) {
  kernel.Register("store", this);
}

OwnedJob* JobStore::Find(const SubmissionKey& key) {
  const auto it = m_open_by_key.find(key);
  return it == m_open_by_key.end() ? nullptr : FindBySerial(it->second);
}

OwnedJob* JobStore::FindBySerial(uint64_t serial) {
  const auto it = m_open.find(serial);
  return it == m_open.end() ? nullptr : it->second.get();
}

const DoneJob* JobStore::FindDone(const SubmissionKey& key) const {
  const auto it = m_done.find(key);
  return it == m_done.end() ? nullptr : &it->second;
}

OwnedJob& JobStore::Add(Submission submission,
                        uint64_t digest,
                        ShardId shard,
                        uint32_t row) {
  auto job = std::make_unique<OwnedJob>();
  job->serial = m_next_serial++;
  job->digest = digest;
  job->shard = shard;
  job->row = row;
  job->uniform_needs = NeedsAreUniform(submission);
  job->payload_bytes = PayloadBytes(submission);
  job->mean_declared_ms = MeanDeclaredMs(submission);
  job->ageing_at_entry = m_queue.ageing_clock();
  const size_t count = submission.tasks.size();
  job->tasks.resize(count);
  job->outputs.resize(count);
  job->waiting.resize(count);
  std::iota(job->waiting.rbegin(), job->waiting.rend(), 0);
  job->submission = std::move(submission);

  m_payload_bytes += job->payload_bytes;
  m_open_by_key[job->submission.key] = job->serial;
  m_deadlines.insert({job->submission.deadline_ms, job->serial});
  OwnedJob& added = *job;
  m_open[added.serial] = std::move(job);
  return added;
}

void JobStore::Close(OwnedJob& job, const JobOutcome& outcome, bool remember) {
  m_queue.Remove(job);
  for (uint32_t index = 0; index < job.tasks.size(); ++index) {
    if (job.tasks[index].phase == TaskPhase::kSent) {
      Unsend(job, index);
    }
  }
  if (remember) {
    Remember(job, outcome);
  }
  m_payload_bytes -= job.payload_bytes;
  m_deadlines.erase({job.submission.deadline_ms, job.serial});
  m_unplaceable.erase(job.serial);
  m_open_by_key.erase(job.submission.key);
  m_open.erase(job.serial);
}

void JobStore::Remember(const OwnedJob& job, const JobOutcome& outcome) {
  const Submission& submission = job.submission;
  DoneJob done;
  done.digest = job.digest;
  done.shard = job.shard;
  done.task_count = static_cast<uint32_t>(job.tasks.size());
  done.submitted_ms = submission.submitted_ms;
  done.started = StartedOf(job);
  done.outcome = outcome;
  done.output_bytes = OutputBytes(outcome);
  done.outputs_until_ms = submission.deadline_ms + kWallSkewMs;
  // Beyond this every entry refuses the submission as too old.
  done.forget_at_ms = submission.submitted_ms + kHorizonMs + 2 * kWallSkewMs;
  m_output_bytes += done.output_bytes;
  const bool has_outputs = std::holds_alternative<JobAnswer>(outcome);
  m_expiry.emplace(has_outputs ? done.outputs_until_ms : done.forget_at_ms,
                   submission.key);
  if (has_outputs) {
    m_with_outputs.push_back(submission.key);
  }
  m_done[submission.key] = std::move(done);
  EnforceOutputLimit();
}

void JobStore::DropOutputs(DoneJob& done) {
  if (!std::holds_alternative<JobAnswer>(done.outcome)) {
    return;
  }
  m_output_bytes -= done.output_bytes;
  done.output_bytes = 0;
  done.outcome =
      JobRefusal{RefusalReason::kAnswerExpired, RunVerdict::kMayHaveRun, 0,
                 "completed, but the answer is no longer held"};
}

void JobStore::EnforceOutputLimit() {
  while (m_output_bytes > kMostOutputBytes && !m_with_outputs.empty()) {
    const auto it = m_done.find(m_with_outputs.front());
    if (it != m_done.end()) {
      DropOutputs(it->second);
    }
    m_with_outputs.pop_front();
  }
}

void JobStore::Expire(int64_t wall_ms) {
  while (!m_expiry.empty() && m_expiry.begin()->first <= wall_ms) {
    const SubmissionKey key = std::move(m_expiry.begin()->second);
    m_expiry.erase(m_expiry.begin());
    const auto it = m_done.find(key);
    if (it == m_done.end()) {
      continue;
    }
    if (it->second.outputs_until_ms <= wall_ms) {
      DropOutputs(it->second);
    }
    if (it->second.forget_at_ms <= wall_ms) {
      m_done.erase(it);
    } else {
      m_expiry.emplace(it->second.forget_at_ms, key);
    }
  }
  while (!m_with_outputs.empty()) {
    const DoneJob* done = FindDone(m_with_outputs.front());
    if (done && std::holds_alternative<JobAnswer>(done->outcome)) {
      break;
    }
    m_with_outputs.pop_front();
  }
}

std::vector<ReleasedJob> JobStore::StartedJobs(ShardId shard) const {
  std::vector<ReleasedJob> jobs;
  const auto add = [&](const SubmissionKey& key, uint64_t digest, size_t count,
                       int64_t submitted_ms,
                       const std::vector<StartedAt>& started) {
    if (started.empty()) {
      return;
    }
    ReleasedJob& job = jobs.emplace_back();
    job.shard = shard;
    job.key = key;
    job.digest = digest;
    job.task_count = static_cast<uint32_t>(count);
    job.submitted_ms = submitted_ms;
    for (const StartedAt& at : started) {
      job.started.push_back(
          {m_picker.NameOf(at.agent), at.incarnation, at.indexes});
    }
  };
  for (const auto& [serial, job] : m_open) {
    if (job->shard == shard) {
      add(job->submission.key, job->digest, job->tasks.size(),
          job->submission.submitted_ms, StartedOf(*job));
    }
  }
  for (const auto& [key, done] : m_done) {
    if (done.shard == shard) {
      add(key, done.digest, done.task_count, done.submitted_ms, done.started);
    }
  }
  return jobs;
}

void JobStore::ForgetDone(ShardId shard) {
  absl::erase_if(m_done, [&](auto& item) {
    DoneJob& done = item.second;
    if (done.shard != shard) {
      return false;
    }
    m_output_bytes -= done.output_bytes;
    return true;
  });
}

void JobStore::MarkSent(OwnedJob& job,
                        uint32_t index,
                        AgentId agent,
                        uint64_t incarnation) {
  job.tasks[index] = {TaskPhase::kSent, agent, incarnation};
  ++job.sent;
  ++m_sent_to[agent][job.serial];
  ++m_queue.row(job.row).running;
  ++m_running;
  m_picker.AddRunning(agent, 1);
}

void JobStore::Unsend(OwnedJob& job, uint32_t index) {
  const AgentId agent = job.tasks[index].agent;
  auto& jobs = m_sent_to[agent];
  const auto it = jobs.find(job.serial);
  if (--it->second == 0) {
    jobs.erase(it);
  }
  --job.sent;
  --m_queue.row(job.row).running;
  --m_running;
  m_picker.AddRunning(agent, -1);
}

void JobStore::MarkBounced(OwnedJob& job, uint32_t index) {
  Unsend(job, index);
  job.tasks[index] = OwnedTask{};
}

void JobStore::MarkFinished(OwnedJob& job, uint32_t index, std::string output) {
  Unsend(job, index);
  job.tasks[index].phase = TaskPhase::kFinished;
  job.outputs[index].payload = std::move(output);
  ++job.finished;
}

void JobStore::SetUnplaceable(OwnedJob& job, bool unplaceable) {
  job.unplaceable = unplaceable;
  if (unplaceable) {
    m_unplaceable.insert(job.serial);
  } else {
    m_unplaceable.erase(job.serial);
  }
  m_queue.Put(job);
}

std::vector<OwnedJob*> JobStore::JobsAt(AgentId agent) {
  std::vector<OwnedJob*> jobs;
  const auto it = m_sent_to.find(agent);
  if (it != m_sent_to.end()) {
    for (const auto& [serial, count] : it->second) {
      jobs.push_back(FindBySerial(serial));
    }
  }
  return jobs;
}

std::vector<OwnedJob*> JobStore::DueJobs(int64_t wall_ms) {
  std::vector<OwnedJob*> due;
  for (const Due& entry : m_deadlines) {
    if (entry.at_ms > wall_ms) {
      break;
    }
    due.push_back(FindBySerial(entry.serial));
  }
  return due;
}

}  // namespace egretswitch::internal
