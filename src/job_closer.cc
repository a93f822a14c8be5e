#include "job_closer.h"

#include <set>
#include <utility>

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

void JobCloser::Fail(OwnedJob& job,
                     RefusalReason reason,
                     std::string detail,
                     uint32_t retry_after_ms) {
  const RunVerdict verdict = job.Verdict();
  CancelSent(job);
  // What certainly never ran may be sent again and run; a cancelled job not.
  const bool remember =
      verdict == RunVerdict::kMayHaveRun || reason == RefusalReason::kCancelled;
  Close(job, JobRefusal{reason, verdict, retry_after_ms, std::move(detail)},
        remember);
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
