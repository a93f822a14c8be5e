#include "ip_port.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace egretswitch::internal {
namespace {

std::optional<uint16_t> ParsePort(std::string_view text) {
  // from_chars accepts a leading zero, but "080" is probably a typing error.
  if (text.empty() || text.front() == '0') {
    return std::nullopt;
  }
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return port;
}

bool IsIpNumber(const std::string& ip, int family) {
  unsigned char bytes[sizeof(in6_addr)];
  return inet_pton(family, ip.c_str(), bytes) == 1;
}

}  // namespace

std::string IpPort::Text() const {
  const std::string host = is_ipv6() ? "[" + ip + "]" : ip;
  return host + ":" + std::to_string(port);
}

std::optional<IpPort> ParseIpPort(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<uint16_t> port = ParsePort(text.substr(colon + 1));
  std::string_view host = text.substr(0, colon);
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  const std::string ip(host);
  // inet_pton stops at a zero byte.
  const bool has_zero_byte = std::find(ip.begin(), ip.end(), '\0') != ip.end();
  if (!port || has_zero_byte ||
      !IsIpNumber(ip, bracketed ? AF_INET6 : AF_INET)) {
    return std::nullopt;
  }
  return IpPort{ip, *port};
}

}  // namespace egretswitch::internal
