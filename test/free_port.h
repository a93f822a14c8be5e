// A port on loopback that nobody listens on now, for a program that is told
// where to listen.
#ifndef EGRETSWITCH_TEST_FREE_PORT_H_
#define EGRETSWITCH_TEST_FREE_PORT_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>

#include "unique_fd.h"

namespace egretswitch::internal {

// Below the range from which outgoing connections get theirs, so that a program
// which is started again finds its port still free. Each process begins at
// another place of the range.
inline uint16_t FreePort() {
  constexpr int kFirst = 12'000;
  constexpr int kCount = 18'000;
  static int next = ::getpid() * 37 % kCount;
  for (int tries = 0; tries < kCount; ++tries) {
    const auto port = static_cast<uint16_t>(kFirst + next++ % kCount);
    const UniqueFd fd(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&address),
               sizeof(address)) == 0) {
      return port;
    }
  }
  std::abort();
}

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_FREE_PORT_H_
