// What an entry wants of one agent at present: the attempts whose runs there go
// on, and the runs that are to stop because their tasks move elsewhere.
//
//   orders.Add(job, task);
//   RenewRuns{.wanted_attempts = orders.attempts}
#ifndef EGRETSWITCH_SRC_AGENT_ORDERS_H_
#define EGRETSWITCH_SRC_AGENT_ORDERS_H_

#include <cstdint>
#include <vector>

#include "open_job.h"
#include "run_messages.h"

namespace egretswitch::internal {

struct AgentOrders {
  std::vector<uint64_t> attempts;  // as in StartRuns
  std::vector<StopRuns> stops;

  // Adds a task that was sent to the agent and is not reported as over. The
  // tasks of one job are added one after the other.
  void Add(const OpenJob& job, const OpenTask& task);
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_AGENT_ORDERS_H_
