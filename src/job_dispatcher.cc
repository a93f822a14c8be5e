// Tasks are queued at the entry, not at the workers: a queued job has certainly
// not run, so it can be refused as "not run" at no cost. Jobs are dispatched by
// the priority of their queue, then by arrival; repeated jobs come last.
//
//   waiting --Pick()--> running --done--> the last one answers the job
//      ^------- never started, stopped, failed, agent lost -----/
#include "job_dispatcher.h"

#include <algorithm>
#include <memory>
#include <variant>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "duration_text.h"
#include "job_log_fields.h"
#include "run_limits.h"

namespace egretswitch::internal {
namespace {

// The dispatcher is called at least this often, also without open jobs, so that
// it detects a pause of its process.
constexpr absl::Duration kIdleCheckPeriod = absl::Milliseconds(100);
// After a pause, the event loop drains the sockets within a few iterations.
constexpr absl::Duration kStaleRequests = absl::Milliseconds(100);

RunCounter CounterOf(JobVerdict verdict) {
  switch (verdict) {
    case JobVerdict::kCompleted:
      return RunCounter::kJobsCompleted;
    case JobVerdict::kCancelled:
      return RunCounter::kJobsCancelled;
    default:
      return RunCounter::kJobsFailed;
  }
}

std::string_view EndEventName(JobVerdict verdict) {
  switch (verdict) {
    case JobVerdict::kCompleted:
      return "job completed";
    case JobVerdict::kCancelled:
      return "job cancelled";
    default:
      return "job ended";
  }
}

}  // namespace

JobDispatcherActions JobDispatcher::Handle(const JobDispatcherEvent& event,
                                           Now now) {
  m_now = now;
  const absl::Duration gap = now.mono - m_last_handled;
  if (gap > kMaxEntryPause) {
    EndAfterPause();
  } else if (gap > kMaxUncheckedPause && !m_jobs.empty()) {
    RequestCallerCheck(gap);
  }
  m_last_handled = now.mono;
  const auto* cancelled = std::get_if<JobsCancelled>(&event);
  const bool may_dispatch = cancelled == nullptr || FreesCapacity(*cancelled);
  std::visit([this](const auto& details) { On(details); }, event);
  if (may_dispatch) {
    Dispatch();
  }
  if (std::holds_alternative<JobArrived>(event)) {
    RefuseEvacuatedJobs();
    RefuseLateJobs();
  } else if (std::holds_alternative<EvacuationsChanged>(event)) {
    RefuseEvacuatedJobs();
  }
  SendAttempts();
  return std::exchange(m_actions, {});
}

JobDispatcherActions JobDispatcher::AbandonAllJobs(Now now) {
  m_now = now;
  while (!m_jobs.empty()) {
    const OpenJob& job = *m_jobs.begin()->second;
    Finish(std::string(job.job.id), AbandonedAnswer(job, "shutting_down"));
  }
  m_attempts.SendAtOnce();
  SendAttempts();
  return std::exchange(m_actions, {});
}

MonoTime JobDispatcher::NextWake() const {
  const MonoTime idle = m_last_handled + kIdleCheckPeriod;
  return m_jobs.empty() ? idle : std::min(idle, m_next_check);
}

uint64_t JobDispatcher::JobsNotStarted(std::string_view queue) const {
  return static_cast<uint64_t>(
      std::count_if(m_jobs.begin(), m_jobs.end(), [queue](const auto& entry) {
        const OpenJob& job = *entry.second;
        return job.queue.name == queue &&
               job.first_sent_at == absl::InfiniteDuration();
      }));
}

// While the process was paused, callers may have sent their jobs to other
// entries, which may run them now. The same holds for requests that queued in
// the sockets during the pause. NextWake() is at most kIdleCheckPeriod ahead,
// so a gap longer than kMaxEntryPause is a pause.
void JobDispatcher::EndAfterPause() {
  const bool first_event = m_last_handled == absl::ZeroDuration();
  if (first_event) {
    return;
  }
  m_stale_until = m_now.mono + kStaleRequests;
  Log("pause detected",
      {{"paused_ms",
        absl::StrCat(absl::ToInt64Milliseconds(m_now.mono - m_last_handled))},
       {"jobs", absl::StrCat(m_jobs.size())}});
  while (!m_jobs.empty()) {
    const OpenJob& job = *m_jobs.begin()->second;
    m_counters.Add(RunCounter::kJobsEndedByPause);
    Finish(std::string(job.job.id), AbandonedAnswer(job, "entry_paused"));
  }
}

// ---- Callers
// --------------------------------------------------------------------

void JobDispatcher::RequestCallerCheck(absl::Duration paused) {
  m_callers_checked = false;
  m_actions.emplace_back(CheckCallers{});
  Log("short pause", {{"paused_ms", MillisecondsText(paused)},
                      {"jobs", absl::StrCat(m_jobs.size())}});
}

void JobDispatcher::On(const CallersChecked&) {
  m_callers_checked = true;
  for (const std::string& agent : std::exchange(m_agents_to_renew, {})) {
    PooledWorker* worker = m_pool.Find(agent);
    if (worker != nullptr && worker->linked) {
      RequestEarlierRuns(*worker);
    }
  }
}

void JobDispatcher::On(const JobArrived& event) {
  m_counters.Add(RunCounter::kJobsTaken);
  if (m_now.mono < m_stale_until) {
    m_counters.Add(RunCounter::kJobsRefusedAfterPause);
    Log("job refused", {{"job", event.job.id},
                        {"verdict", "not_run"},
                        {"reason", "entry_paused"}});
    Answer(event.call, {JobVerdict::kNotRun, "entry_paused", RetryAfter()});
    return;
  }
  if (m_cancelled_jobs.Contains(event.job.id, m_now.mono)) {
    m_counters.Add(RunCounter::kJobsRefusedCancelled);
    m_cancelled_jobs.Add(event.job.id, /*held=*/true, m_now.mono);
    LogRoutine("cancelled job not started", {{"job", event.job.id}});
    Answer(event.call, {JobVerdict::kCancelled, "cancelled", {}});
    return;
  }
  if (const auto open = m_jobs.find(event.job.id); open != m_jobs.end()) {
    m_counters.Add(RunCounter::kJobsJoined);
    open->second->calls.push_back(event.call);
    m_job_of_call[event.call] = event.job.id;
    Log("job joined", {{"job", event.job.id}});
    open->second->called_at = m_now.mono - event.waited;
    m_attempts.RecordJoined(open->second->order, open->second->called_at);
    AwaitFormerAttempts(*open->second);
    return;
  }
  m_first_workers.RecordJob(m_now.mono);
  auto job =
      std::make_unique<OpenJob>(MakeOpenJob(event, ++m_arrivals, m_now.mono));
  CorrectEstimates(*job);
  m_typical_timeout.Record(event.queue.name, event.caller_timeout);
  job->deprioritised =
      m_policy.repeats_last &&
      m_typical_timeout.IsRepeat(event.queue.name, event.caller_timeout);
  if (m_jobs.empty()) {
    m_next_check = m_now.mono + kCheckPeriod;
  }
  m_job_of_call[event.call] = event.job.id;
  m_waiting.Add(*job);
  m_attempts.RecordOpened(job->job.id, job->order, job->called_at);
  AwaitFormerAttempts(*job);
  m_jobs[event.job.id] = std::move(job);
}

void JobDispatcher::On(const CallerLeft& event) {
  const auto call = m_job_of_call.find(event.call);
  if (call == m_job_of_call.end()) {
    return;
  }
  const std::string id = call->second;
  m_job_of_call.erase(call);
  OpenJob& job = *m_jobs.at(id);
  std::erase(job.calls, event.call);
  if (!job.calls.empty()) {
    return;
  }
  m_counters.Add(RunCounter::kJobsCallerLeft);
  Finish(id, {JobVerdict::kMayHaveRun, "caller_left", absl::ZeroDuration()});
}

// Most cancels that other entries pass on are of jobs that are not open here.
bool JobDispatcher::FreesCapacity(const JobsCancelled& event) const {
  return std::any_of(
      event.jobs.begin(), event.jobs.end(),
      [this](const std::string& id) { return m_jobs.contains(id); });
}

void JobDispatcher::On(const JobsCancelled& event) {
  for (const std::string& id : event.jobs) {
    const auto open = m_jobs.find(id);
    const bool held = open != m_jobs.end();
    m_cancelled_jobs.Add(id, held, m_now.mono);
    if (held) {
      EndCancelled(id);
    }
  }
}

// A job that arrived before its cancel was known may be open here.
void JobDispatcher::On(const CancelledJobsReceived& event) {
  for (const CancelledJob& received : event.jobs) {
    m_cancelled_jobs.Merge(received, m_now.mono);
    if (m_jobs.contains(received.job)) {
      EndCancelled(received.job);
    }
  }
}

void JobDispatcher::On(const CancelMemoryChanged& event) {
  m_knows_cancelled_jobs = event.complete;
}

void JobDispatcher::EndCancelled(const std::string& id) {
  Finish(id, {JobVerdict::kCancelled, "cancelled", {}});
}

// ---- Starting
// ---------------------------------------------------------------------

void JobDispatcher::Dispatch() {
  if (!m_knows_cancelled_jobs || !m_callers_checked ||
      m_attempts.AwaitsList(m_now.mono)) {
    return;
  }
  m_exhausted_capacity.Clear();
  m_waiting.ForEach([this](OpenJob& job) { DispatchJob(job); });
}

// Picks a worker for the task and reserves its capacity; null if no worker has
// enough. Workers that the task should avoid are used only as a last resort.
PooledWorker* JobDispatcher::ReserveWorker(const OpenJob& job,
                                           const OpenTask& task) {
  const TaskNeeds& needs = job.StepOf(task).needs;
  if (m_exhausted_capacity.Covers(job.queue.service, needs)) {
    return nullptr;
  }
  PooledWorker* worker =
      m_pool.Pick(job.queue.service, needs, task.avoid, m_now.mono);
  if (worker == nullptr && !task.avoid.empty()) {
    worker = m_pool.Pick(job.queue.service, needs, {}, m_now.mono);
  }
  if (worker == nullptr) {
    m_exhausted_capacity.Add(job.queue.service, needs);
    return nullptr;
  }
  m_pool.ChargeStart(*worker, needs, 1);
  m_forecast.RecordPlacement(job.queue.service, needs.millicores, m_now.mono);
  return worker;
}

void JobDispatcher::DispatchJob(OpenJob& job) {
  if (CheckAwaitsFormerAttempt(job)) {
    return;
  }
  // Grouped by step and agent: each agent gets one message per step.
  std::map<std::pair<uint32_t, std::string>, std::vector<OpenTask*>> chosen;
  for (OpenTask& task : job.tasks) {
    if (task.state != OpenTask::State::kWaiting ||
        m_now.mono < task.not_before) {
      continue;
    }
    PooledWorker* worker = ReserveWorker(job, task);
    if (worker == nullptr) {
      continue;
    }
    task.state = OpenTask::State::kRunning;
    task.agent = worker->agent;
    task.agent_incarnation = worker->incarnation;
    task.sent_at = m_now.mono;
    task.slowness = worker->speed.Slowness(m_now.mono);
    ++task.run;
    --job.waiting;
    chosen[{task.step, worker->agent}].push_back(&task);
  }
  for (const auto& [target, tasks] : chosen) {
    SendStarts(job, target.first, m_pool.Get(target.second), tasks);
  }
}

void JobDispatcher::SendStarts(OpenJob& job,
                               uint32_t step,
                               PooledWorker& worker,
                               const std::vector<OpenTask*>& tasks) {
  job.possibly_started += static_cast<uint32_t>(tasks.size());
  job.first_sent_at = std::min(job.first_sent_at, m_now.mono);
  StartRuns start;
  start.sent_at_ms = worker.clock.Estimate(m_now.mono).value_or(0);
  start.sequence = worker.last_sequence;
  start.worker = worker.status.worker;
  start.attempt = job.order;
  start.job = job.job.id;
  start.spec = job.job.spec;
  start.step = step;
  start.needs = job.job.steps[step].needs;
  start.urgency = m_policy.urgent_entries_first ? job.Urgency() : 0;
  for (const OpenTask* task : tasks) {
    start.runs.push_back(
        {task->index, task->run, SuspectMs(task->lost_runs, m_worker_losses)});
  }
  m_counters.Add(RunCounter::kRunsStarted, tasks.size());
  m_move_budget.RecordStarts(tasks.size());
  SendTo(worker, std::move(start));
}

// ---- Ending
// -------------------------------------------------------------------------

JobAnswer JobDispatcher::AbandonedAnswer(const OpenJob& job,
                                         std::string_view reason) {
  if (job.possibly_started > 0) {
    return {JobVerdict::kMayHaveRun, std::string(reason), {}};
  }
  return {JobVerdict::kNotRun, std::string(reason), RetryAfter()};
}

// Every task that leaves its agent does so here, so that PooledWorker::runs
// always equals the number of tasks there.
void JobDispatcher::LeaveAgent(OpenTask& task, OpenTask::State next) {
  m_pool.RecordRunLeft(task.agent);
  task.state = next;
}

// The order may be lost, so it is repeated with the renewals until the agent
// has reported the ends. A run whose end has been reported has left its agent.
void JobDispatcher::StopRunsOf(OpenJob& job) {
  std::map<std::string, uint32_t> runs;  // at the present process of each agent
  for (OpenTask& task : job.tasks) {
    if (!task.IsAtAgent()) {
      continue;
    }
    if (m_pool.Get(task.agent).incarnation == task.agent_incarnation) {
      ++runs[task.agent];
    }
    LeaveAgent(task, OpenTask::State::kWaiting);
  }
  std::vector<std::string> ordered;      // "agent-1:2" for two runs there
  std::vector<std::string> not_ordered;  // likewise
  for (const auto& [agent, count] : runs) {
    PooledWorker& worker = m_pool.Get(agent);
    const bool sent = !worker.Suspect(m_now.mono);
    if (sent) {
      SendTo(worker, StopRuns{.job = job.job.id, .step = 0, .runs = {}});
    }
    worker.abandoned.Add(job.job.id, job.order, count, sent, m_now.mono);
    (sent ? ordered : not_ordered).push_back(absl::StrCat(agent, ":", count));
  }
  if (!runs.empty()) {
    LogAbandoned(job, ordered, not_ordered);
  }
}

// An order that was sent and lost shows when it is sent again.
void JobDispatcher::LogAbandoned(const OpenJob& job,
                                 absl::Span<const std::string> ordered,
                                 absl::Span<const std::string> not_ordered) {
  m_actions.push_back(
      NoteStateChange{"runs abandoned",
                      {{"job", job.job.id},
                       {"attempt", absl::StrCat(job.order)},
                       {"ordered", absl::StrJoin(ordered, ",")},
                       {"not_ordered", absl::StrJoin(not_ordered, ",")}},
                      /*routine=*/not_ordered.empty()});
}

void JobDispatcher::Finish(const std::string& id, JobAnswer answer) {
  const std::unique_ptr<OpenJob> job = std::move(m_jobs.at(id));
  m_jobs.erase(id);
  m_waiting.Remove(*job);
  LearnSteps(*job);
  RecordAttemptEnded(*job);
  StopRunsOf(*job);
  m_counters.Add(CounterOf(answer.verdict));
  std::vector<NoteField> fields = JobEndLogFields(*job, answer, m_now.mono);
  if (answer.verdict == JobVerdict::kNotRun) {
    AppendCapacityLogFields(m_pool.ViewOf(job->queue.service, m_now.mono),
                            fields);
  }
  const std::string_view event_name = EndEventName(answer.verdict);
  if (IsRoutineEnd(*job, answer, m_now.mono)) {
    LogRoutine(event_name, std::move(fields));
  } else {
    Log(event_name, std::move(fields));
  }
  for (const CallId call : job->calls) {
    m_job_of_call.erase(call);
    Answer(call, answer);
  }
}

absl::Status JobDispatcher::CheckRunCounts() const {
  std::map<std::string, uint32_t> tasks;
  for (const auto& [id, job] : m_jobs) {
    for (const OpenTask& task : job->tasks) {
      if (task.IsAtAgent()) {
        ++tasks[task.agent];
      }
    }
  }
  for (const auto& [agent, worker] : m_pool.workers()) {
    if (worker.runs != tasks[agent]) {
      return absl::InternalError(absl::StrCat(agent, " has ", worker.runs,
                                              " runs on record and ",
                                              tasks[agent], " tasks at it"));
    }
  }
  for (const auto& [agent, count] : tasks) {
    if (m_pool.Find(agent) == nullptr) {
      return absl::InternalError(
          absl::StrCat(agent, " has ", count, " tasks and is not on record"));
    }
  }
  return absl::OkStatus();
}

void JobDispatcher::Answer(CallId call, JobAnswer answer) {
  m_actions.push_back(AnswerJob{call, std::move(answer)});
}

void JobDispatcher::SendTo(PooledWorker& worker, RunMessageBody body) {
  worker.last_sent = m_now.mono;
  m_actions.push_back(
      SendRunMessage{worker.agent, worker.incarnation, std::move(body)});
}

absl::Duration JobDispatcher::RetryAfter(absl::Duration wait) {
  const double jitter = std::uniform_real_distribution<double>(0, 1)(m_random);
  return SuggestedRetryDelay(wait, jitter);
}

void JobDispatcher::LogRoutine(std::string_view event_name,
                               std::vector<NoteField> fields) {
  m_actions.push_back(
      NoteStateChange{std::string(event_name), std::move(fields), true});
}

void JobDispatcher::Log(std::string_view event_name,
                        std::vector<NoteField> fields) {
  m_actions.push_back(
      NoteStateChange{std::string(event_name), std::move(fields)});
}

}  // namespace egretswitch::internal
