// Non-blocking TCP sockets by numeric address, with the options that make a
// lost host show within about 3 s without messages of ours (kSlow: 31 s, or 3 s
// after a message was sent).
//
//   auto address = ParseSocketAddress("127.0.0.1:7001");
//   auto listener = ListenTcp(*address);
//   auto dialled = ConnectTcp(*address);   // wait for EPOLLOUT, then ask
//   absl::Status status = ConnectResult(dialled->get());
#ifndef EGRETSWITCH_SRC_TCP_SOCKET_H_
#define EGRETSWITCH_SRC_TCP_SOCKET_H_

#include <sys/socket.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "unique_fd.h"

namespace egretswitch::internal {

struct SocketAddress {
  sockaddr_storage storage = {};
  socklen_t length = 0;
};

// "127.0.0.1:7001" or "[::1]:7001"; names are not looked up.
absl::StatusOr<SocketAddress> ParseSocketAddress(std::string_view text);

// The address that a socket is bound to, in the form that is parsed above.
std::string BoundAddress(int fd);

absl::StatusOr<UniqueFd> ListenTcp(const SocketAddress& address);

// Starts to connect. A refusal that is known at once is kAborted as below.
absl::StatusOr<UniqueFd> ConnectTcp(const SocketAddress& address);

// How a started connect ended: OK, kAborted when the host refused it
// (ECONNREFUSED), or another error.
absl::Status ConnectResult(int fd);

// How soon an idle link is probed.
enum class Keepalive : uint8_t {
  kFast = 0,  // after 2 s
  kSlow,      // after 30 s
};

// No delay of small writes; detection of lost hosts, Keepalive::kFast.
void SetLinkOptions(int fd);

// For a link that SetLinkOptions() was called for.
void SetKeepalive(int fd, Keepalive keepalive);

// Status for an errno value, kAborted only for ECONNREFUSED.
absl::Status StatusOfErrno(int error, std::string_view what);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_TCP_SOCKET_H_
