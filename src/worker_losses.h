// Which workers an entry has heard to be lost of late.
//
//   losses.Note("agent-3", now);
//   losses.LostAround(now, {"agent-1"})  -> 1
//
// Workers that are lost within a moment share a cause, such as a rack without
// power. When their agents notice differs by some hundred milliseconds.
#ifndef EGRETSWITCH_SRC_WORKER_LOSSES_H_
#define EGRETSWITCH_SRC_WORKER_LOSSES_H_

#include <deque>
#include <set>
#include <string>

#include "clock.h"

namespace egretswitch::internal {

class WorkerLosses {
 public:
  // The worker beside `agent` is lost.
  void Record(const std::string& agent, MonoTime now);

  // How many agents, but for those in `apart`, lost a worker at about `at`.
  size_t LostAround(MonoTime at, const std::set<std::string>& apart) const;

 private:
  struct Loss {
    std::string agent;
    MonoTime noticed_at;
  };
  std::deque<Loss> m_losses;  // the oldest first
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_LOSSES_H_
