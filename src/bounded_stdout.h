// Writes log lines to standard output without ever waiting for its reader.
//
//   BoundedStdout out;
//   out.Append("time=... event=ready\n");
//   out.Flush();     // at the end of an event
//
// A reader that stands still costs lines, never time: what its pipe does not
// take is kept up to kMaxBufferedBytes, then lines are dropped, and their
// number is written as soon as there is room again.
#ifndef EGRETSWITCH_SRC_BOUNDED_STDOUT_H_
#define EGRETSWITCH_SRC_BOUNDED_STDOUT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace egretswitch::internal {

class BoundedStdout {
 public:
  // Some thousand lines: a second of the busiest entry.
  static constexpr size_t kMaxBufferedBytes = 512u << 10;

  explicit BoundedStdout(int fd);

  void Append(std::string_view line);
  void Flush();

  uint64_t dropped() const { return m_dropped; }

 private:
  const int m_fd;
  std::string m_held;
  size_t m_written = 0;  // of m_held
  uint64_t m_dropped = 0;
  uint64_t m_dropped_told = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_BOUNDED_STDOUT_H_
