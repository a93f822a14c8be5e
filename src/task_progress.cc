#include "task_progress.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "restart_policy.h"

namespace egretswitch::internal {
namespace {

std::string Describe(const char* what, const TaskReport& report) {
  return "task " + std::to_string(report.index) + ": " + what +
         (report.payload.empty() ? "" : ": " + report.payload);
}

}  // namespace

TaskProgress::TaskProgress(Kernel& kernel)
    : m_entry(kernel.Find<EntryRefs>("entry")),
      m_queue(kernel.Find<DispatchQueue>("queue")),
      m_picker(kernel.Find<AgentPicker>("picker")),
      m_store(kernel.Find<JobStore>("store")),
      m_shares(kernel.Find<OwnerShares>("shares")),
      m_wants(kernel.Find<SlotWants>("wants")),
      m_closer(kernel.Find<JobCloser>("closer")),
      m_dispatcher(kernel.Find<TaskDispatcher>("dispatch")) {
  kernel.Register("progress", this);
}

void TaskProgress::OnReports(std::string_view name,
                             const TaskReports& reports) {
  const AgentId agent = m_picker.IdOf(name);
  bool full = false;
  for (const TaskReport& report : reports.reports) {
    OnReport(agent, report);
    full = full || report.status == TaskStatus::kFull;
  }
  TakeStatus(agent);
  if (full) {
    // Free slots without room for the task: wait for other news.
    m_picker.SetFull(agent);
  }
}

void TaskProgress::OnStatus(std::string_view agent) {
  TakeStatus(m_picker.IdOf(agent));
}

void TaskProgress::TakeStatus(AgentId agent) {
  m_picker.OnStatus(agent);
  if (const KnownAgent* known = m_picker.Known(agent)) {
    m_wants.OnOffered(agent, known->offered);
  }
}

void TaskProgress::OnReport(AgentId agent, const TaskReport& report) {
  OwnedJob* job = m_store.Find(report.key);
  if (!job || report.index >= job->tasks.size()) {
    return;
  }
  const OwnedTask& task = job->tasks[report.index];
  if (task.phase != TaskPhase::kSent || task.agent != agent) {
    return;  // late: the task is elsewhere or done
  }
  const KnownAgent* known = m_picker.Known(agent);
  const bool same = known && known->hello.incarnation == task.incarnation;
  switch (VerdictOf(report.status, same)) {
    case RestartVerdict::kResult:
      OnResult(*job, agent, report);
      return;
    case RestartVerdict::kSendElsewhere:
      if (report.status == TaskStatus::kRefusedByWorker) {
        JudgeWorker(agent, false);
      }
      Bounce(*job, report, false);
      return;
    case RestartVerdict::kSendAgainFree:
      Bounce(*job, report, true);
      return;
    case RestartVerdict::kHoldForNewOwner:
      // Another owner may be running it for somebody else already.
      job->fenced = true;
      job->past_unknown = true;
      Bounce(*job, report, true);
      return;
    case RestartVerdict::kJobFailed:
      JudgeWorker(agent, false);
      m_closer.Fail(*job, RefusalReason::kTaskFailed,
                    Describe("failed", report));
      return;
    case RestartVerdict::kJobLost:
      if (report.status == TaskStatus::kLost) {
        JudgeWorker(agent, false);
      }
      m_closer.Fail(*job, RefusalReason::kWorkerLost,
                    Describe("its worker was lost", report));
      return;
    case RestartVerdict::kAnswerGone:
      m_closer.Fail(*job, RefusalReason::kAnswerExpired,
                    Describe("its output is no longer held", report));
      return;
    case RestartVerdict::kConflictingJob:
      m_store.MarkBounced(*job, report.index);
      m_closer.Fail(*job, RefusalReason::kIdConflict,
                    Describe("the id is held with other content", report));
      return;
  }
}

void TaskProgress::OnResult(OwnedJob& job,
                            AgentId agent,
                            const TaskReport& report) {
  m_entry.context.counters().Add(Counter::kTaskResults);
  JudgeWorker(agent, true);
  QueueRow& row = m_queue.row(job.row);
  row.estimate.Learn(report.run_ms);
  m_retries.OnResults(row.kind, 1, m_shares.RetryPercent(job.row));
  m_store.MarkFinished(job, report.index, report.payload);
  if (job.finished == job.tasks.size()) {
    m_closer.Complete(job);
  }
}

bool TaskProgress::TakeRetry(const OwnedJob& job) {
  return m_retries.TryTake(m_queue.row(job.row).kind,
                           m_entry.context.now().mono);
}

// The task goes back to the front of its job. Without a budget it waits aside
// until its row has earned one: a storm of refusals must not feed itself.
void TaskProgress::Bounce(OwnedJob& job, const TaskReport& report, bool free) {
  Counters& counters = m_entry.context.counters();
  counters.Add(RetryCounterOf(report.status));
  m_store.MarkBounced(job, report.index);
  if (free || TakeRetry(job)) {
    job.waiting.push_back(report.index);
  } else {
    counters.Add(Counter::kRetryBudgetExhausted);
    job.delayed.push_back(report.index);
    m_delayed.insert(job.serial);
  }
  m_queue.Put(job);
}

void TaskProgress::JudgeWorker(AgentId agent, bool ok) {
  const MonoTime now = m_entry.context.now().mono;
  if (!m_health.OnOutcome(agent, ok, m_picker.linked(), now)) {
    return;
  }
  m_picker.SetEjected(agent, true);
  m_entry.context.counters().Add(Counter::kWorkersEjected);
  m_entry.context.Do(
      NoteStateChange{"worker ejected", {{"agent", m_picker.NameOf(agent)}}});
}

// What was sent on the former link is unknown: the agent tells what it holds.
void TaskProgress::OnLinkUp(const Hello& hello) {
  const AgentId agent = m_picker.IdOf(hello.name);
  m_wants.OnLinkLost(agent);
  m_picker.OnStatus(agent);
  for (const OwnedJob* job : m_store.JobsAt(agent)) {
    std::vector<uint32_t> sent;
    for (uint32_t index = 0; index < job->tasks.size(); ++index) {
      const OwnedTask& task = job->tasks[index];
      if (task.phase == TaskPhase::kSent && task.agent == agent) {
        sent.push_back(index);
      }
    }
    m_dispatcher.Attach(*job, agent, sent);
  }
}

void TaskProgress::OnLinkDown(std::string_view name) {
  const AgentId agent = m_picker.IdOf(name);
  m_wants.OnLinkLost(agent);
  m_picker.OnStatus(agent);
}

void TaskProgress::OnRefused(std::string_view name) {
  const KnownAgent* known = m_entry.agents.Find(name);
  if (known && known->linked) {
    return;  // a late refusal: a newer process has a link
  }
  for (OwnedJob* job : m_store.JobsAt(m_picker.IdOf(name))) {
    m_closer.Fail(*job, RefusalReason::kWorkerLost,
                  "the agent " + std::string(name) + " has ended");
  }
}

void TaskProgress::OnTick() {
  for (const AgentId agent :
       m_health.TakeReleased(m_entry.context.now().mono)) {
    m_picker.SetEjected(agent, false);
    m_entry.context.Do(NoteStateChange{"worker back from probation",
                                       {{"agent", m_picker.NameOf(agent)}}});
  }
  const std::set<uint64_t> serials = m_delayed;
  for (const uint64_t serial : serials) {
    OwnedJob* job = m_store.FindBySerial(serial);
    while (job && !job->delayed.empty() && TakeRetry(*job)) {
      job->waiting.push_back(job->delayed.back());
      job->delayed.pop_back();
      m_queue.Put(*job);
    }
    if (!job || job->delayed.empty()) {
      m_delayed.erase(serial);
    }
  }
}

}  // namespace egretswitch::internal
