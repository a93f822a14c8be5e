// Decides when an entry sends a renewal to which agents: those that hold its
// runs, and, while its jobs wait, those that may have free capacity.
//
//   renewals.TakeDue(pool, {}, now)                    -> [{agent-3, {}}]
//   renewals.TakeDue(pool, {{"desk", {{0, {6200, 64, 0}, 12}}}}, now)
//       -> [{agent-3, {{0, {6200, 64, 0}, 7}}},
//           {agent-4, {{0, {6200, 64, 0}, 7}}}]
#ifndef EGRETSWITCH_SRC_RUN_RENEWALS_H_
#define EGRETSWITCH_SRC_RUN_RENEWALS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "clock.h"
#include "waiting_jobs.h"
#include "worker_pool.h"

namespace egretswitch::internal {

class RunRenewals {
 public:
  // Agents of the subset that get a capacity request at one call, at most one
  // for each waiting task, so that a thousand agents are not asked at once.
  static constexpr uint32_t kMaxSubsetRequests = 16;
  // Agents outside the subset that get one, since capacity may be free there.
  static constexpr uint32_t kMaxOutsideRequests = 2;

  struct Due {
    PooledWorker* worker = nullptr;
    std::vector<CapacityRequest> wanted;  // empty for a mere renewal
  };

  // Returns the renewals that are due, and records them as sent. `waiting`
  // holds the waiting tasks of each service.
  std::vector<Due> TakeDue(
      WorkerPool& pool,
      const std::map<std::string, std::vector<CapacityRequest>>& waiting,
      MonoTime now);

 private:
  using Waiting = std::map<std::string, std::vector<CapacityRequest>>;

  std::set<std::string> AgentsToAsk(const WorkerPool& pool,
                                    const Waiting& waiting,
                                    MonoTime now);
  static std::set<std::string> TakeAgentsToAsk(std::string& last_asked,
                                               const WorkerPool& pool,
                                               bool in_subset,
                                               uint32_t limit,
                                               const Waiting& waiting,
                                               MonoTime now);

  // The agents that got the last capacity request, inside and outside the
  // subset. The next one goes to the agent after it.
  std::string m_last_in_subset;
  std::string m_last_outside;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_RENEWALS_H_
