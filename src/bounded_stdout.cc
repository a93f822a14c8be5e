// Whether the descriptor takes bytes is asked by poll(), since it may be shared
// with other processes and its flags are theirs too. A pipe that poll() calls
// writable takes at least PIPE_BUF bytes at once, so writes are cut to that.
#include "bounded_stdout.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace egretswitch::internal {
namespace {

bool TakesBytes(int fd) {
  pollfd entry{.fd = fd, .events = POLLOUT, .revents = 0};
  return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

BoundedStdout::BoundedStdout(int fd) : m_fd(fd) {}

void BoundedStdout::Append(std::string_view line) {
  const size_t held = m_held.size() - m_written;
  if (held + line.size() > kMaxBufferedBytes) {
    ++m_dropped;
    return;
  }
  if (m_dropped != m_dropped_told) {
    m_held += "level=warning event=\"log lines dropped\" count=" +
              std::to_string(m_dropped - m_dropped_told) + "\n";
    m_dropped_told = m_dropped;
  }
  m_held += line;
}

void BoundedStdout::Flush() {
  while (m_written < m_held.size() && TakesBytes(m_fd)) {
    const size_t size = std::min<size_t>(m_held.size() - m_written, PIPE_BUF);
    const ssize_t taken = ::write(m_fd, m_held.data() + m_written, size);
    if (taken <= 0) {
      return;  // tried again at the next flush
    }
    m_written += static_cast<size_t>(taken);
  }
  if (m_written == m_held.size()) {
    m_held.clear();
    m_written = 0;
  }
}

}  // namespace egretswitch::internal
