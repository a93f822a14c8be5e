#include "job_intake.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "node_limits.h"
#include "past_knowledge.h"
#include "submission_check.h"

namespace egretswitch::internal {
namespace {

JobRefusal Conflict(RunVerdict verdict) {
  return JobRefusal{RefusalReason::kIdConflict, verdict, 0,
                    "the id is in use for a job with other content"};
}

}  // namespace

JobIntake::JobIntake(Kernel& kernel)
    : m_entry(kernel.Find<EntryRefs>("entry")),
      m_queue(kernel.Find<DispatchQueue>("queue")),
      m_picker(kernel.Find<AgentPicker>("picker")),
      m_store(kernel.Find<JobStore>("store")),
      m_shares(kernel.Find<OwnerShares>("shares")),
      m_admission(kernel.Find<Admission>("admission")),
      m_closer(kernel.Find<JobCloser>("closer")),
      m_dispatcher(kernel.Find<TaskDispatcher>("dispatch")) {
  kernel.Register("intake", this);
}

RunVerdict JobIntake::Past::Verdict() const {
  return VerdictIf(recovered || in_doubt || !known);
}

void JobIntake::AddWaiter(OwnedJob& job, std::string_view front) {
  if (front.empty()) {
    job.local_waits = true;
  } else {
    job.fronts.insert(std::string(front));
  }
}

JobIntake::Past JobIntake::PastOf(const Submission& submission,
                                  ShardId shard) const {
  Past past;
  past.recovered = m_entry.authority.FindRecovered(submission.key);
  const int64_t doubt_ms = m_entry.authority.DoubtMs(shard);
  past.in_doubt =
      doubt_ms > 0 && submission.submitted_ms <= doubt_ms + kWallSkewMs;
  past.known = KnowsPast(m_entry);
  return past;
}

std::optional<JobOutcome> JobIntake::Submit(std::string_view front,
                                            Submission submission,
                                            uint64_t digest) {
  const SubmissionKey& key = submission.key;
  const ShardId shard = ShardOf(key, m_entry.shard_count);
  const Past past = PastOf(submission, shard);
  if (const DoneJob* done = m_store.FindDone(key)) {
    if (done->digest != digest) {
      return Conflict(past.Verdict());
    }
    m_entry.context.counters().Add(Counter::kJobsJoined);
    return done->outcome;
  }
  if (OwnedJob* job = m_store.Find(key)) {
    if (job->digest != digest) {
      return Conflict(past.Verdict());
    }
    m_entry.context.counters().Add(Counter::kJobsJoined);
    AddWaiter(*job, front);
    return std::nullopt;
  }
  const uint32_t row = m_queue.RowOf(submission.kind);
  m_shares.Update();
  if (auto refusal = RefuseNew(submission, digest, past, row)) {
    return refusal;
  }
  m_entry.context.counters().Add(Counter::kJobsOwned);
  const bool fits = FitsSomeWorker(submission);
  m_queue.Advance(m_entry.context.now().mono, m_picker.total_slots());
  OwnedJob& job = m_store.Add(std::move(submission), digest, shard, row);
  if (auto outcome = Attach(job, past)) {
    return outcome;
  }
  AddWaiter(job, front);
  m_store.SetUnplaceable(job, !fits);
  return std::nullopt;
}

// A job with a past is never refused for want of room: a part of it may run,
// so it is taken on as it is.
std::optional<JobOutcome> JobIntake::RefuseNew(const Submission& submission,
                                               uint64_t digest,
                                               const Past& past,
                                               uint32_t row) {
  if (auto refusal =
          CheckSubmission(submission, m_entry.control,
                          m_entry.context.now().wall_ms, past.Verdict())) {
    return *refusal;
  }
  // An agent that has restarted doesn't know the digest of what it found.
  if (past.recovered && past.recovered->digest != 0 &&
      past.recovered->digest != digest) {
    return Conflict(past.Verdict());
  }
  if (past.recovered) {
    return std::nullopt;
  }
  if (past.in_doubt) {
    return JobRefusal{RefusalReason::kUnknownPast, RunVerdict::kMayHaveRun, 0,
                      "submitted before a change of owner that left doubt"};
  }
  if (!FitsSomeWorker(submission) && MembershipLearnt()) {
    return JobRefusal{RefusalReason::kNoWorkerFits, past.Verdict(), 0,
                      "no known worker can run a task of the job"};
  }
  if (auto refusal = m_admission.Check(submission, row)) {
    refusal->verdict = past.Verdict();
    return *refusal;
  }
  return std::nullopt;
}

// The design's table: tasks held by an agent are attached; the others are
// started, or when in doubt the whole job fails.
std::optional<JobOutcome> JobIntake::Attach(OwnedJob& job, const Past& past) {
  if (!past.recovered) {
    return std::nullopt;
  }
  job.past_unknown = true;
  std::map<AgentId, std::vector<uint32_t>> held;
  for (const auto& [index, agent] : past.recovered->agent_by_task) {
    if (index < job.tasks.size()) {
      held[m_picker.IdOf(agent)].push_back(index);
      std::erase(job.waiting, index);
    }
  }
  for (const auto& [agent, indexes] : held) {
    for (const uint32_t index : indexes) {
      const auto sent = past.recovered->sent_to.find(index);
      m_store.MarkSent(
          job, index, agent,
          sent == past.recovered->sent_to.end() ? 0 : sent->second);
    }
  }
  if (past.in_doubt && !job.waiting.empty()) {
    return m_closer.Fail(job, RefusalReason::kUnknownPast,
                         "submitted before a change of owner that left doubt");
  }
  for (const auto& [agent, indexes] : held) {
    m_dispatcher.Attach(job, agent, indexes);
  }
  return std::nullopt;
}

bool JobIntake::NeverRan(const Submission& submission, ShardId shard) {
  return !m_store.Find(submission.key) && !m_store.FindDone(submission.key) &&
         PastOf(submission, shard).Verdict() == RunVerdict::kNotRun;
}

bool JobIntake::MembershipLearnt() {
  const MonoTime now = m_entry.context.now().mono;
  if (now < m_started_at.value_or(now) + kMembershipLearning) {
    return false;
  }
  const auto& slots = m_entry.control.slots();
  return std::all_of(slots.begin(), slots.end(), [&](const auto& slot) {
    const KnownAgent* agent = m_entry.agents.Find(slot.first);
    return agent && agent->linked;
  });
}

bool JobIntake::FitsSomeWorker(const Submission& submission) const {
  const TaskNeeds* checked = nullptr;
  for (const TaskSpec& task : submission.tasks) {
    if (checked && *checked == task.needs) {
      continue;
    }
    if (!m_picker.AnyLinkedFits(task.needs)) {
      return false;
    }
    checked = &task.needs;
  }
  return true;
}

void JobIntake::RecheckUnplaceable() {
  if (!m_started_at) {
    m_started_at = m_entry.context.now().mono;
  }
  if (m_store.unplaceable().empty()) {
    return;
  }
  const bool learnt = MembershipLearnt();
  const std::set<uint64_t> serials = m_store.unplaceable();
  for (const uint64_t serial : serials) {
    OwnedJob& job = *m_store.FindBySerial(serial);
    if (FitsSomeWorker(job.submission)) {
      m_store.SetUnplaceable(job, false);
    } else if (learnt) {
      m_closer.Fail(job, RefusalReason::kNoWorkerFits,
                    "no known worker can run a task of the job");
    }
  }
}

}  // namespace egretswitch::internal
