#include "job_closer.h"

#include <set>
#include <utility>

#include "past_knowledge.h"

namespace egretswitch::internal {

JobCloser::JobCloser(Kernel& kernel)
    : m_entry(kernel.Find<EntryRefs>("entry")),
      m_store(kernel.Find<JobStore>("store")),
      m_picker(kernel.Find<AgentPicker>("picker")) {
  kernel.Register("closer", this);
}

void JobCloser::Complete(OwnedJob& job) {
  Close(job, JobAnswer{std::move(job.outputs)}, true);
}

RunVerdict JobCloser::VerdictOf(const OwnedJob& job) const {
  return VerdictIf(job.MayHaveRun() || !KnowsPast(m_entry));
}

JobRefusal JobCloser::Fail(OwnedJob& job,
                           RefusalReason reason,
                           std::string detail,
                           uint32_t retry_after_ms) {
  const JobRefusal refusal{reason, VerdictOf(job), retry_after_ms,
                           std::move(detail)};
  CancelSent(job);
  // What never ran here may be sent again and run; a cancelled job not.
  const bool remember = job.MayHaveRun() || reason == RefusalReason::kCancelled;
  Close(job, refusal, remember);
  return refusal;
}

void JobCloser::CancelSent(const OwnedJob& job) {
  std::set<AgentId> agents;
  for (const OwnedTask& task : job.tasks) {
    if (task.phase == TaskPhase::kSent) {
      agents.insert(task.agent);
    }
  }
  const Epoch epoch = m_entry.authority.EpochOf(job.shard);
  for (const AgentId agent : agents) {
    m_entry.context.Send(m_picker.NameOf(agent),
                         CancelTasks{job.shard, epoch, job.submission.key});
  }
}

void JobCloser::Close(OwnedJob& job, const JobOutcome& outcome, bool remember) {
  const SubmissionKey key = job.submission.key;
  const uint64_t digest = job.digest;
  const bool local_waits = job.local_waits;
  const std::set<std::string> fronts = std::move(job.fronts);
  m_store.Close(job, outcome, remember);
  for (const std::string& front : fronts) {
    m_entry.context.Send(front, ForwardAnswer{key, digest, outcome});
  }
  if (local_waits && m_sink) {
    m_sink->OnOwnOutcome(key, digest, outcome);
  }
}

void JobCloser::HandOver(OwnedJob& job) {
  for (const std::string& front : job.fronts) {
    m_entry.context.Send(front, ForwardMoved{job.submission.key, job.digest});
  }
  m_store.Close(job, JobRefusal{}, false);
}

}  // namespace egretswitch::internal
