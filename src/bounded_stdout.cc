// The descriptor may be shared with other processes, and setting O_NONBLOCK
// would change it for them too. So poll() checks whether it is writable. A pipe
// that poll() reports as writable accepts at least PIPE_BUF bytes without
// blocking, so each write is at most that long.
#include "bounded_stdout.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace egretswitch::internal {
namespace {

bool IsWritable(int fd) {
  pollfd entry{.fd = fd, .events = POLLOUT, .revents = 0};
  return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

BoundedStdout::BoundedStdout(int fd) : m_fd(fd) {}

void BoundedStdout::Append(std::string_view line) {
  const size_t pending = m_buffer.size() - m_written;
  if (pending + line.size() > kMaxBufferedBytes) {
    ++m_dropped;
    return;
  }
  if (m_dropped != m_dropped_reported) {
    m_buffer += "level=warning event=\"log lines dropped\" count=" +
                std::to_string(m_dropped - m_dropped_reported) + "\n";
    m_dropped_reported = m_dropped;
  }
  m_buffer += line;
}

void BoundedStdout::Flush() {
  while (m_written < m_buffer.size() && IsWritable(m_fd)) {
    const size_t size = std::min<size_t>(m_buffer.size() - m_written, PIPE_BUF);
    const ssize_t written = ::write(m_fd, m_buffer.data() + m_written, size);
    if (written <= 0) {
      return;  // the next Flush() retries
    }
    m_written += static_cast<size_t>(written);
  }
  if (m_written == m_buffer.size()) {
    m_buffer.clear();
    m_written = 0;
  }
}

}  // namespace egretswitch::internal
