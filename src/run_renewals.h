// Which agents an entry sends a renewal, and when: those that hold runs of it,
// and, while its jobs wait, those that may have room for them.
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
  // Agents in reach that are asked for room at one call, one for each task that
  // waits: a thousand agents are asked one after the other, not at once.
  static constexpr uint32_t kMaxSubsetRequests = 16;
  // And of the others, since room may be where this entry does not look.
  static constexpr uint32_t kMaxOutsideRequests = 2;

  struct Due {
    PooledWorker* worker = nullptr;
    std::vector<CapacityRequest> wanted;  // the agent is to tell when it has room
  };

  // Marks each agent that it names as asked now.
  // `waiting` is what waits for each service.
  std::vector<Due> TakeDue(
      WorkerPool& pool,
      const std::map<std::string, std::vector<CapacityRequest>>& waiting,
      MonoTime now);

 private:
  using Waiting = std::map<std::string, std::vector<CapacityRequest>>;

  std::set<std::string> Askable(const WorkerPool& pool,
                                const Waiting& waiting,
                                MonoTime now);
  static std::set<std::string> AskableAfter(std::string& last_asked,
                                            const WorkerPool& pool,
                                            bool in_subset,
                                            uint32_t most,
                                            const Waiting& waiting,
                                            MonoTime now);

  // The next question goes to the one after: in reach, and of the others.
  std::string m_last_asked;
  std::string m_last_other;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_RENEWALS_H_
