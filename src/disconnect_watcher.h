// Tells when the other side closes a connection that nobody reads just now.
//
//   id = watcher.Watch(fd, [] { /* the caller went away */ });
//   watcher.Unwatch(id);   // before anyone reads, writes or closes fd again
#ifndef EGRETSWITCH_SRC_DISCONNECT_WATCHER_H_
#define EGRETSWITCH_SRC_DISCONNECT_WATCHER_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>

#include "absl/container/flat_hash_map.h"

namespace egretswitch::internal {

class DisconnectWatcher {
 public:
  DisconnectWatcher();
  ~DisconnectWatcher();
  DisconnectWatcher(const DisconnectWatcher&) = delete;
  DisconnectWatcher& operator=(const DisconnectWatcher&) = delete;

  // Calls `on_gone` once, from the watcher's thread, when the peer of `fd`
  // closes its sending side or the connection breaks. Returns an id, never 0.
  uint64_t Watch(int fd, std::function<void()> on_gone);

  // Forgets the watch; its callback may still be running in the other thread.
  void Unwatch(uint64_t id);

 private:
  struct Watched {
    int fd = -1;
    std::function<void()> on_gone;
  };

  void Run();
  void Report(uint64_t id);

  const int m_epoll;
  const int m_stop_event;
  std::mutex m_mutex;  // guards the next two
  uint64_t m_last_id = 0;
  absl::flat_hash_map<uint64_t, Watched> m_watched;
  std::thread m_thread;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_DISCONNECT_WATCHER_H_
