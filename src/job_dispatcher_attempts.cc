// Attempts at one job, also at several entries: a job that arrives here while
// runs of its former attempt may go on waits for their end.
//
//   OpenAttempts{5c0e, 12} from entry-1; JobArrived{5c0e}
//       -> EndAttempts{12} to entry-1; no start
//   OpenAttempts{over: 12} from entry-1   -> StartRuns
#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "duration_text.h"
#include "job_dispatcher.h"
#include "run_limits.h"

namespace egretswitch::internal {

void JobDispatcher::On(const EntryLinkUp& event) {
  m_attempts.RecordLinked(event.name, event.incarnation,
                          event.understands_attempts, m_now.mono);
}

// The caller of a job is at the entry that it came to last.
void JobDispatcher::HandleAttempts(const PeerMessageReceived& event,
                                   const OpenAttempts& message) {
  for (const AttemptExchange::KnownAttempt& known : m_attempts.HandleOpen(
           event.name, event.incarnation, message, m_now.mono)) {
    const auto open = m_jobs.find(known.job);
    if (open == m_jobs.end()) {
      continue;
    }
    if (known.opened_at > open->second->called_at) {
      EndSuperseded(known.job, event.name);
    } else {
      AwaitFormerAttempts(*open->second);
    }
  }
}

void JobDispatcher::HandleAttempts(const PeerMessageReceived& event,
                                   const EndAttempts& message) {
  const std::vector<uint64_t> ended =
      m_attempts.HandleEnd(event.name, event.incarnation, message);
  for (const uint64_t attempt : ended) {
    const auto open = std::find_if(
        m_jobs.begin(), m_jobs.end(),
        [attempt](const auto& job) { return job.second->order == attempt; });
    if (open != m_jobs.end()) {
      EndSuperseded(std::string(open->first), event.name);
    }
  }
}

void JobDispatcher::EndSuperseded(const std::string& id,
                                  const std::string& entry) {
  const OpenJob& job = *m_jobs.at(id);
  m_counters.Add(RunCounter::kJobsSuperseded);
  Log("job arrived at another entry",
      {{"job", id},
       {"attempt", absl::StrCat(job.order)},
       {"entry", entry},
       {"calls", absl::StrCat(job.calls.size())}});
  Finish(id, {JobVerdict::kMayHaveRun, "superseded", {}});
}

void JobDispatcher::AwaitFormerAttempts(OpenJob& job) {
  std::vector<std::string> entries =
      m_attempts.RequestEnd(job.job.id, job.called_at);
  if (m_attempts.HasEndedAttempt(job.job.id)) {
    entries.emplace_back("this");  // the former attempt was made here
  }
  if (entries.empty()) {
    return;
  }
  job.awaits_former_attempt = true;
  Log("job open at another entry",
      {{"job", job.job.id},
       {"attempt", absl::StrCat(job.order)},
       {"entries", absl::StrJoin(entries, ",")},
       {"sent", absl::StrCat(job.possibly_started)},
       {"after_ms", MillisecondsText(m_now.mono - job.arrived_at)}});
}

bool JobDispatcher::CheckAwaitsFormerAttempt(OpenJob& job) {
  if (job.awaits_former_attempt && !m_attempts.HasEndedAttempt(job.job.id) &&
      !m_attempts.MustAwait(job.job.id, job.called_at,
                            m_pool.LatestLeaseBound(), m_now.mono)) {
    job.awaits_former_attempt = false;
    Log("former attempt over",
        {{"job", job.job.id},
         {"attempt", absl::StrCat(job.order)},
         {"after_ms", MillisecondsText(m_now.mono - job.arrived_at)}});
  }
  return job.awaits_former_attempt;
}

// Called before the job's tasks leave their agents.
void JobDispatcher::RecordAttemptEnded(const OpenJob& job) {
  std::set<RunAtAgent> runs;
  for (const OpenTask& task : job.tasks) {
    if (task.IsAtAgent()) {
      runs.insert({task.agent, task.agent_incarnation, task.step, task.index,
                   task.run});
    }
  }
  m_attempts.RecordEnded(job.order, std::move(runs), m_now.mono);
}

void JobDispatcher::RecordRunsOfEndedAttempts() {
  m_attempts.RecordRunsOver(
      [this](const RunAtAgent& run, MonoTime ended_at) {
        const PooledWorker* worker = m_pool.Find(run.agent);
        return worker == nullptr
                   ? ended_at + kRunCertainlyOver
                   : worker->RunsOverAt(run.incarnation, ended_at);
      },
      m_now.mono);
}

void JobDispatcher::SendAttempts() {
  for (SendRunMessage& message : m_attempts.TakeDue(m_now.mono)) {
    m_actions.push_back(std::move(message));
  }
}

}  // namespace egretswitch::internal
