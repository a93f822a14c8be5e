// A job's tasks wait here, not at the workers: what waits is truthfully "not
// run" and costs nothing to refuse. Jobs get workers by the priority of their
// queue, then by arrival; those that a caller hands in again go last.
//
//   waiting --Pick()--> running --done--> the last one answers the job
//      ^------- never started, stopped, failed, agent lost -----/
#include "job_dispatcher.h"

#include <algorithm>
#include <memory>
#include <variant>

#include "absl/strings/str_cat.h"
#include "job_notes.h"
#include "run_limits.h"

namespace egretswitch::internal {
namespace {

// Without open jobs the dispatcher is called at least so often, so that it
// notices a pause of its process.
constexpr absl::Duration kIdleCheckPeriod = absl::Milliseconds(100);
// After a pause, what the sockets hold is read within some turns of the loop.
constexpr absl::Duration kStaleRequests = absl::Milliseconds(100);

}  // namespace

JobDispatcherActions JobDispatcher::Handle(const JobDispatcherEvent& event,
                                           Now now) {
  m_now = now;
  if (now.mono - m_last_handled > kMaxEntryPause) {
    EndAfterPause();
  }
  m_last_handled = now.mono;
  std::visit([this](const auto& happened) { On(happened); }, event);
  Dispatch();
  if (std::holds_alternative<JobArrived>(event)) {
    RefuseEvacuatedJobs();
    RefuseLateJobs();
  } else if (std::holds_alternative<EvacuationsChanged>(event)) {
    RefuseEvacuatedJobs();
  }
  return std::exchange(m_actions, {});
}

JobDispatcherActions JobDispatcher::GiveUpAll(Now now) {
  m_now = now;
  while (!m_jobs.empty()) {
    OpenJob& job = *m_jobs.begin()->second;
    StopRunsOf(job);
    Finish(std::string(job.job.id), GiveUp(job, "shutting_down"));
  }
  return std::exchange(m_actions, {});
}

MonoTime JobDispatcher::NextWake() const {
  const MonoTime idle = m_last_handled + kIdleCheckPeriod;
  return m_jobs.empty() ? idle : std::min(idle, m_next_check);
}

uint64_t JobDispatcher::JobsNotBegun(std::string_view queue) const {
  return static_cast<uint64_t>(
      std::count_if(m_jobs.begin(), m_jobs.end(), [queue](const auto& entry) {
        const OpenJob& job = *entry.second;
        return job.queue.name == queue &&
               job.first_sent_at == absl::InfiniteDuration();
      }));
}

// A process that stood still may have been replaced meanwhile: the callers'
// later attempts may run at other entries. That holds for what it reads next,
// too: requests that waited for it, whose callers have long gone elsewhere.
// NextWake() is never further away than kIdleCheckPeriod, so a longer gap is a
// pause.
void JobDispatcher::EndAfterPause() {
  const bool first_event = m_last_handled == absl::ZeroDuration();
  if (first_event) {
    return;
  }
  m_stale_until = m_now.mono + kStaleRequests;
  Log("pause noticed",
      {{"paused_ms",
        absl::StrCat(absl::ToInt64Milliseconds(m_now.mono - m_last_handled))},
       {"jobs", absl::StrCat(m_jobs.size())}});
  while (!m_jobs.empty()) {
    OpenJob& job = *m_jobs.begin()->second;
    m_counters.Add(RunCounter::kJobsEndedByPause);
    StopRunsOf(job);
    Finish(std::string(job.job.id), GiveUp(job, "entry_paused"));
  }
}

// ---- Callers
// --------------------------------------------------------------------

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
  if (const auto known = m_jobs.find(event.job.id); known != m_jobs.end()) {
    m_counters.Add(RunCounter::kJobsJoined);
    known->second->calls.push_back(event.call);
    m_job_of_call[event.call] = event.job.id;
    Log("job joined", {{"job", event.job.id}});
    return;
  }
  auto job =
      std::make_unique<OpenJob>(MakeOpenJob(event, ++m_arrivals, m_now.mono));
  CorrectEstimates(*job);
  m_usual_patience.Note(event.queue.name, event.patience);
  job->goes_last = m_policy.repeats_last &&
                   m_usual_patience.IsRepeat(event.queue.name, event.patience);
  if (m_jobs.empty()) {
    m_next_check = m_now.mono + kCheckPeriod;
  }
  m_job_of_call[event.call] = event.job.id;
  m_waiting.Add(*job);
  m_jobs[event.job.id] = std::move(job);
}

void JobDispatcher::CorrectEstimates(OpenJob& job) const {
  for (JobStep& step : job.job.steps) {
    job.callers_estimates_ms.push_back(step.estimate_ms);
    if (m_policy.correct_estimates) {
      step.estimate_ms = m_run_times.Expect(job.queue.name, step.estimate_ms);
    }
  }
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
  StopRunsOf(job);
  Finish(id, {JobVerdict::kMayHaveRun, "caller_left", absl::ZeroDuration()});
}

// ---- Starting
// ---------------------------------------------------------------------

void JobDispatcher::Dispatch() {
  m_exhausted.Clear();
  m_waiting.ForEach([this](OpenJob& job) { DispatchJob(job); });
}

// Takes the room when there is some.
PooledWorker* JobDispatcher::FindSeat(const OpenJob& job,
                                      const OpenTask& task) {
  const TaskNeeds& needs = job.StepOf(task).needs;
  if (m_exhausted.Covers(job.queue.service, needs)) {
    return nullptr;
  }
  PooledWorker* worker =
      m_pool.Pick(job.queue.service, needs, task.avoid, m_now.mono);
  if (worker == nullptr && !task.avoid.empty()) {
    worker = m_pool.Pick(job.queue.service, needs, {}, m_now.mono);
  }
  if (worker == nullptr) {
    m_exhausted.Add(job.queue.service, needs);
    return nullptr;
  }
  m_pool.ChargeStart(*worker, needs, 1);
  m_forecast.NotePlaced(job.queue.service, needs.millicores, m_now.mono);
  return worker;
}

void JobDispatcher::DispatchJob(OpenJob& job) {
  // By step and agent, so that each agent gets one message for a step.
  std::map<std::pair<uint32_t, std::string>, std::vector<OpenTask*>> chosen;
  for (OpenTask& task : job.tasks) {
    if (task.state != OpenTask::State::kWaiting ||
        m_now.mono < task.not_before) {
      continue;
    }
    PooledWorker* worker = FindSeat(job, task);
    if (worker == nullptr) {
      continue;
    }
    task.state = OpenTask::State::kRunning;
    task.agent = worker->agent;
    task.agent_incarnation = worker->incarnation;
    task.sent_at = m_now.mono;
    ++task.run;
    --job.waiting;
    chosen[{task.step, worker->agent}].push_back(&task);
  }
  for (const auto& [place, tasks] : chosen) {
    SendStarts(job, place.first, *m_pool.Find(place.second), tasks);
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
        {task->index, task->run, SuspectMs(task->lost, m_worker_losses)});
  }
  m_counters.Add(RunCounter::kRunsStarted, tasks.size());
  SendTo(worker, std::move(start));
}

// ---- Ends
// -------------------------------------------------------------------------

JobAnswer JobDispatcher::GiveUp(const OpenJob& job, std::string_view reason) {
  if (job.possibly_started > 0) {
    return {JobVerdict::kMayHaveRun, std::string(reason), {}};
  }
  return {JobVerdict::kNotRun, std::string(reason), RetryAfter()};
}

void JobDispatcher::StopRunsOf(OpenJob& job) {
  std::set<std::string> told;
  for (OpenTask& task : job.tasks) {
    if (task.state != OpenTask::State::kRunning &&
        task.state != OpenTask::State::kStopping) {
      continue;
    }
    PooledWorker& worker = *m_pool.Find(task.agent);
    worker.runs -= std::min(worker.runs, 1u);
    if (told.insert(task.agent).second && !worker.Suspect(m_now.mono)) {
      SendTo(worker, StopRuns{.job = job.job.id, .step = 0, .runs = {}});
    }
  }
}

void JobDispatcher::Finish(const std::string& id, JobAnswer answer) {
  const std::unique_ptr<OpenJob> job = std::move(m_jobs.at(id));
  m_jobs.erase(id);
  m_waiting.Remove(*job);
  m_counters.Add(answer.verdict == JobVerdict::kCompleted
                     ? RunCounter::kJobsCompleted
                     : RunCounter::kJobsFailed);
  std::vector<NoteField> fields = NotesOfEnd(*job, answer, m_now.mono);
  if (answer.verdict == JobVerdict::kNotRun) {
    AppendNotes(m_pool.ViewOf(job->queue.service, m_now.mono), fields);
  }
  if (answer.verdict == JobVerdict::kCompleted) {
    LogRoutine("job completed", std::move(fields));
  } else {
    Log("job ended", std::move(fields));
  }
  for (const CallId call : job->calls) {
    m_job_of_call.erase(call);
    Answer(call, answer);
  }
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
  const double share = std::uniform_real_distribution<double>(0, 1)(m_random);
  return ComeBackAfter(wait, share);
}

void JobDispatcher::LogRoutine(std::string_view what,
                               std::vector<NoteField> fields) {
  m_actions.push_back(
      NoteStateChange{std::string(what), std::move(fields), true});
}

void JobDispatcher::Log(std::string_view what, std::vector<NoteField> fields) {
  m_actions.push_back(NoteStateChange{std::string(what), std::move(fields)});
}

}  // namespace egretswitch::internal
