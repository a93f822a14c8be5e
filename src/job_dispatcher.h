// An entry's decisions about the jobs that reached it: where and when their
// tasks run, what is tried again, and what the caller is told. No I/O; the
// shell carries out the actions.
//
//   JobArrived{5c0e, 4 tasks}             -> SendRunMessage{agent-3, StartRuns}
//   PeerSaid{agent-3, RunReports{done}}   -> AnswerJob{kCompleted}
//   CallerLeft                            -> SendRunMessage{agent-3, StopRuns}
//
// A job belongs to the entry that its caller reached, until it is answered or
// the caller is gone. run_limits.h says why a later attempt at another entry
// never runs beside it.
#ifndef EGRETSWITCH_SRC_JOB_DISPATCHER_H_
#define EGRETSWITCH_SRC_JOB_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "clock.h"
#include "dispatch_policy.h"
#include "exhausted_room.h"
#include "open_job.h"
#include "run_counters.h"
#include "run_events.h"
#include "run_renewals.h"
#include "run_time_model.h"
#include "start_forecast.h"
#include "usual_patience.h"
#include "waiting_jobs.h"
#include "worker_losses.h"
#include "worker_pool.h"

namespace egretswitch::internal {

class JobDispatcher {
 public:
  explicit JobDispatcher(uint64_t seed, const DispatchPolicy& policy = {})
      : m_policy(policy), m_pool(seed), m_random(seed) {}

  JobDispatcherActions Handle(const JobDispatcherEvent& event, Now now);

  // Answers every open job, for the end of the process.
  JobDispatcherActions GiveUpAll(Now now);

  // When TimePassed is next due; infinite: nothing waits for time to pass.
  MonoTime NextWake() const;

  size_t open_jobs() const { return m_jobs.size(); }
  // Open jobs of the queue of which nothing has been sent to a worker.
  uint64_t JobsNotBegun(std::string_view queue) const;
  const RunCounters& counters() const { return m_counters; }
  const WorkerPool& pool() const { return m_pool; }

 private:
  // Between two looks at deadlines and stragglers while jobs are open: a tenth
  // of the shortest latency objective.
  static constexpr absl::Duration kCheckPeriod = absl::Milliseconds(20);

  void On(const JobArrived& event);
  void On(const CallerLeft& event);
  void On(const PeerUp& event);
  void On(const PeerDown& event);
  void On(const PeerSaid& event);
  void On(const EvacuationsChanged& event);
  void On(const TimePassed& event);

  void CorrectEstimates(OpenJob& job) const;
  void EndAfterPause();
  void TellEvacuations(PooledWorker& worker);
  void AskForRunsOrderedBefore(PooledWorker& worker);
  void TakeReport(PooledWorker& worker, const RunReport& report);
  void TaskDone(OpenJob& job,
                OpenTask& task,
                PooledWorker& worker,
                uint32_t run_ms);
  void TaskFailed(OpenJob& job, OpenTask& task, PooledWorker& worker);
  void TaskLostWorker(OpenJob& job,
                      OpenTask& task,
                      PooledWorker& worker,
                      const RunReport& report);
  void EndForLosses(OpenJob& job, const OpenTask& task, JobAnswer answer);
  void NoteIfLost(const PooledWorker& worker, const WorkerStatus& told);
  std::string LossesText(const std::vector<LostRun>& lost) const;
  void TaskNeverStarted(OpenJob& job,
                        OpenTask& task,
                        PooledWorker& worker,
                        RunEnd end);
  void Requeue(OpenJob& job, OpenTask& task, RunCounter reason);
  void NoteBadRun(PooledWorker& worker, const std::string& job);

  void Dispatch();
  void DispatchJob(OpenJob& job);
  PooledWorker* FindSeat(const OpenJob& job, const OpenTask& task);
  void SendStarts(OpenJob& job,
                  uint32_t step,
                  PooledWorker& worker,
                  const std::vector<OpenTask*>& tasks);
  void AskForWorkersThatFit();
  void SetReachByWork();
  void DialSilentAgent();
  void EndRunsOfLostAgents();
  void MoveStragglers(OpenJob& job);
  void RefuseLateJobs();
  void RefuseEvacuatedJobs();
  bool IsLate(const OpenJob& job, absl::Duration wait) const;
  std::vector<RunRenewals::Due> TakeDueRenewals();
  void EndOverdueJobs();

  JobAnswer GiveUp(const OpenJob& job, std::string_view reason);
  void StopRunsOf(OpenJob& job);
  void Finish(const std::string& id, JobAnswer answer);
  void Answer(CallId call, JobAnswer answer);
  void SendTo(PooledWorker& worker, RunMessageBody body);
  absl::Duration RetryAfter(absl::Duration wait = absl::ZeroDuration());
  void Log(std::string_view what, std::vector<NoteField> fields);
  void LogRoutine(std::string_view what, std::vector<NoteField> fields);

  const DispatchPolicy m_policy;
  JobDispatcherActions m_actions;
  Now m_now;
  MonoTime m_last_handled = absl::ZeroDuration();
  // Requests until then may have waited through a pause of this process.
  MonoTime m_stale_until = absl::ZeroDuration();
  WorkerPool m_pool;
  WorkerLosses m_worker_losses;
  RunRenewals m_renewals;
  ExhaustedRoom m_exhausted;  // in one pass over the waiting jobs
  std::minstd_rand m_random;
  // In the order of ids, so that a run is decided by its seed alone.
  std::map<std::string, std::unique_ptr<OpenJob>> m_jobs;
  WaitingJobs m_waiting;
  StartForecast m_forecast;
  UsualPatience m_usual_patience;
  RunTimeModel m_run_times;
  absl::flat_hash_map<CallId, std::string> m_job_of_call;
  uint64_t m_arrivals = 0;
  MonoTime m_next_check = absl::ZeroDuration();
  RunCounters m_counters;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_JOB_DISPATCHER_H_
