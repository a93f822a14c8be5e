#include "run_ledger.h"

#include "absl/strings/str_cat.h"

namespace egretswitch::soak {

using internal::RunKey;
using platform::WorkerStandIn;

void RunLedger::Watch(const std::vector<std::unique_ptr<WorkerStandIn>>& all) {
  for (const auto& worker : all) {
    m_workers.push_back(worker.get());
    worker->OnStart(
        [this, raw = worker.get()](const RunKey& key) { OnStart(*raw, key); });
    worker->OnCrash([this, raw = worker.get()](const WorkerStandIn::Runs& ran) {
      OnCrash(*raw, ran);
    });
  }
}

std::string RunLedger::Stamp(const std::string& what) const {
  const absl::Duration since = internal::EventLoop::MonoNow() - m_begin;
  return absl::StrCat(absl::ToInt64Milliseconds(since), " ms: ", what);
}

void RunLedger::Note(const std::string& what) {
  m_story.push_back(Stamp(what));
}

void RunLedger::Break(const std::string& what) {
  m_broken.push_back(Stamp(what));
}

void RunLedger::BreakFor(const std::string& job, const std::string& what) {
  m_broken_jobs.insert(job);
  Trace(job, "broken");
  Break(what);
}

void RunLedger::Trace(const std::string& job, const std::string& what) {
  if (const auto it = m_jobs.find(job); it != m_jobs.end()) {
    it->second.trace.push_back(Stamp(what));
  }
}

std::vector<std::string> RunLedger::TracesOf(
    const std::set<std::string>& jobs) const {
  std::vector<std::string> lines;
  for (const std::string& job : jobs) {
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end()) {
      continue;
    }
    for (const std::string& line : it->second.trace) {
      lines.push_back(absl::StrCat(job, " ", line));
    }
  }
  return lines;
}

void RunLedger::JobHandedIn(const std::string& job) {
  m_jobs.try_emplace(job);
}

void RunLedger::AttemptEnded(const std::string& job, AttemptEnd end) {
  ++m_ends[end];
  if (end == AttemptEnd::kBroken) {
    m_cut_off_jobs.insert(job);
  }
  if (end == AttemptEnd::kFailed) {
    CheckFailure(job);
  }
  if (end != AttemptEnd::kNotRun) {
    m_jobs[job].all_refused = false;
  }
}

uint64_t RunLedger::attempts(AttemptEnd end) const {
  const auto it = m_ends.find(end);
  return it == m_ends.end() ? 0 : it->second;
}

void RunLedger::OnStart(const WorkerStandIn& worker, const RunKey& key) {
  ++m_starts;
  const auto job = m_jobs.find(key.task.job);
  if (job == m_jobs.end()) {
    BreakFor(key.task.job, absl::StrCat("a task that nobody asked for: ",
                                        TaskText(key.task)));
    return;
  }
  job->second.started = true;
  Trace(key.task.job, absl::StrCat(TaskText(key.task), " run ", key.run,
                                   " starts on ", worker.incarnation()));
  if (m_evacuated.contains(&worker)) {
    BreakFor(key.task.job, absl::StrCat(TaskText(key.task), " started on ",
                                        worker.incarnation(),
                                        " in an evacuated data centre"));
  }
  for (WorkerStandIn* other : m_workers) {
    for (const auto& [running, done_at] : other->Running()) {
      const bool itself = other == &worker && running == key;
      if (running.task == key.task && !itself) {
        BreakFor(key.task.job,
                 absl::StrCat(TaskText(key.task), " run ", key.run, " on ",
                              worker.incarnation(), " beside run ", running.run,
                              " on ", other->incarnation()));
      }
    }
  }
}

void RunLedger::OnCrash(const WorkerStandIn& worker,
                        const WorkerStandIn::Runs& ran) {
  for (const auto& [key, done_at] : ran) {
    m_crashed[key.task].push_back(worker.incarnation());
  }
}

// At the moment of the answer: a later crash is no reason for it.
void RunLedger::CheckFailure(const std::string& job) {
  if (m_failing_jobs.contains(job)) {
    return;
  }
  std::string seen;
  for (const auto& [task, workers] : m_crashed) {
    if (task.job != job) {
      continue;
    }
    if (workers.size() >= 2) {
      return;
    }
    absl::StrAppend(&seen, ", ", workers.front(), " under ", TaskText(task));
  }
  BreakFor(job, absl::StrCat(
                    job, " failed, though no two workers crashed under a task",
                    seen));
}

void RunLedger::CheckNothingRuns() {
  for (WorkerStandIn* worker : m_workers) {
    for (const auto& [key, done_at] : worker->Running()) {
      BreakFor(key.task.job,
               absl::StrCat(TaskText(key.task), " runs on at ",
                            worker->incarnation(), " for nobody"));
    }
  }
}

void RunLedger::CheckRefusals() {
  for (const auto& [id, job] : m_jobs) {
    if (job.started && job.all_refused) {
      BreakFor(id, absl::StrCat(id, " started, and was refused as not run"));
    }
  }
}

}  // namespace egretswitch::soak
