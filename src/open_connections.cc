#include "open_connections.h"

#include <sys/ioctl.h>

#include <algorithm>

namespace egretswitch::internal {

void OpenConnections::Opened(int fd, MonoTime now) {
  const std::lock_guard lock(m_mutex);
  m_connections[fd] = {.opened_at = now};
}

void OpenConnections::RequestBegan(int fd) {
  const std::lock_guard lock(m_mutex);
  if (const auto it = m_connections.find(fd); it != m_connections.end()) {
    it->second.used = true;
  }
}

void OpenConnections::Closed(int fd) {
  const std::lock_guard lock(m_mutex);
  m_connections.erase(fd);
}

bool OpenConnections::AnyUnread() const {
  const std::lock_guard lock(m_mutex);
  return std::ranges::any_of(m_connections, [](const auto& entry) {
    int bytes = 0;
    return ::ioctl(entry.first, FIONREAD, &bytes) == 0 && bytes > 0;
  });
}

bool OpenConnections::AnyUnusedSince(MonoTime since) const {
  const std::lock_guard lock(m_mutex);
  return std::ranges::any_of(m_connections, [since](const auto& entry) {
    return !entry.second.used && entry.second.opened_at > since;
  });
}

size_t OpenConnections::unused() const {
  const std::lock_guard lock(m_mutex);
  return static_cast<size_t>(std::ranges::count_if(
      m_connections, [](const auto& entry) { return !entry.second.used; }));
}

}  // namespace egretswitch::internal
