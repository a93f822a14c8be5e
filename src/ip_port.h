// A numeric address to listen on or to connect to.
//
//   ParseIpPort("127.0.0.1:8080") -> IpPort{"127.0.0.1", 8080}
//   ParseIpPort("[::1]:8080")     -> IpPort{"::1", 8080}
//   ParseIpPort("localhost:80")   -> nullopt: names are never resolved
#ifndef EGRETSWITCH_SRC_IP_PORT_H_
#define EGRETSWITCH_SRC_IP_PORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace egretswitch::internal {

struct IpPort {
  std::string ip;  // without brackets
  uint16_t port = 0;
  bool operator==(const IpPort&) const = default;

  bool is_ipv6() const { return ip.find(':') != std::string::npos; }
  // "127.0.0.1:8080" or "[::1]:8080".
  std::string Text() const;
};

// Accepts an IP number and a port from 1 to 65535, nothing else.
std::optional<IpPort> ParseIpPort(std::string_view text);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_IP_PORT_H_
