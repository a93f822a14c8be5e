// Handles the messages of agents: links that come up and go down, the free
// capacity of workers, and the outcome of each run.
//
//   RunReports{5c0e/0/0 kDone}    -> the last one answers the job
//   RunReports{5c0e/0/1 kNoCapacity}  -> the task is queued again
#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "job_dispatcher.h"
#include "run_ends.h"

namespace egretswitch::internal {
namespace {

// Added to a task's run number after a worker reports that it has seen the
// number before: far more runs than an earlier attempt can have used.
constexpr RunNumber kRunNumberJump = 16;

// Delay before a task is placed again after the same agent refused for the
// second time to run it beside a suspect task: no other worker is available.
constexpr absl::Duration kSuspectRetryDelay = absl::Milliseconds(20);

}  // namespace

// "agent-1 worker_crashed 650 ms ago beside 5 others,agent-7 ..."
std::string JobDispatcher::LossesText(
    const std::vector<LostRun>& lost_runs) const {
  const std::set<std::string> agents = AgentsOf(lost_runs);
  return absl::StrJoin(
      lost_runs, ",", [&](std::string* text, const LostRun& run) {
        absl::StrAppend(
            text, run.agent, " ", std::string(RunLossName(run.loss)), " ",
            absl::ToInt64Milliseconds(m_now.mono - run.reported_at),
            " ms ago beside ",
            m_worker_losses.LostAround(run.reported_at, agents), " others");
      });
}

void JobDispatcher::On(const PeerConnected& event) {
  const PooledWorker* former = m_pool.Find(event.name);
  const bool linked_before =
      former != nullptr && former->incarnation == event.incarnation;
  if (former != nullptr && !linked_before) {
    for (const AbandonedRuns::Attempt& left : former->abandoned.attempts()) {
      LogOver(event.name, left, "agent_replaced");
    }
  }
  PooledWorker& worker = m_pool.LinkUp(event.name, event.incarnation,
                                       event.data_centre, m_now.mono);
  worker.evacuations_sent = 0;
  if (m_pool.evacuations().IsLoaded()) {
    SendEvacuations(worker);
  }
  if (linked_before && m_callers_checked) {
    RequestEarlierRuns(worker);
  } else if (linked_before) {
    m_agents_to_renew.insert(event.name);
  }
}

// Starts and reports in flight on the previous link are lost, so the agent is
// asked to report on every run that was sent to it. Orders to stop are lost as
// well, so the renewal goes out also when no run is wanted.
void JobDispatcher::RequestEarlierRuns(PooledWorker& worker) {
  RenewRuns renewal;
  AgentOrders orders;
  for (const auto& [id, job] : m_jobs) {
    for (const OpenTask& task : job->tasks) {
      if (task.IsAtAgent() && task.agent == worker.agent &&
          task.agent_incarnation == worker.incarnation) {
        renewal.ordered_before.push_back(
            {{id, task.step, task.index}, task.run, job->order});
        orders.Add(*job, task);
      }
    }
  }
  if (worker.HoldsRuns()) {
    worker.RecordRenewal(m_now.mono);
  }
  SendRenewal(worker, std::move(renewal), std::move(orders));
}

// Agents get the state too, so that they refuse starts of entries that have not
// received it yet. A state that differs only in its offset, as after each new
// configuration, is sent only to agents whose reports show an older one.
void JobDispatcher::On(const EvacuationsChanged& event) {
  const bool changed =
      event.state.data_centres != m_pool.evacuations().data_centres;
  m_pool.SetEvacuations(event.state);
  for (auto& [name, worker] : m_pool.workers()) {
    if (changed && worker.linked) {
      SendEvacuations(worker);
    }
  }
}

void JobDispatcher::SendEvacuations(PooledWorker& worker) {
  worker.evacuations_sent = m_pool.evacuations().through;
  SendTo(worker, m_pool.evacuations());
}

void JobDispatcher::On(const PeerDisconnected& event) {
  m_attempts.RecordUnlinked(event.name, event.incarnation, m_now.mono);
  PooledWorker* worker = m_pool.Find(event.name);
  if (worker != nullptr && worker->incarnation == event.incarnation) {
    worker->linked = false;
    worker->unlinked_at = m_now.mono;
  }
}

void JobDispatcher::On(const PeerMessageReceived& event) {
  if (const auto* open = std::get_if<OpenAttempts>(&event.body)) {
    HandleAttempts(event, *open);
    return;
  }
  if (const auto* end = std::get_if<EndAttempts>(&event.body)) {
    HandleAttempts(event, *end);
    return;
  }
  PooledWorker* worker = m_pool.Find(event.name);
  const auto* reports = std::get_if<RunReports>(&event.body);
  if (worker == nullptr || reports == nullptr ||
      worker->incarnation != event.incarnation) {
    return;
  }
  RecordIfLost(*worker, reports->worker);
  m_pool.Update(*worker, *reports, m_now.mono);
  if (!worker->speed.HasKind()) {
    worker->speed =
        m_run_times.SpeedOfKind(worker->status.service, worker->status.kind);
  }
  if (worker->Usable(m_now.mono)) {
    m_first_workers.RecordWorker(worker->status.service);
  }
  // Another entry may have sent the agent an evacuation that has ended since.
  const uint64_t through = m_pool.evacuations().through;
  if (std::max(reports->worker.evacuations, worker->evacuations_sent) <
      through) {
    SendEvacuations(*worker);
  }
  for (const RunReport& report : reports->reports) {
    HandleReport(*worker, report);
  }
}

// A worker that leaves in order can't be distinguished from a lost one here. If
// it is counted as lost, that only favours tasks that lose their workers at
// about the same time.
void JobDispatcher::RecordIfLost(const PooledWorker& worker,
                                 const WorkerStatus& reported) {
  const WorkerStatus& former = worker.status;
  const bool left_or_lost =
      !reported.accepting || reported.worker != former.worker;
  if (former.accepting && left_or_lost && !worker.evacuated) {
    m_worker_losses.Record(worker.agent, m_now.mono);
  }
}

void JobDispatcher::HandleReport(PooledWorker& worker,
                                 const RunReport& report) {
  m_attempts.RecordRunOver(report.attempt,
                           {worker.agent, worker.incarnation, report.task.step,
                            report.task.index, report.run});
  if (const auto over =
          worker.abandoned.RecordEnd(report.attempt, report.end)) {
    LogOver(worker.agent, *over, "reports");
  }
  const auto it = m_jobs.find(report.task.job);
  if (it == m_jobs.end()) {
    return;  // the job has been answered or abandoned
  }
  OpenJob& job = *it->second;
  OpenTask* task = job.FindTask(report.task);
  const bool current = task != nullptr && report.attempt == job.order &&
                       task->run == report.run && task->agent == worker.agent &&
                       task->IsAtAgent();
  if (!current) {
    return;
  }
  if (NeverStarted(report.end)) {
    TaskNeverStarted(job, *task, worker, report.end);
    return;
  }
  switch (report.end) {
    case RunEnd::kDone:
      TaskDone(job, *task, worker, report.run_ms);
      return;
    case RunEnd::kFailed:
      TaskFailed(job, *task, worker);
      return;
    case RunEnd::kWorkerLost:
      TaskLostWorker(job, *task, worker, report);
      return;
    default:
      LearnStoppedRun(job, *task, worker, report.run_ms);
      Requeue(job, *task, RunCounter::kRetriesStopped);
  }
}

void JobDispatcher::TaskDone(OpenJob& job,
                             OpenTask& task,
                             PooledWorker& worker,
                             uint32_t run_ms) {
  m_counters.Add(RunCounter::kRunsDone);
  LearnRun(job, task, worker, run_ms);
  m_run_overhead.Record(m_now.mono - task.sent_at - absl::Milliseconds(run_ms));
  m_pool.RecordGoodRun(worker);
  LeaveAgent(task, OpenTask::State::kDone);
  task.run_ms = run_ms;
  ++job.done;
  if (job.done == job.tasks.size()) {
    Finish(std::string(job.job.id), {JobVerdict::kCompleted, "", {}});
  }
}

void JobDispatcher::TaskFailed(OpenJob& job,
                               OpenTask& task,
                               PooledWorker& worker) {
  m_counters.Add(RunCounter::kRunsFailed);
  RecordBadRun(worker, job.job.id);
  task.avoid.insert(worker.agent);
  if (++task.failures < job.queue.max_attempts) {
    Requeue(job, task, RunCounter::kRetriesFailed);
    return;
  }
  LeaveAgent(task, OpenTask::State::kWaiting);
  Finish(std::string(job.job.id), {JobVerdict::kFailed, "task_failed", {}});
}

// A lost worker does not count towards ejection: either the task or an accident
// caused the loss, and a restarted worker is as good as any other.
void JobDispatcher::TaskLostWorker(OpenJob& job,
                                   OpenTask& task,
                                   PooledWorker& worker,
                                   const RunReport& report) {
  m_worker_losses.Record(worker.agent, m_now.mono);
  LearnStoppedRun(job, task, worker, report.run_ms);
  task.avoid.insert(worker.agent);
  task.lost_runs.push_back(
      {worker.agent, m_now.mono, report.loss, report.run_ms});
  switch (JudgeLostRuns(task.lost_runs, m_worker_losses)) {
    case LossVerdict::kTryAgain:
      Requeue(job, task, RunCounter::kRetriesWorkerLost);
      return;
    case LossVerdict::kCrashesWorkers:
      m_counters.Add(RunCounter::kJobsCrashWorkers);
      EndAfterLosses(job, task, {JobVerdict::kFailed, "crashes_workers", {}});
      return;
    case LossVerdict::kTooManyLosses:
      m_counters.Add(RunCounter::kJobsWorkersLost);
      EndAfterLosses(job, task, AbandonedAnswer(job, "workers_lost"));
      return;
  }
}

void JobDispatcher::EndAfterLosses(OpenJob& job,
                                   OpenTask& task,
                                   JobAnswer answer) {
  Log("task given up after worker losses",
      {{"job", job.job.id},
       {"task", absl::StrCat(task.step, "/", task.index)},
       {"reason", answer.reason},
       {"lost", LossesText(task.lost_runs)}});
  LeaveAgent(task, OpenTask::State::kWaiting);
  Finish(std::string(job.job.id), std::move(answer));
}

void JobDispatcher::TaskNeverStarted(OpenJob& job,
                                     OpenTask& task,
                                     PooledWorker& worker,
                                     RunEnd end) {
  --job.possibly_started;
  if (end == RunEnd::kOldNumber) {
    task.run += kRunNumberJump;
  }
  if (end == RunEnd::kRefused) {
    RecordBadRun(worker, job.job.id);
    task.avoid.insert(worker.agent);
  }
  if (end == RunEnd::kSuspectBeside &&
      !task.avoid.insert(worker.agent).second) {
    task.not_before = m_now.mono + kSuspectRetryDelay;
  }
  Requeue(job, task,
          end == RunEnd::kNoCapacity ? RunCounter::kRetriesNoRoom
                                     : RunCounter::kRetriesNeverStarted);
}

void JobDispatcher::Requeue(OpenJob& job, OpenTask& task, RunCounter reason) {
  m_counters.Add(reason);
  ++job.retries;
  LogRoutine("task requeued",
             {{"job", job.job.id},
              {"task", absl::StrCat(task.step, "/", task.index)},
              {"run", absl::StrCat(task.run)},
              {"agent", task.agent},
              {"why", std::string(RunCounterName(reason))}});
  LeaveAgent(task, OpenTask::State::kWaiting);
  task.agent.clear();
  ++job.waiting;
  m_waiting.Add(job);
}

void JobDispatcher::RecordBadRun(PooledWorker& worker,
                                 const std::string& job,
                                 double chance) {
  if (m_policy.eject_workers &&
      m_pool.RecordBadRun(worker, job, m_now.mono, chance)) {
    m_counters.Add(RunCounter::kWorkersEjected);
    Log("worker ejected",
        {{"agent", worker.agent},
         {"worker", worker.status.worker},
         {"bad_jobs", absl::StrCat(worker.consecutive_bad_jobs)}});
  }
}

}  // namespace egretswitch::internal
