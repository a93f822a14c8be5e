// The entry's records of the workers, one for each agent, and the choice of the
// worker that runs a task.
//
//   pool.Update(*pool.Find("agent-3"), reports, now);
//   PooledWorker* worker =
//       pool.Pick("order-desk", {6200, 64, 0}, avoid, now);
//
// A worker's free capacity is estimated as what its agent reported last, less
// the starts that this entry has sent since. Other entries use the same
// workers, so the agent may still refuse a start, which costs one message each
// way.
#ifndef EGRETSWITCH_SRC_WORKER_POOL_H_
#define EGRETSWITCH_SRC_WORKER_POOL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "abandoned_runs.h"
#include "clock.h"
#include "evacuations.h"
#include "remote_clock.h"
#include "run_messages.h"
#include "worker_speed.h"

namespace egretswitch::internal {

// An agent and the worker beside it, as this entry has them on record.
struct PooledWorker {
  struct SentStart {
    uint64_t sequence = 0;
    TaskNeeds needs;  // of all its runs together
  };

  std::string agent;
  uint64_t incarnation = 0;  // of the agent
  std::string data_centre;
  bool evacuated = false;         // gets no new tasks; its runs go on
  uint64_t evacuations_sent = 0;  // offset of the state last sent to it
  // Hash of the agent's name under the entry's seed. The entry adds workers to
  // its subset in this order (worker_subset.h).
  uint64_t rendezvous_hash = 0;
  bool in_subset = true;
  bool linked = false;
  MonoTime unlinked_at = absl::ZeroDuration();
  WorkerStatus status;
  RemoteClock clock;
  TaskNeeds free;  // this entry's estimate of the free capacity
  // Starts that `status` does not count yet.
  std::deque<SentStart> unreported_starts;
  uint64_t last_sequence = 0;

  // The tasks of this entry's open jobs whose runs are at this agent, also at a
  // previous incarnation of it. Changed by WorkerPool::ChargeStart() and
  // RecordRunLeft() alone.
  uint32_t runs = 0;
  AbandonedRuns abandoned;
  MonoTime last_sent = absl::ZeroDuration();
  // Until when the worker's lease may last, as reported; also by a previous
  // incarnation of the agent.
  MonoTime lease_bound_until = absl::ZeroDuration();
  // Whether the worker may restart under its id, as reported; also by a
  // previous incarnation of the agent.
  bool may_restart_under_id = false;
  // When the present incarnation last reported that the worker answers it;
  // infinitely long ago if it has not.
  MonoTime worker_answered_at = -absl::InfiniteDuration();
  // When the present incarnation replaced the previous one.
  MonoTime replaced_at = absl::ZeroDuration();
  MonoTime last_received_at = absl::ZeroDuration();
  MonoTime next_renewal = absl::ZeroDuration();
  MonoTime next_capacity_request = absl::ZeroDuration();
  // When the oldest unanswered renewal was sent; infinite if none is pending.
  MonoTime unanswered_since = absl::InfiniteDuration();
  // Earliest time of another dial beside an unresponsive link.
  MonoTime next_redial = absl::ZeroDuration();

  WorkerSpeed speed;  // of the present incarnation of the worker
  // Jobs in a row that failed or hung on this worker.
  uint32_t consecutive_bad_jobs = 0;
  // The chance that a sound worker has these jobs in a row.
  double chance_of_bad_jobs = 1;
  std::string last_bad_job;
  MonoTime ejected_until = absl::ZeroDuration();
  bool on_probation = false;

  // Whether runs of this entry may be there, also of ended attempts.
  bool HoldsRuns() const { return runs > 0 || !abandoned.empty(); }
  // A renewal is sent now, which the agent is to answer.
  void RecordRenewal(MonoTime now);
  // Whether the agent is disconnected or has left a renewal unanswered.
  bool Suspect(MonoTime now) const;
  // When the runs at this incarnation of the agent have certainly ended without
  // a report, if the last message that may want them was sent then.
  MonoTime RunsOverAt(uint64_t agent_incarnation,
                      MonoTime last_message_at) const;
  // Whether the worker may be given tasks, apart from its free capacity.
  bool Usable(MonoTime now) const;
  // Whether the worker is in the subset, or its last report is recent enough
  // for its free capacity to be still as reported.
  bool HasFreshStatus(MonoTime now) const;
};

class WorkerPool {
 public:
  explicit WorkerPool(uint64_t seed) : m_seed(seed), m_random(seed) {}

  PooledWorker& LinkUp(const std::string& agent,
                       uint64_t incarnation,
                       std::string_view data_centre,
                       MonoTime now);
  // Null if the agent is not on record.
  PooledWorker* Find(const std::string& agent);
  const PooledWorker* Find(const std::string& agent) const;
  // The agent must have tasks of this entry, which keep its record alive.
  PooledWorker& Get(const std::string& agent);
  // Returns the agent that has left a renewal unanswered for longest, so that
  // its link is redialled, and records the redial. Null if none is due.
  PooledWorker* TakeUnresponsive(MonoTime now);
  // Drops the records of agents that have been without a link for a while and
  // hold no runs of this entry.
  void DropUnlinked(MonoTime now);
  void Update(PooledWorker& worker, const RunReports& reports, MonoTime now);

  // Returns the best worker outside `avoid` that the task fits on, or null.
  PooledWorker* Pick(std::string_view service,
                     const TaskNeeds& needs,
                     const std::set<std::string>& avoid,
                     MonoTime now);

  void SetEvacuations(Evacuations state);
  const Evacuations& evacuations() const { return m_evacuations; }
  // Whether the service has linked workers, and all of them are evacuated.
  bool AllEvacuated(std::string_view service) const;

  // Whether the task fits on any usable worker of the service when it is empty.
  bool CouldFit(std::string_view service,
                const TaskNeeds& needs,
                MonoTime now) const;
  // Whether any linked worker accepts tasks or is evacuated. Evacuated ones
  // count because their callers are answered that all data centres are
  // evacuated.
  bool AnyWorker() const;
  // Whether runs of this entry are at an unresponsive agent, or may be at one
  // that was replaced, with runs of the previous incarnation that may go on.
  bool AnyRunsUncertain(MonoTime now) const;

  // Until when the lease of any worker may last, as reported.
  MonoTime LatestLeaseBound() const;

  // Figures of a service as Pick() sees it, for logs that explain why a job was
  // not placed.
  struct View {
    uint32_t workers = 0;                // linked, of that service
    uint32_t accepting = 0;              // of these, those that accept tasks
    uint32_t evacuated = 0;              // of the workers
    uint32_t usable = 0;                 // of the workers, see Usable()
    uint32_t in_subset = 0;              // of the usable ones
    uint64_t free_millicores = 0;        // of the usable ones, estimated
    uint64_t unreported_millicores = 0;  // of starts that no report counts yet
  };
  View ViewOf(std::string_view service, MonoTime now) const;

  // Subtracts `count` tasks from the free capacity and numbers their start
  // (`last_sequence`).
  void ChargeStart(PooledWorker& worker,
                   const TaskNeeds& needs,
                   uint32_t count);
  // A run that ChargeStart() counted has ended, or was abandoned.
  void RecordRunLeft(const std::string& agent);

  void RecordGoodRun(PooledWorker& worker);
  // Returns true if this ejects the worker.
  // `chance` is that of such a run on a sound worker.
  bool RecordBadRun(PooledWorker& worker,
                    const std::string& job,
                    MonoTime now,
                    double chance = kChanceOfFailure);
  static constexpr double kChanceOfFailure = 0.01;

  // The subset of one service, as last selected.
  struct Subset {
    uint32_t workers = 0;    // usable ones in the subset
    bool sufficient = true;  // for the open work of the service
  };
  using Subsets = std::map<std::string, Subset>;
  const Subsets& subsets() const { return m_subsets; }
  void SetSubsets(Subsets subsets) { m_subsets = std::move(subsets); }
  // Called when none of the linked workers could hold what waits.
  void MarkSubsetInsufficient(const std::string& service) {
    m_subsets[service].sufficient = false;
  }

  std::map<std::string, PooledWorker>& workers() { return m_workers; }
  const std::map<std::string, PooledWorker>& workers() const {
    return m_workers;
  }

 private:
  bool MayBeEjected(MonoTime now) const;
  double Score(const PooledWorker& worker,
               const TaskNeeds& needs,
               MonoTime now);

  std::map<std::string, PooledWorker> m_workers;
  Subsets m_subsets;
  Evacuations m_evacuations;
  const uint64_t m_seed;
  std::minstd_rand m_random;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_POOL_H_
