// The connections that a server has accepted, and whether one of them holds
// bytes that the server has not read yet.
//
//   connections.Opened(fd);
//   connections.AnyUnread()   // a request may lie there
//   connections.Closed(fd);
#ifndef EGRETSWITCH_SRC_OPEN_CONNECTIONS_H_
#define EGRETSWITCH_SRC_OPEN_CONNECTIONS_H_

#include <mutex>

#include "absl/container/flat_hash_set.h"

namespace egretswitch::internal {

// Thread-safe.
class OpenConnections {
 public:
  void Opened(int fd);
  // Before the descriptor is closed.
  void Closed(int fd);

  bool AnyUnread() const;

 private:
  mutable std::mutex m_mutex;  // guards m_fds
  absl::flat_hash_set<int> m_fds;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_OPEN_CONNECTIONS_H_
