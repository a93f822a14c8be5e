#include "open_connections.h"

#include <sys/ioctl.h>

namespace egretswitch::internal {

void OpenConnections::Opened(int fd) {
  const std::lock_guard lock(m_mutex);
  m_fds.insert(fd);
}

void OpenConnections::Closed(int fd) {
  const std::lock_guard lock(m_mutex);
  m_fds.erase(fd);
}

bool OpenConnections::AnyUnread() const {
  const std::lock_guard lock(m_mutex);
  for (const int fd : m_fds) {
    int bytes = 0;
    if (::ioctl(fd, FIONREAD, &bytes) == 0 && bytes > 0) {
      return true;
    }
  }
  return false;
}

}  // namespace egretswitch::internal
