// Which agents an entry sends a renewal, and when: those that hold runs of it,
// and, while its jobs wait, those that may have room for them.
//
//   renewals.TakeDue(pool, /*jobs_wait=*/false, now)  -> [{agent-3, false}]
#ifndef EGRETSWITCH_SRC_RUN_RENEWALS_H_
#define EGRETSWITCH_SRC_RUN_RENEWALS_H_

#include <vector>

#include "clock.h"
#include "worker_pool.h"

namespace egretswitch::internal {

class RunRenewals {
 public:
  struct Due {
    WorkerSeat* seat = nullptr;
    bool wants_room = false;  // the agent is to tell when it has some
  };

  // Marks each agent that it names as asked now.
  std::vector<Due> TakeDue(WorkerPool& pool, bool jobs_wait, MonoTime now);
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_RENEWALS_H_
