// The connections that a server has accepted, and which of them may hold a
// request that the server does not know of yet.
//
//   connections.Opened(fd, now);
//   connections.AnyUnread()                        // bytes wait in a socket
//   connections.AnyUnusedSince(now - kPatience)    // no request so far
//   connections.RequestBegan(fd);
//   connections.Closed(fd);
#ifndef EGRETSWITCH_SRC_OPEN_CONNECTIONS_H_
#define EGRETSWITCH_SRC_OPEN_CONNECTIONS_H_

#include <cstddef>
#include <mutex>

#include "absl/container/flat_hash_map.h"
#include "clock.h"

namespace egretswitch::internal {

// Thread-safe.
class OpenConnections {
 public:
  void Opened(int fd, MonoTime now);
  // The headers of a request on it are complete.
  void RequestBegan(int fd);
  // Before the descriptor is closed.
  void Closed(int fd);

  bool AnyUnread() const;

  // Whether a connection that was opened after `since` has not carried a
  // request yet.
  bool AnyUnusedSince(MonoTime since) const;

  // All connections that have not carried a request, however old.
  size_t unused() const;

 private:
  struct Connection {
    MonoTime opened_at = absl::ZeroDuration();
    bool used = false;  // has carried a request
  };

  mutable std::mutex m_mutex;  // guards m_connections
  absl::flat_hash_map<int, Connection> m_connections;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_OPEN_CONNECTIONS_H_
