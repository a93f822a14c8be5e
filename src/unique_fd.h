// Owns a file descriptor and closes it.
//
//   UniqueFd fd(::socket(AF_INET, SOCK_STREAM, 0));
//   if (!fd) { ... errno ... }
#ifndef EGRETSWITCH_SRC_UNIQUE_FD_H_
#define EGRETSWITCH_SRC_UNIQUE_FD_H_

#include <unistd.h>

#include <utility>

namespace egretswitch::internal {

class UniqueFd {
 public:
  UniqueFd() = default;
  explicit UniqueFd(int fd) : m_fd(fd) {}
  UniqueFd(UniqueFd&& other) noexcept : m_fd(std::exchange(other.m_fd, -1)) {}
  UniqueFd& operator=(UniqueFd&& other) noexcept {
    std::swap(m_fd, other.m_fd);
    return *this;
  }
  ~UniqueFd() { Close(); }

  explicit operator bool() const { return m_fd >= 0; }
  int get() const { return m_fd; }

  void Close() {
    if (m_fd >= 0) {
      ::close(std::exchange(m_fd, -1));
    }
  }

 private:
  int m_fd = -1;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_UNIQUE_FD_H_
