#include "http_call.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "event_loop.h"
#include "platform/wire_names.h"
#include "unique_fd.h"

namespace egretswitch::review {
namespace {

using internal::EventLoop;
using internal::UniqueFd;

UniqueFd Connect(const std::string& address) {
  const size_t colon = address.rfind(':');
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(
      static_cast<uint16_t>(std::atoi(address.substr(colon + 1).c_str())));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
  UniqueFd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int connected =
      ::connect(fd.get(), reinterpret_cast<sockaddr*>(&target), sizeof(target));
  return connected == 0 ? std::move(fd) : UniqueFd();
}

std::string Encode(const HttpRequest& request) {
  std::string text = absl::StrCat(request.method, " ", request.path,
                                  " HTTP/1.1\r\nHost: ", request.host,
                                  "\r\nConnection: close\r\n");
  if (request.deadline > absl::ZeroDuration()) {
    absl::StrAppend(&text, platform::kDeadlineHeader, ": ",
                    absl::ToInt64Milliseconds(request.deadline), "\r\n");
  }
  if (!request.body.empty()) {
    absl::StrAppend(&text, "Content-Type: application/json\r\n");
  }
  absl::StrAppend(&text, "Content-Length: ", request.body.size(), "\r\n\r\n",
                  request.body);
  return text;
}

// The server closes the connection after its answer.
std::string ReadToEnd(int fd, MonoTime until) {
  std::string text;
  char buffer[4096];
  while (true) {
    const absl::Duration left = until - EventLoop::MonoNow();
    pollfd ready = {.fd = fd, .events = POLLIN, .revents = 0};
    if (left <= absl::ZeroDuration() ||
        ::poll(&ready, 1,
               static_cast<int>(absl::ToInt64Milliseconds(left) + 1)) <= 0) {
      return "";
    }
    const ssize_t size = ::read(fd, buffer, sizeof(buffer));
    if (size <= 0) {
      return size == 0 ? text : "";
    }
    text.append(buffer, static_cast<size_t>(size));
  }
}

}  // namespace

HttpReply CallHttp(const std::string& address, const HttpRequest& request) {
  const MonoTime until = EventLoop::MonoNow() + request.timeout;
  const UniqueFd fd = Connect(address);
  if (!fd) {
    return {};
  }
  const std::string text = Encode(request);
  if (::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL) !=
      static_cast<ssize_t>(text.size())) {
    return {};
  }
  const std::string answer = ReadToEnd(fd.get(), until);
  const size_t status_at = answer.find(' ');
  const size_t body_at = answer.find("\r\n\r\n");
  if (status_at == std::string::npos || body_at == std::string::npos) {
    return {};
  }
  return {std::atoi(answer.c_str() + status_at + 1),
          answer.substr(body_at + 4)};
}

}  // namespace egretswitch::review
