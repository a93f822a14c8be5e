// Recent losses of workers, as reported to an entry.
//
//   losses.Record("agent-3", now);
//   losses.LostAround(now, {"agent-1"})  -> 1
//
// Workers that are lost at about the same time probably share a cause, such as
// a rack without power. Their agents detect it some hundred milliseconds apart.
#ifndef EGRETSWITCH_SRC_WORKER_LOSSES_H_
#define EGRETSWITCH_SRC_WORKER_LOSSES_H_

#include <deque>
#include <set>
#include <string>

#include "clock.h"

namespace egretswitch::internal {

class WorkerLosses {
 public:
  // Records that the worker beside `agent` was lost.
  void Record(const std::string& agent, MonoTime now);

  // Returns how many agents, without those in `excluded`, lost a worker at
  // about `at`.
  size_t LostAround(MonoTime at, const std::set<std::string>& excluded) const;

 private:
  struct Loss {
    std::string agent;
    MonoTime detected_at;
  };
  std::deque<Loss> m_losses;  // the oldest first
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_LOSSES_H_
