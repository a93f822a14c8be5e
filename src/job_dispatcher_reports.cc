// What an entry learns from the agents: who is linked, what room there is, and
// what became of each run.
//
//   RunReports{5c0e/0/0 kDone}    -> the last one answers the job
//   RunReports{5c0e/0/1 kNoCapacity}  -> the task waits again
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

// After a worker said that it had seen a run number: far above what a former
// attempt can have used.
constexpr RunNumber kRunNumberJump = 16;

// After a task was kept apart from another one for the second time by the same
// agent: there is no other worker for it now.
constexpr absl::Duration kSuspectPause = absl::Milliseconds(20);

}  // namespace

// "agent-1 worker_crashed 650 ms ago beside 5 others,agent-7 ..."
std::string JobDispatcher::LossesText(const std::vector<LostRun>& lost) const {
  const std::set<std::string> agents = AgentsOf(lost);
  return absl::StrJoin(lost, ",", [&](std::string* text, const LostRun& run) {
    absl::StrAppend(
        text, run.agent, " ", std::string(RunLossName(run.loss)), " ",
        absl::ToInt64Milliseconds(m_now.mono - run.reported_at),
        " ms ago beside ", m_worker_losses.LostAround(run.reported_at, agents),
        " others");
  });
}

void JobDispatcher::On(const PeerUp& event) {
  PooledWorker& worker = m_pool.LinkUp(event.name, event.incarnation,
                                       event.data_centre, m_now.mono);
  worker.evacuations_sent = 0;
  if (m_pool.evacuations().IsLoaded()) {
    TellEvacuations(worker);
  }
  AskForRunsOrderedBefore(worker);
}

// What was under way on the former link is lost, orders and reports alike.
void JobDispatcher::AskForRunsOrderedBefore(PooledWorker& worker) {
  RenewRuns renewal;
  for (const auto& [id, job] : m_jobs) {
    for (const OpenTask& task : job->tasks) {
      const bool ordered = task.state == OpenTask::State::kRunning ||
                           task.state == OpenTask::State::kStopping;
      if (ordered && task.agent == worker.agent &&
          task.agent_incarnation == worker.incarnation) {
        renewal.ordered_before.push_back(
            {{id, task.step, task.index}, task.run, job->order});
      }
    }
  }
  if (!renewal.ordered_before.empty()) {
    renewal.sent_at_ms = worker.clock.Estimate(m_now.mono).value_or(0);
    SendTo(worker, std::move(renewal));
  }
}

// The agents are told as well: an entry that has not heard of it yet finds its
// orders turned away there. A state that only reaches further, as after each
// new configuration, is told to those whose reports show that they need it.
void JobDispatcher::On(const EvacuationsChanged& event) {
  const bool changed =
      event.state.data_centres != m_pool.evacuations().data_centres;
  m_pool.SetEvacuations(event.state);
  for (auto& [name, worker] : m_pool.workers()) {
    if (changed && worker.linked) {
      TellEvacuations(worker);
    }
  }
}

void JobDispatcher::TellEvacuations(PooledWorker& worker) {
  worker.evacuations_sent = m_pool.evacuations().through;
  SendTo(worker, m_pool.evacuations());
}

void JobDispatcher::On(const PeerDown& event) {
  PooledWorker* worker = m_pool.Find(event.name);
  if (worker != nullptr && worker->incarnation == event.incarnation) {
    worker->linked = false;
    worker->unlinked_at = m_now.mono;
  }
}

void JobDispatcher::On(const PeerSaid& event) {
  PooledWorker* worker = m_pool.Find(event.name);
  const auto* reports = std::get_if<RunReports>(&event.body);
  if (worker == nullptr || reports == nullptr ||
      worker->incarnation != event.incarnation) {
    return;
  }
  NoteIfLost(*worker, reports->worker);
  m_pool.Update(*worker, *reports, m_now.mono);
  // Another entry may have told it of an evacuation that has ended since.
  const uint64_t through = m_pool.evacuations().through;
  if (std::max(reports->worker.evacuations, worker->evacuations_sent) <
      through) {
    TellEvacuations(*worker);
  }
  for (const RunReport& report : reports->reports) {
    TakeReport(*worker, report);
  }
}

// A worker that leaves in order can't be told from one that is lost here; it
// speaks for the tasks that others lose meanwhile.
void JobDispatcher::NoteIfLost(const PooledWorker& worker,
                               const WorkerStatus& told) {
  const WorkerStatus& former = worker.status;
  const bool gone = !told.accepting || told.worker != former.worker;
  if (former.accepting && gone && !worker.evacuated) {
    m_worker_losses.Record(worker.agent, m_now.mono);
  }
}

void JobDispatcher::TakeReport(PooledWorker& worker, const RunReport& report) {
  const auto it = m_jobs.find(report.task.job);
  if (it == m_jobs.end()) {
    return;  // answered or given up before
  }
  OpenJob& job = *it->second;
  OpenTask* task = job.FindTask(report.task);
  const bool current = task != nullptr && report.attempt == job.order &&
                       task->run == report.run && task->agent == worker.agent &&
                       (task->state == OpenTask::State::kRunning ||
                        task->state == OpenTask::State::kStopping);
  if (!current) {
    return;
  }
  worker.runs -= std::min(worker.runs, 1u);
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
      Requeue(job, *task, RunCounter::kRetriesStopped);
  }
}

void JobDispatcher::TaskDone(OpenJob& job,
                             OpenTask& task,
                             PooledWorker& worker,
                             uint32_t run_ms) {
  m_counters.Add(RunCounter::kRunsDone);
  m_run_times.Observe(job.queue.name, job.callers_estimates_ms[task.step],
                      run_ms);
  const uint32_t usual_ms =
      m_policy.learn_slowness ? job.StepOf(task).estimate_ms : run_ms;
  m_pool.RecordGoodRun(worker, run_ms, usual_ms);
  task.state = OpenTask::State::kDone;
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
  NoteBadRun(worker, job.job.id);
  task.avoid.insert(worker.agent);
  if (++task.failures < job.queue.max_attempts) {
    Requeue(job, task, RunCounter::kRetriesFailed);
    return;
  }
  StopRunsOf(job);
  Finish(std::string(job.job.id), {JobVerdict::kFailed, "task_failed", {}});
}

// Nothing is held against the worker: it was the task, or an accident, and once
// it is back it is as good as any other.
void JobDispatcher::TaskLostWorker(OpenJob& job,
                                   OpenTask& task,
                                   PooledWorker& worker,
                                   const RunReport& report) {
  m_worker_losses.Record(worker.agent, m_now.mono);
  task.avoid.insert(worker.agent);
  task.lost.push_back({worker.agent, m_now.mono, report.loss, report.run_ms});
  switch (JudgeLostRuns(task.lost, m_worker_losses)) {
    case LossVerdict::kTryAgain:
      Requeue(job, task, RunCounter::kRetriesWorkerLost);
      return;
    case LossVerdict::kCrashesWorkers:
      m_counters.Add(RunCounter::kJobsCrashWorkers);
      EndForLosses(job, task, {JobVerdict::kFailed, "crashes_workers", {}});
      return;
    case LossVerdict::kTooManyLosses:
      m_counters.Add(RunCounter::kJobsWorkersLost);
      EndForLosses(job, task, GiveUp(job, "workers_lost"));
      return;
  }
}

void JobDispatcher::EndForLosses(OpenJob& job,
                                 const OpenTask& task,
                                 JobAnswer answer) {
  Log("task given up after losses",
      {{"job", job.job.id},
       {"task", absl::StrCat(task.step, "/", task.index)},
       {"reason", answer.reason},
       {"lost", LossesText(task.lost)}});
  StopRunsOf(job);
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
    NoteBadRun(worker, job.job.id);
    task.avoid.insert(worker.agent);
  }
  if (end == RunEnd::kSuspectBeside &&
      !task.avoid.insert(worker.agent).second) {
    task.not_before = m_now.mono + kSuspectPause;
  }
  Requeue(job, task,
          end == RunEnd::kNoCapacity ? RunCounter::kRetriesNoRoom
                                     : RunCounter::kRetriesNeverStarted);
}

void JobDispatcher::Requeue(OpenJob& job, OpenTask& task, RunCounter reason) {
  m_counters.Add(reason);
  ++job.retries;
  LogRoutine("task waits again",
             {{"job", job.job.id},
              {"task", absl::StrCat(task.step, "/", task.index)},
              {"run", absl::StrCat(task.run)},
              {"agent", task.agent},
              {"why", std::string(RunCounterName(reason))}});
  task.state = OpenTask::State::kWaiting;
  task.agent.clear();
  ++job.waiting;
  m_waiting.Add(job);
}

void JobDispatcher::NoteBadRun(PooledWorker& worker, const std::string& job) {
  if (m_policy.eject_workers && m_pool.RecordBadRun(worker, job, m_now.mono)) {
    m_counters.Add(RunCounter::kWorkersEjected);
    Log("worker ejected",
        {{"agent", worker.agent},
         {"worker", worker.status.worker},
         {"bad_jobs", absl::StrCat(worker.consecutive_bad_jobs)}});
  }
}

}  // namespace egretswitch::internal
