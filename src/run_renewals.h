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
  // Agents that are asked for room at one call: a thousand agents are asked one
  // after the other, not at once.
  static constexpr int kMostAsked = 16;

  struct Due {
    WorkerSeat* seat = nullptr;
    std::vector<RoomWanted> wanted;  // the agent is to tell when it has room
  };

  // Marks each agent that it names as asked now.
  // `waiting` is what waits for each service.
  std::vector<Due> TakeDue(
      WorkerPool& pool,
      const std::map<std::string, std::vector<RoomWanted>>& waiting,
      MonoTime now);

 private:
  std::set<std::string> Askable(
      const WorkerPool& pool,
      const std::map<std::string, std::vector<RoomWanted>>& waiting,
      MonoTime now);

  std::string m_last_asked;  // the next question goes to the one after
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_RENEWALS_H_
