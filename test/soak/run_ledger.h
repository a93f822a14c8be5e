// What the workers and the callers saw, and whether a promise was broken:
//
//   a task never runs twice at the same time
//   a job whose every attempt was refused as not run never started
//   what was asked of a process that stops by plan is answered
//   once nobody asks any more, nothing runs on
//   a job is answered as failed only if two workers crashed while they ran one
//   of its tasks, or if it was expected to fail
//   nothing starts in a data centre that was evacuated some time ago
#ifndef EGRETSWITCH_TEST_SOAK_RUN_LEDGER_H_
#define EGRETSWITCH_TEST_SOAK_RUN_LEDGER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "clock.h"
#include "platform/test/worker_stand_in.h"

namespace egretswitch::soak {

// How an attempt at a job ended, as its caller saw it.
enum class AttemptEnd : uint8_t {
  kCompleted = 0,
  kFailed,
  kNotRun,
  kMayHaveRun,
  kBroken,   // the connection ended, or never came up
  kTimeout,  // the caller gave up
};

class RunLedger {
 public:
  // The workers must live while anything is checked.
  void Watch(const std::vector<std::unique_ptr<platform::WorkerStandIn>>& all);

  void Note(const std::string& what);
  void Break(const std::string& what);
  // The same, and the traces of the job are printed with it.
  void BreakFor(const std::string& job, const std::string& what);

  // From now on, since its data centre is evacuated.
  void ForbidStarts(const platform::WorkerStandIn& worker) {
    m_evacuated.insert(&worker);
  }

  void JobHandedIn(const std::string& job);
  // Each run of the job ends as failed, so that it can't be completed.
  void ExpectFailure(const std::string& job) { m_failing_jobs.insert(job); }
  void AttemptEnded(const std::string& job, AttemptEnd end);
  // An attempt ended as kBroken before its caller had sent its request.
  void AttemptNotSent() { ++m_not_sent; }

  // What the soak itself saw of a job's attempts on their way. Printed with a
  // promise that was broken for the job.
  void Trace(const std::string& job, const std::string& what);
  // The traces of all jobs for which a promise was broken.
  std::vector<std::string> TracesOfBroken() const {
    return TracesOf(m_broken_jobs);
  }
  // The traces of all jobs of which an attempt was cut off.
  std::vector<std::string> TracesOfCutOff() const {
    return TracesOf(m_cut_off_jobs);
  }

  // Checks at the end, when no caller waits any more.
  void CheckNothingRuns();
  void CheckRefusals();

  uint64_t attempts(AttemptEnd end) const;
  uint64_t attempts_not_sent() const { return m_not_sent; }
  uint64_t starts() const { return m_starts; }
  const std::vector<std::string>& broken() const { return m_broken; }
  const std::vector<std::string>& story() const { return m_story; }

 private:
  struct Job {
    bool started = false;
    bool all_refused = true;
    std::vector<std::string> trace;
  };

  std::vector<std::string> TracesOf(const std::set<std::string>& jobs) const;

  void OnStart(const platform::WorkerStandIn& worker,
               const internal::RunKey& key);
  void OnCrash(const platform::WorkerStandIn& worker,
               const platform::WorkerStandIn::Runs& ran);
  void CheckFailure(const std::string& job);
  std::string Stamp(const std::string& what) const;

  const MonoTime m_begin = internal::EventLoop::MonoNow();
  std::vector<platform::WorkerStandIn*> m_workers;
  std::set<const platform::WorkerStandIn*> m_evacuated;
  std::map<std::string, Job> m_jobs;
  // The workers that crashed while they ran the task.
  std::map<internal::TaskRef, std::vector<std::string>> m_crashed;
  std::map<AttemptEnd, uint64_t> m_ends;
  uint64_t m_starts = 0;
  std::vector<std::string> m_story;
  std::vector<std::string> m_broken;
  std::set<std::string> m_broken_jobs;
  std::set<std::string> m_failing_jobs;
  std::set<std::string> m_cut_off_jobs;
  uint64_t m_not_sent = 0;
};

}  // namespace egretswitch::soak

#endif  // EGRETSWITCH_TEST_SOAK_RUN_LEDGER_H_
