// TCP_USER_TIMEOUT bounds how long sent bytes may stay unacknowledged, the
// keepalive probes do the same for a link with nothing to send.
//
//   host lost, link idle: probe after 2 s, dropped about 1 s later
//   ... with kSlow:       probe after 30 s; sent bytes still end it after 3 s
#include "tcp_socket.h"

#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cerrno>
#include <cstdint>
#include <cstring>
#include <memory>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace egretswitch::internal {

namespace {

constexpr uint32_t kMaxPort = 65535;
constexpr int kListenBacklog = 1024;
constexpr int kUserTimeoutMs = 3000;
constexpr int kKeepaliveIdleSeconds = 2;
// A probe and its answer cost 104 bytes: every 2 s, 68 KB/s at an entry with
// 1,300 idle agents.
constexpr int kSlowKeepaliveIdleSeconds = 30;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kKeepaliveCount = 2;

void SetOption(int fd, int level, int option, int value) {
  // A kernel without the option still has a working socket.
  ::setsockopt(fd, level, option, &value, sizeof(value));
}

UniqueFd OpenSocket(const SocketAddress& address) {
  return UniqueFd(::socket(address.storage.ss_family,
                           SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

const sockaddr* AsSockaddr(const SocketAddress& address) {
  return reinterpret_cast<const sockaddr*>(&address.storage);
}

absl::Status BadAddress(std::string_view text) {
  return absl::InvalidArgumentError(
      absl::StrCat("address \"", std::string(text),
                   "\": expected a numeric address and port such as "
                   "127.0.0.1:7001 or [::1]:7001"));
}

}  // namespace

absl::StatusOr<SocketAddress> ParseSocketAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0 ||
      colon + 1 == text.size()) {
    return BadAddress(text);
  }
  std::string host(text.substr(0, colon));
  const std::string port(text.substr(colon + 1));
  // getaddrinfo() takes larger numbers and cuts them to 16 bits.
  uint32_t port_number = 0;
  if (!absl::SimpleAtoi(port, &port_number) || port_number > kMaxPort) {
    return BadAddress(text);
  }
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  addrinfo hints{};
  hints.ai_socktype = SOCK_STREAM;
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
  addrinfo* found = nullptr;
  if (::getaddrinfo(host.c_str(), port.c_str(), &hints, &found) != 0) {
    return BadAddress(text);
  }
  const std::unique_ptr<addrinfo, decltype(&::freeaddrinfo)> owner(
      found, &::freeaddrinfo);
  SocketAddress address;
  std::memcpy(&address.storage, found->ai_addr, found->ai_addrlen);
  address.length = found->ai_addrlen;
  return address;
}

std::string BoundAddress(int fd) {
  SocketAddress address;
  address.length = sizeof(address.storage);
  char host[NI_MAXHOST];
  char port[NI_MAXSERV];
  if (::getsockname(fd, reinterpret_cast<sockaddr*>(&address.storage),
                    &address.length) != 0 ||
      ::getnameinfo(AsSockaddr(address), address.length, host, sizeof(host),
                    port, sizeof(port), NI_NUMERICHOST | NI_NUMERICSERV) != 0) {
    return std::string();
  }
  return address.storage.ss_family == AF_INET6
             ? absl::StrCat("[", host, "]:", port)
             : absl::StrCat(host, ":", port);
}

absl::StatusOr<UniqueFd> ListenTcp(const SocketAddress& address) {
  UniqueFd fd = OpenSocket(address);
  if (!fd) {
    return StatusOfErrno(errno, "socket");
  }
  SetOption(fd.get(), SOL_SOCKET, SO_REUSEADDR, 1);
  if (::bind(fd.get(), AsSockaddr(address), address.length) != 0) {
    return StatusOfErrno(errno, "bind");
  }
  if (::listen(fd.get(), kListenBacklog) != 0) {
    return StatusOfErrno(errno, "listen");
  }
  return fd;
}

absl::StatusOr<UniqueFd> ConnectTcp(const SocketAddress& address) {
  UniqueFd fd = OpenSocket(address);
  if (!fd) {
    return StatusOfErrno(errno, "socket");
  }
  if (::connect(fd.get(), AsSockaddr(address), address.length) != 0 &&
      errno != EINPROGRESS) {
    return StatusOfErrno(errno, "connect");
  }
  return fd;
}

absl::Status ConnectResult(int fd) {
  int error = 0;
  socklen_t length = sizeof(error);
  if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0) {
    error = errno;
  }
  return error == 0 ? absl::OkStatus() : StatusOfErrno(error, "connect");
}

void SetLinkOptions(int fd) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetKeepalive(fd, Keepalive::kFast);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveCount);
}

void SetKeepalive(int fd, Keepalive keepalive) {
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE,
            keepalive == Keepalive::kFast ? kKeepaliveIdleSeconds
                                          : kSlowKeepaliveIdleSeconds);
}

absl::Status StatusOfErrno(int error, std::string_view what) {
  const std::string text =
      absl::StrCat(std::string(what), ": ", std::strerror(error));
  return error == ECONNREFUSED ? absl::AbortedError(text)
                               : absl::UnavailableError(text);
}

}  // namespace egretswitch::internal
