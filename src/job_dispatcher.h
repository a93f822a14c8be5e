// The job state machine of an entry: decides where and when tasks run, which
// tasks are retried and how each job is answered. It does no I/O; the daemon
// around it performs the actions that it returns.
//
//   JobArrived{5c0e, 4 tasks}             -> SendRunMessage{agent-3, StartRuns}
//   PeerMessageReceived{agent-3, RunReports{done}}   -> AnswerJob{kCompleted}
//   CallerLeft                            -> SendRunMessage{agent-3, StopRuns}
//   JobsCancelled{5c0e}    -> SendRunMessage{agent-3, StopRuns},
//                             AnswerJob{kCancelled}
//
// The entry that receives a job owns it until the job is answered or its caller
// disconnects. run_limits.h explains why a later attempt at another entry never
// runs concurrently, if its caller's departure is noticed; attempt_exchange.h
// covers the others.
#ifndef EGRETSWITCH_SRC_JOB_DISPATCHER_H_
#define EGRETSWITCH_SRC_JOB_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "absl/types/span.h"
#include "agent_orders.h"
#include "attempt_exchange.h"
#include "cancelled_jobs.h"
#include "clock.h"
#include "dispatch_policy.h"
#include "exhausted_capacity.h"
#include "first_workers.h"
#include "open_job.h"
#include "run_counters.h"
#include "run_events.h"
#include "run_renewals.h"
#include "run_times.h"
#include "start_forecast.h"
#include "straggler.h"
#include "typical_timeout.h"
#include "waiting_jobs.h"
#include "worker_losses.h"
#include "worker_pool.h"

namespace egretswitch::internal {

class JobDispatcher {
 public:
  explicit JobDispatcher(uint64_t seed, const DispatchPolicy& policy = {})
      : m_policy(policy), m_pool(seed), m_random(seed) {}

  JobDispatcherActions Handle(const JobDispatcherEvent& event, Now now);

  // Stops and answers every open job when the process shuts down.
  JobDispatcherActions AbandonAllJobs(Now now);

  // When TimePassed is next due.
  MonoTime NextWake() const;

  size_t open_jobs() const { return m_jobs.size(); }
  // Whether the job was cancelled while it was open here, or arrived here
  // afterwards; for as long as cancelled jobs are remembered.
  bool HasCancelled(const std::string& job) const {
    return m_cancelled_jobs.WasHeld(job);
  }
  const CancelledJobs& cancelled_jobs() const { return m_cancelled_jobs; }
  // Open jobs of the queue that have sent no run to any worker.
  uint64_t JobsNotStarted(std::string_view queue) const;
  const RunCounters& counters() const { return m_counters; }
  const WorkerPool& pool() const { return m_pool; }
  // Returns an error if the number of runs on record at any worker differs from
  // the number of tasks there.
  absl::Status CheckRunCounts() const;

 private:
  // Period of the checks for deadlines and stragglers while jobs are open: a
  // tenth of the shortest latency objective.
  static constexpr absl::Duration kCheckPeriod = absl::Milliseconds(20);

  void On(const JobArrived& event);
  void On(const CallerLeft& event);
  void On(const CallersChecked& event);
  void On(const JobsCancelled& event);
  void On(const CancelledJobsReceived& event);
  void On(const CancelMemoryChanged& event);
  void On(const EntryLinkUp& event);
  void On(const PeerConnected& event);
  void On(const PeerDisconnected& event);
  void On(const PeerMessageReceived& event);
  void On(const EvacuationsChanged& event);
  void On(const TimePassed& event);

  bool FreesCapacity(const JobsCancelled& event) const;
  void EndCancelled(const std::string& id);
  void CorrectEstimates(OpenJob& job) const;
  void LearnRun(OpenJob& job,
                OpenTask& task,
                PooledWorker& worker,
                uint32_t run_ms);
  void LearnStoppedRun(OpenJob& job,
                       OpenTask& task,
                       PooledWorker& worker,
                       uint32_t run_ms);
  void LearnSteps(const OpenJob& job);
  void LogRunTimes();
  void EndAfterPause();
  void RequestCallerCheck(absl::Duration paused);
  void SendEvacuations(PooledWorker& worker);
  void RequestEarlierRuns(PooledWorker& worker);
  void SendRenewal(PooledWorker& worker, RenewRuns renewal, AgentOrders orders);
  void RepeatStops(PooledWorker& worker, const AgentOrders& orders);
  void SendDueRenewals();
  void LogOver(std::string_view agent,
               const AbandonedRuns::Attempt& over,
               std::string_view known_by);
  void HandleReport(PooledWorker& worker, const RunReport& report);
  void TaskDone(OpenJob& job,
                OpenTask& task,
                PooledWorker& worker,
                uint32_t run_ms);
  void TaskFailed(OpenJob& job, OpenTask& task, PooledWorker& worker);
  void TaskLostWorker(OpenJob& job,
                      OpenTask& task,
                      PooledWorker& worker,
                      const RunReport& report);
  void EndAfterLosses(OpenJob& job, OpenTask& task, JobAnswer answer);
  void RecordIfLost(const PooledWorker& worker, const WorkerStatus& reported);
  std::string LossesText(const std::vector<LostRun>& lost_runs) const;
  void TaskNeverStarted(OpenJob& job,
                        OpenTask& task,
                        PooledWorker& worker,
                        RunEnd end);
  void LeaveAgent(OpenTask& task, OpenTask::State next);
  void Requeue(OpenJob& job, OpenTask& task, RunCounter reason);
  void RecordBadRun(PooledWorker& worker,
                    const std::string& job,
                    double chance = WorkerPool::kChanceOfFailure);

  void Dispatch();
  void DispatchJob(OpenJob& job);
  PooledWorker* ReserveWorker(const OpenJob& job, const OpenTask& task);
  void SendStarts(OpenJob& job,
                  uint32_t step,
                  PooledWorker& worker,
                  const std::vector<OpenTask*>& tasks);
  void RequestFittingWorkers();
  void UpdateWorkerSubset();
  void RedialUnresponsiveAgent();
  void HandleAttempts(const PeerMessageReceived& event,
                      const OpenAttempts& message);
  void HandleAttempts(const PeerMessageReceived& event,
                      const EndAttempts& message);
  void EndSuperseded(const std::string& id, const std::string& entry);
  void AwaitFormerAttempts(OpenJob& job);
  // Returns whether the job still waits for a former attempt; once it does not,
  // logs so.
  bool CheckAwaitsFormerAttempt(OpenJob& job);
  void RecordAttemptEnded(const OpenJob& job);
  void RecordRunsOfEndedAttempts();
  void SendAttempts();
  void RequeueRunsOfLostAgents();
  void LogCountedAsOver(const OpenJob& job,
                        const OpenTask& task,
                        bool agent_replaced,
                        MonoTime last_message_at);
  void MoveStragglers(OpenJob& job);
  bool MayMoveEarly(const OpenJob& job, const OpenTask& task) const;
  double UsualMs(const OpenJob& job, uint32_t step) const;
  absl::Duration UntilObjective(const OpenJob& job,
                                uint32_t step,
                                double step_ms) const;
  MoveChances ChancesOfMove(const OpenJob& job,
                            const OpenTask& task,
                            const PooledWorker& best) const;
  void StopStraggler(OpenJob& job,
                     OpenTask& task,
                     PooledWorker& worker,
                     const MoveChances& chances,
                     bool hangs);
  double ChanceOfLongerRun(const OpenJob& job, const OpenTask& task) const;
  void RefuseLateJobs();
  void RefuseEvacuatedJobs();
  bool IsLate(const OpenJob& job, absl::Duration wait) const;
  bool MustAwaitFirstWorker(const OpenJob& job) const;
  void Hold(OpenJob& job, RunCounter reason);
  std::vector<RunRenewals::Due> TakeDueRenewals();
  void EndOverdueJobs();

  JobAnswer AbandonedAnswer(const OpenJob& job, std::string_view reason);
  void StopRunsOf(OpenJob& job);
  void LogAbandoned(const OpenJob& job,
                    absl::Span<const std::string> ordered,
                    absl::Span<const std::string> not_ordered);
  void Finish(const std::string& id, JobAnswer answer);
  void Answer(CallId call, JobAnswer answer);
  void SendTo(PooledWorker& worker, RunMessageBody body);
  absl::Duration RetryAfter(absl::Duration wait = absl::ZeroDuration());
  void Log(std::string_view event_name, std::vector<NoteField> fields);
  void LogRoutine(std::string_view event_name, std::vector<NoteField> fields);

  const DispatchPolicy m_policy;
  JobDispatcherActions m_actions;
  Now m_now;
  MonoTime m_last_handled = absl::ZeroDuration();
  // Requests read before this time may have been queued while the process was
  // paused.
  MonoTime m_stale_until = absl::ZeroDuration();
  // False from a short pause until the callers' connections were looked at. No
  // start and no renewal is sent meanwhile.
  bool m_callers_checked = true;
  std::set<std::string> m_agents_to_renew;  // linked meanwhile
  WorkerPool m_pool;
  WorkerLosses m_worker_losses;
  RunRenewals m_renewals;
  ExhaustedCapacity m_exhausted_capacity;  // of the current dispatch pass
  std::minstd_rand m_random;
  // Ordered by id, so that a simulation depends on its seed alone.
  std::map<std::string, std::unique_ptr<OpenJob>> m_jobs;
  WaitingJobs m_waiting;
  AttemptExchange m_attempts;
  CancelledJobs m_cancelled_jobs;
  bool m_knows_cancelled_jobs = true;  // else no job may start
  StartForecast m_forecast;
  FirstWorkers m_first_workers;
  TypicalTimeout m_typical_timeout;
  RunTimes m_run_times;
  RunOverhead m_run_overhead;
  MoveBudget m_move_budget;
  absl::flat_hash_map<CallId, std::string> m_job_of_call;
  uint64_t m_arrivals = 0;
  MonoTime m_next_check = absl::ZeroDuration();
  MonoTime m_next_run_times_log = absl::ZeroDuration();
  RunCounters m_counters;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_JOB_DISPATCHER_H_
