#include "caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "event_loop.h"
#include "fake_run_worker.h"
#include "platform/wire_names.h"
#include "unique_fd.h"

namespace egretswitch::review {
namespace {

using internal::EventLoop;
using internal::UniqueFd;

constexpr size_t kReadBytes = 4096;
constexpr std::string_view kLengthHeader = "Content-Length: ";

UniqueFd Connect(uint16_t port) {
  UniqueFd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int connected = ::connect(
      fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address));
  return connected == 0 ? std::move(fd) : UniqueFd();
}

std::string TextOf(const CallerCall& call) {
  return absl::StrCat(
      call.method, " ", call.path, " HTTP/1.1\r\nHost: 127.0.0.1\r\n",
      platform::kDeadlineHeader, ": ", absl::ToInt64Milliseconds(call.patience),
      "\r\nContent-Type: application/json\r\n", std::string(kLengthHeader),
      call.body.size(), "\r\n\r\n", call.body);
}

bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

// Returns status 0 while the answer is not whole.
CallResult Parse(const std::string& text) {
  const size_t head_end = text.find("\r\n\r\n");
  const size_t length_at = text.find(kLengthHeader);
  if (head_end == std::string::npos || length_at > head_end) {
    return {};
  }
  const size_t length = std::strtoul(
      text.c_str() + length_at + kLengthHeader.size(), nullptr, 10);
  const std::string body = text.substr(head_end + 4);
  if (body.size() < length) {
    return {};
  }
  return {std::atoi(text.c_str() + text.find(' ')), body};
}

}  // namespace

CallResult Call(uint16_t port, const CallerCall& call) {
  const MonoTime until = EventLoop::MonoNow() + call.patience;
  const UniqueFd fd = Connect(port);
  if (fd.get() < 0 || !SendAll(fd.get(), TextOf(call))) {
    return {};
  }
  std::string received;
  while (true) {
    const absl::Duration left = until - EventLoop::MonoNow();
    const auto wait_ms = static_cast<int>(absl::ToInt64Milliseconds(left));
    pollfd readable = {.fd = fd.get(), .events = POLLIN, .revents = 0};
    if (wait_ms <= 0 || ::poll(&readable, 1, wait_ms) <= 0) {
      return {};
    }
    char buffer[kReadBytes];
    const ssize_t size = ::recv(fd.get(), buffer, sizeof(buffer), 0);
    if (size <= 0) {
      return {};
    }
    received.append(buffer, static_cast<size_t>(size));
    const CallResult result = Parse(received);
    if (result.status != 0) {
      return result;
    }
  }
}

std::string JobId(uint32_t number) {
  return absl::StrFormat("%08x%08x", 0x5c0e7a21u, number);
}

std::string JobBody(const std::string& spec, int tasks, int estimate_ms) {
  return nlohmann::json{{"spec", spec},
                        {"best_effort", true},
                        {"steps",
                         {{{"count", tasks},
                           {"cpu", internal::kFakeTaskNeeds.millicores},
                           {"mem_mb", internal::kFakeTaskNeeds.memory_mb},
                           {"estimate_ms", estimate_ms}}}}}
      .dump();
}

}  // namespace egretswitch::review
