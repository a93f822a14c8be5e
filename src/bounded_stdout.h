// Writes log lines to standard output without blocking on its reader.
//
//   BoundedStdout out;
//   out.Append("time=... event=ready\n");
//   out.Flush();     // at the end of an event
//
// If the reader stalls and the pipe is full, lines are buffered up to
// kMaxBufferedBytes. Further lines are dropped and counted; the count is logged
// as soon as the buffer has space again.
#ifndef EGRETSWITCH_SRC_BOUNDED_STDOUT_H_
#define EGRETSWITCH_SRC_BOUNDED_STDOUT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace egretswitch::internal {

class BoundedStdout {
 public:
  // Holds a few thousand lines, about one second of the busiest entry.
  static constexpr size_t kMaxBufferedBytes = 512u << 10;

  explicit BoundedStdout(int fd);

  void Append(std::string_view line);
  void Flush();

  uint64_t dropped() const { return m_dropped; }

 private:
  const int m_fd;
  std::string m_buffer;
  size_t m_written = 0;  // bytes of m_buffer written so far
  uint64_t m_dropped = 0;
  uint64_t m_dropped_reported = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_BOUNDED_STDOUT_H_
