// What an entry knows of the workers, each behind its agent, and which of them
// should run a task.
//
//   pool.Update("agent-3", status, now);
//   PooledWorker* seat = pool.Pick("order-desk", {6200, 64, 0}, avoid);
//
// The room of a worker is what its agent said last, less what this entry has
// sent there since. Other entries use the workers too, so a start may still be
// turned away by the agent: that costs a message each way and nothing else.
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

#include "clock.h"
#include "evacuations.h"
#include "remote_clock.h"
#include "run_messages.h"

namespace egretswitch::internal {

// One agent and the worker beside it.
struct PooledWorker {
  struct SentStart {
    uint64_t sequence = 0;
    TaskNeeds needs;  // of all its runs together
  };

  std::string agent;
  uint64_t incarnation = 0;  // of the agent
  std::string data_centre;
  bool evacuated = false;         // gets nothing new; its runs go on
  uint64_t evacuations_sent = 0;  // the state that this entry sent last
  // By a hash of its name and the entry's seed: the order in which this entry
  // takes workers into its reach (worker_reach.h).
  uint64_t rendezvous_hash = 0;
  bool in_subset = true;
  bool linked = false;
  MonoTime unlinked_at = absl::ZeroDuration();
  WorkerStatus status;
  RemoteClock clock;
  TaskNeeds free;                 // by this entry's estimate
  std::deque<SentStart> unreported_starts;  // starts that `status` does not count yet
  uint64_t last_sequence = 0;

  uint32_t runs = 0;  // of this entry
  MonoTime last_sent = absl::ZeroDuration();
  MonoTime replaced_at = absl::ZeroDuration();  // by the present incarnation
  MonoTime last_received_at = absl::ZeroDuration();
  MonoTime next_renewal = absl::ZeroDuration();
  MonoTime next_capacity_request = absl::ZeroDuration();
  // The oldest renewal without an answer; infinite: all are answered.
  MonoTime unanswered_since = absl::InfiniteDuration();
  MonoTime next_redial = absl::ZeroDuration();  // beside a link that is silent

  // Run time over the caller's estimate, learnt; 1 before anything is.
  double slowness = 1;
  uint32_t consecutive_bad_jobs =
      0;  // jobs that failed or hung here, one after another
  std::string last_bad_job;
  MonoTime ejected_until = absl::ZeroDuration();
  bool on_probation = false;

  bool Suspect(MonoTime now) const;
  // Whether its worker may be given tasks at all, be there room or not.
  bool Usable(MonoTime now) const;
  // In reach, or heard of so lately that its room is as it was told.
  bool HasFreshStatus(MonoTime now) const;
};

class WorkerPool {
 public:
  explicit WorkerPool(uint64_t seed) : m_seed(seed), m_random(seed) {}

  PooledWorker& LinkUp(const std::string& agent,
                     uint64_t incarnation,
                     std::string_view data_centre,
                     MonoTime now);
  // Null when the agent, or this incarnation of it, is not known.
  PooledWorker* Find(const std::string& agent);
  const PooledWorker* Find(const std::string& agent) const;
  // The agent whose link is to be dialled anew, which counts as dialled: the
  // one that has left a renewal unanswered for longest. Null: none is due.
  PooledWorker* TakeUnresponsive(MonoTime now);
  // Forgets agents that have been without a link for long, and hold no runs.
  void DropUnlinked(MonoTime now);
  void Update(PooledWorker& worker, const RunReports& reports, MonoTime now);

  // The best worker with room, outside `avoid`; null: there is none now.
  PooledWorker* Pick(std::string_view service,
                   const TaskNeeds& needs,
                   const std::set<std::string>& avoid,
                   MonoTime now);

  void SetEvacuations(Evacuations state);
  const Evacuations& evacuations() const { return m_evacuations; }
  // Whether the service has linked workers, and all of them are evacuated.
  bool AllEvacuated(std::string_view service) const;

  // Whether any usable worker of the service, when empty, holds such a task.
  bool CouldFit(std::string_view service,
                const TaskNeeds& needs,
                MonoTime now) const;
  // Whether there is a worker at all, one that is evacuated included: its
  // callers are told so.
  bool AnyWorker() const;
  // Whether runs of this entry are at an agent that is silent, or that was
  // replaced so lately that the former one's runs may go on.
  bool AnyRunsUncertain(MonoTime now) const;

  // What Pick() sees of a service, for logs: why a job found no room.
  struct View {
    uint32_t workers = 0;             // linked, of that service
    uint32_t accepting = 0;           // of these, neither leaving nor silent
    uint32_t evacuated = 0;           // of the workers
    uint32_t usable = 0;              // of these, neither suspected nor ejected
    uint32_t in_subset = 0;            // of these
    uint64_t free_millicores = 0;     // of the usable ones, estimated
    uint64_t unreported_millicores = 0;  // started there, not yet in a report
  };
  View ViewOf(std::string_view service, MonoTime now) const;

  // Takes the room of `count` tasks for the start numbered `sequence`.
  void ChargeStart(PooledWorker& worker, const TaskNeeds& needs, uint32_t count);

  // What became of runs here. True when this ejects the worker.
  void RecordGoodRun(PooledWorker& worker, uint32_t run_ms, uint32_t estimate_ms);
  bool RecordBadRun(PooledWorker& worker, const std::string& job, MonoTime now);

  // What the last decision about the reach came to, by service.
  struct Subset {
    uint32_t workers = 0;  // usable ones in reach
    bool enough = true;    // for the work in hand
  };
  using Subsets = std::map<std::string, Subset>;
  const Subsets& subsets() const { return m_subsets; }
  void SetSubsets(Subsets subsets) { m_subsets = std::move(subsets); }
  // None of the linked workers could hold what waits.
  void MarkSubsetInsufficient(const std::string& service) {
    m_subsets[service].enough = false;
  }

  std::map<std::string, PooledWorker>& workers() { return m_seats; }
  const std::map<std::string, PooledWorker>& workers() const { return m_seats; }

 private:
  bool MayBeEjected(MonoTime now) const;
  double Score(const PooledWorker& worker, const TaskNeeds& needs);

  std::map<std::string, PooledWorker> m_seats;
  Subsets m_subsets;
  Evacuations m_evacuations;
  const uint64_t m_seed;
  std::minstd_rand m_random;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_POOL_H_
