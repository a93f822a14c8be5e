// Quiet times: each entry has one caller that waits long, and one that hands in
// a short job after the other, of which one in 20 can never be done. When such
// a job has failed beside the long one, the machine of that agent is lost for
// good and no further job comes for a while. No entry is disturbed.
#include <signal.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "caller.h"
#include "event_loop.h"
#include "scenes.h"

namespace egretswitch::review {
namespace {

using internal::EventLoop;

constexpr uint32_t kMaxRounds = 6;
// The share of `poison` in the site file.
constexpr uint32_t kPoisonOneIn = 20;
// The longest task of the site file, and how long a caller waits for it.
constexpr int kLongTaskMs = 3600;
constexpr absl::Duration kPatience = absl::Seconds(14);
constexpr absl::Duration kLongestSearch = absl::Seconds(3);
constexpr absl::Duration kUntilLoss = absl::Milliseconds(60);
// An entry renews its runs at an agent for 1.2 s after a failing job there.
constexpr absl::Duration kRecent = absl::Milliseconds(900);
constexpr absl::Duration kSettle = absl::Milliseconds(2500);
// Of the rule: so many ends of so many processes.
constexpr int kOwnEnds = 3;
constexpr int kProcesses = 2;

// The callers of one entry, for one round.
class QuietCallers {
 public:
  QuietCallers(Deployment& deployment,
               Record& record,
               size_t entry,
               uint32_t first_job)
      : m_deployment(deployment),
        m_record(record),
        m_entry(deployment.entry(entry)),
        m_next_job(first_job),
        m_long_job(JobId(m_next_job++)) {}

  void Begin() {
    m_patient = std::thread([this] {
      Submit(m_long_job, absl::StrCat("work ", kLongTaskMs), kLongTaskMs);
    });
    m_other = std::thread([this] { SubmitShortJobs(); });
  }

  // No further short job is handed in.
  void EndShortJobs() {
    m_ended = true;
    m_other.join();
  }

  void Join() { m_patient.join(); }

  // The agent of the long job's worker, if a failing job has ended there last
  // and just now.
  std::optional<size_t> AgentOfBoth() const {
    const std::lock_guard lock(m_mutex);
    const bool recent = EventLoop::MonoNow() - m_failed_at < kRecent;
    return recent && m_failed_at_worker == LastWorkerOf(m_long_job)
               ? NumberOf(m_failed_at_worker)
               : std::nullopt;
  }

 private:
  void Submit(const std::string& job, const std::string& spec, int ms) {
    m_record.Note(
        absl::StrCat("POST ", job, " \"", spec, "\" sent to ", m_entry.name));
    const CallResult result =
        Call(m_entry.callers_port, {.method = "POST",
                                    .path = "/checks/" + job,
                                    .body = JobBody(spec, 1, ms),
                                    .patience = kPatience});
    m_record.Note(absl::StrCat("POST ", job, " at ", m_entry.name, " answered ",
                               result.status, " ", result.body));
  }

  void SubmitShortJobs() {
    for (uint32_t i = 1; !m_ended; ++i) {
      const std::string job = JobId(m_next_job++);
      if (i % kPoisonOneIn != 0) {
        Submit(job, "work 5", 5);
        continue;
      }
      Submit(job, "fail 5", 5);
      const std::lock_guard lock(m_mutex);
      if (LastWorkerOf(job) == LastWorkerOf(m_long_job)) {
        m_failed_at_worker = LastWorkerOf(job);
        m_failed_at = EventLoop::MonoNow();
      }
    }
  }

  std::string LastWorkerOf(const std::string& job) const {
    const std::vector<StartedRun> runs =
        m_record.StartsOf(job, absl::ZeroDuration());
    return runs.empty() ? "" : runs.back().worker;
  }

  std::optional<size_t> NumberOf(const std::string& worker) const {
    for (size_t i = 0; i < m_deployment.agents(); ++i) {
      if (worker == absl::StrCat("worker-", i + 1)) {
        return i;
      }
    }
    return std::nullopt;
  }

  Deployment& m_deployment;
  Record& m_record;
  const Process& m_entry;
  uint32_t m_next_job;
  const std::string m_long_job;
  std::atomic<bool> m_ended = false;
  mutable std::mutex m_mutex;
  std::string m_failed_at_worker;
  MonoTime m_failed_at = -absl::InfiniteDuration();
  std::thread m_patient;
  std::thread m_other;
};

void PlayRound(Deployment& deployment,
               Record& record,
               uint32_t round,
               bool trouble) {
  constexpr uint32_t kJobsOfEntry = 100'000;
  const MonoTime begin = EventLoop::MonoNow();
  std::array<std::unique_ptr<QuietCallers>, kProcesses> callers;
  for (uint32_t i = 0; i < kProcesses; ++i) {
    callers[i] = std::make_unique<QuietCallers>(
        deployment, record, i, (round * kProcesses + i) * kJobsOfEntry);
    callers[i]->Begin();
  }
  const auto both_found = [&callers] {
    return std::all_of(callers.begin(), callers.end(), [](const auto& caller) {
      return caller->AgentOfBoth().has_value();
    });
  };
  while (!both_found() && EventLoop::MonoNow() < begin + kLongestSearch) {
    deployment.RunFor(absl::Milliseconds(5));
  }
  for (const auto& caller : callers) {
    caller->EndShortJobs();
  }
  deployment.RunFor(kUntilLoss);
  size_t lost = 0;
  for (const auto& caller : callers) {
    const std::optional<size_t> agent = caller->AgentOfBoth();
    if (trouble && agent.has_value() && !deployment.agent(*agent).removed) {
      deployment.RemoveForGood(deployment.agent(*agent));
      ++lost;
    }
  }
  deployment.RunFor(begin + kPatience + absl::Milliseconds(300) -
                    EventLoop::MonoNow());
  for (const auto& caller : callers) {
    caller->Join();
  }
  for (size_t i = 0; i < lost; ++i) {
    deployment.AddMachine();
  }
  deployment.RunFor(kSettle);
}

int ProcessesThatEnded(Deployment& deployment) {
  int processes = 0;
  for (size_t i = 0; i < deployment.entries(); ++i) {
    processes += deployment.entry(i).own_ends >= kOwnEnds ? 1 : 0;
  }
  return processes;
}

}  // namespace

bool PlayLostAgent(Deployment& deployment, Record& record, bool trouble) {
  for (uint32_t round = 0;
       round < kMaxRounds && ProcessesThatEnded(deployment) < kProcesses;
       ++round) {
    PlayRound(deployment, record, round, trouble);
  }
  for (size_t i = 0; i < deployment.entries(); ++i) {
    const Process& entry = deployment.entry(i);
    record.Note(absl::StrCat(entry.name, " ended by itself ", entry.own_ends,
                             " times"));
  }
  if (ProcessesThatEnded(deployment) >= kProcesses) {
    record.Break(absl::StrCat("Fault: ", kProcesses,
                              " entries ended by themselves ", kOwnEnds,
                              " times each, undisturbed"));
  }
  return true;
}

}  // namespace egretswitch::review
