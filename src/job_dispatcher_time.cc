// The periodic checks of an entry: ends runs on lost agents, refuses jobs that
// would miss their latency objective and moves stragglers to other workers.
//
//   10 ms  job 5c0e arrives behind 300 ms of queued work   -> refused as busy
//   90 ms  task 5c0e/0/3 took twice as long as its siblings -> stopped, to move
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "duration_text.h"
#include "job_dispatcher.h"
#include "run_limits.h"
#include "task_needs.h"
#include "worker_subset.h"

namespace egretswitch::internal {
namespace {

// Evacuations last for seconds or longer, so an earlier retry would be refused
// again.
constexpr absl::Duration kEvacuationRetryDelay = absl::Seconds(1);

}  // namespace

void JobDispatcher::On(const TimePassed&) {
  if (m_now.mono < m_next_check) {
    return;
  }
  m_next_check = m_now.mono + kCheckPeriod;
  m_pool.DropUnlinked(m_now.mono);
  UpdateWorkerSubset();
  LogRunTimes();
  SendDueRenewals();
  RedialUnresponsiveAgent();
  RequeueRunsOfLostAgents();
  RecordRunsOfEndedAttempts();
  RefuseEvacuatedJobs();
  RefuseLateJobs();
  EndOverdueJobs();
  if (m_policy.move_stragglers) {
    for (auto& [id, job] : m_jobs) {
      MoveStragglers(*job);
    }
  }
}

void JobDispatcher::UpdateWorkerSubset() {
  if (!m_policy.worker_reach) {
    SelectAllWorkers(m_pool);
    return;
  }
  OpenWork in_hand;
  for (const auto& [id, job] : m_jobs) {
    double& millicores = in_hand[job->queue.service];
    for (const OpenTask& task : job->tasks) {
      if (task.state != OpenTask::State::kDone) {
        millicores += job->StepOf(task).needs.millicores;
      }
    }
  }
  SelectSubset(m_pool, in_hand, m_now.mono);
  RequestFittingWorkers();
}

// A task may fit only a few workers, of which none may be linked. Requests more
// workers for each service whose largest waiting task fits no linked worker.
void JobDispatcher::RequestFittingWorkers() {
  std::map<std::string, TaskNeeds> largest;
  m_waiting.ForEach([&largest](const OpenJob& job) {
    TaskNeeds& service_largest = largest[job.queue.service];
    for (const JobStep& step : job.job.steps) {
      service_largest = ElementwiseMax(service_largest, step.needs);
    }
  });
  for (const auto& [service, needs] : largest) {
    if (!m_pool.CouldFit(service, needs, m_now.mono)) {
      m_pool.MarkSubsetInsufficient(service);
    }
  }
}

std::vector<RunRenewals::Due> JobDispatcher::TakeDueRenewals() {
  std::map<std::string, std::vector<CapacityRequest>> demands =
      m_waiting.Demands();
  if (!m_policy.urgent_entries_first) {
    for (auto& [service, wanted] : demands) {
      for (CapacityRequest& demand : wanted) {
        demand.urgency = 0;
      }
    }
  }
  return m_renewals.TakeDue(m_pool, demands, m_now.mono);
}

// A connection that loses all bytes looks like a slow agent, and TCP needs
// seconds to detect it. Each check redials one agent at most, so that many
// links that fail together are not all dialled at once.
void JobDispatcher::RedialUnresponsiveAgent() {
  const PooledWorker* worker = m_pool.TakeUnresponsive(m_now.mono);
  if (worker == nullptr) {
    return;
  }
  m_counters.Add(RunCounter::kLinksDialledAgain);
  Log("link unresponsive",
      {{"peer", worker->agent},
       {"unanswered_ms", absl::StrCat(absl::ToInt64Milliseconds(
                             m_now.mono - worker->unanswered_since))}});
  m_actions.push_back(RedialPeer{worker->agent, worker->incarnation});
}

// Requeues runs whose agent is unresponsive or was replaced by another process.
// Such runs have certainly ended kRunCertainlyOver after the last message that
// this entry can have sent to that incarnation of the agent, unless the agent
// has reported that the worker's lease may last longer, or the worker may have
// restarted and carry out what its former incarnation was sent.
void JobDispatcher::RequeueRunsOfLostAgents() {
  if (!m_pool.AnyRunsUncertain(m_now.mono)) {
    return;
  }
  for (auto& [id, job] : m_jobs) {
    for (OpenTask& task : job->tasks) {
      if (!task.IsAtAgent()) {
        continue;
      }
      const PooledWorker& worker = m_pool.Get(task.agent);
      const bool replaced = worker.incarnation != task.agent_incarnation;
      const MonoTime last_message_at =
          replaced ? std::max(task.sent_at, worker.replaced_at)
                   : worker.last_sent;
      const bool lost = replaced || worker.Suspect(m_now.mono);
      if (lost && m_now.mono > worker.RunsOverAt(task.agent_incarnation,
                                                 last_message_at)) {
        LogCountedAsOver(*job, task, replaced, last_message_at);
        Requeue(*job, task, RunCounter::kRetriesAgentLost);
      }
    }
  }
}

void JobDispatcher::LogCountedAsOver(const OpenJob& job,
                                     const OpenTask& task,
                                     bool agent_replaced,
                                     MonoTime last_message_at) {
  Log("run counted as over",
      {{"job", job.job.id},
       {"task", absl::StrCat(task.step, "/", task.index)},
       {"run", absl::StrCat(task.run)},
       {"attempt", absl::StrCat(job.order)},
       {"agent", task.agent},
       {"known_by", agent_replaced ? "agent_replaced" : "agent_silent"},
       {"sent_ms", MillisecondsText(m_now.mono - task.sent_at)},
       {"last_message_ms", MillisecondsText(m_now.mono - last_message_at)}});
}

bool JobDispatcher::IsLate(const OpenJob& job, absl::Duration wait) const {
  struct Visitor {
    const OpenJob& job;
    absl::Duration wait;
    MonoTime now;
    bool operator()(const RefuseByPredictedEnd&) const {
      return WouldBeLate(job, wait, now);
    }
    bool operator()(const RefuseAfterShare& rule) const {
      return now - job.arrived_at - job.held > rule.share * job.Objective();
    }
  };
  return std::visit(Visitor{job, wait, m_now.mono}, m_policy.refusal);
}

// A job that will miss its objective and has not started only takes capacity
// from the jobs behind it. It is refused at once, so that its caller can try
// another entry.
void JobDispatcher::RefuseLateJobs() {
  if (m_attempts.AwaitsList(m_now.mono)) {
    return;
  }
  std::vector<std::pair<std::string, JobAnswer>> refused;
  StartForecast::Pass pass = m_forecast.BeginPass(m_now.mono);
  m_waiting.ForEach([&](OpenJob& job) {
    const absl::Duration wait = pass.PredictedWait(job);
    if (!m_knows_cancelled_jobs) {
      Hold(job, RunCounter::kJobsHeldForCancels);
    } else if (CheckAwaitsFormerAttempt(job)) {
      Hold(job, RunCounter::kJobsHeldForAttempt);
    } else if (MustAwaitFirstWorker(job)) {
      Hold(job, RunCounter::kJobsHeldForWorker);
    } else if (job.possibly_started == 0 && IsLate(job, wait)) {
      pass.Drop(job);
      const bool no_worker_yet =
          !m_first_workers.HaveBeenSeen(job.queue.service);
      m_counters.Add(no_worker_yet ? RunCounter::kJobsRefusedNoWorkerYet
                                   : RunCounter::kJobsRefusedBusy);
      refused.push_back({job.job.id,
                         {JobVerdict::kNotRun,
                          no_worker_yet ? "no worker linked yet" : "busy",
                          RetryAfter(wait)}});
    }
  });
  m_forecast.EndPass(pass);
  for (auto& [id, answer] : refused) {
    Finish(id, std::move(answer));
  }
}

// The time that a job was held doesn't count against its objective: the first
// workers serve those that waited for them.
void JobDispatcher::Hold(OpenJob& job, RunCounter reason) {
  if (job.held == absl::ZeroDuration() && m_now.mono > job.arrived_at) {
    m_counters.Add(reason);
  }
  job.held = m_now.mono - job.arrived_at;
}

bool JobDispatcher::MustAwaitFirstWorker(const OpenJob& job) const {
  return m_policy.await_first_workers &&
         m_first_workers.MayStillCome(job.queue.service, m_now.mono);
}

// While every worker of a service is evacuated, no entry can predict when there
// will be capacity again, so the jobs are refused instead of queued.
void JobDispatcher::RefuseEvacuatedJobs() {
  if (m_pool.evacuations().data_centres.empty()) {
    return;
  }
  std::vector<std::string> refused;
  m_waiting.ForEach([&](const OpenJob& job) {
    if (job.possibly_started == 0 && m_pool.AllEvacuated(job.queue.service)) {
      refused.push_back(job.job.id);
    }
  });
  for (const std::string& id : refused) {
    m_counters.Add(RunCounter::kJobsRefusedEvacuated);
    Finish(id, {JobVerdict::kNotRun, "evacuated",
                RetryAfter(kEvacuationRetryDelay)});
  }
}

void JobDispatcher::EndOverdueJobs() {
  std::vector<std::pair<std::string, JobAnswer>> ended;
  for (auto& [id, job] : m_jobs) {
    if (m_now.mono < job->expires_at) {
      continue;
    }
    m_counters.Add(job->possibly_started > 0 ? RunCounter::kJobsTimedOut
                                             : RunCounter::kJobsRefusedBusy);
    ended.push_back({id, AbandonedAnswer(*job, "timeout")});
  }
  for (auto& [id, answer] : ended) {
    Finish(id, std::move(answer));
  }
}

}  // namespace egretswitch::internal
