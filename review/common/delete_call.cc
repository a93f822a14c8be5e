// The call is made on a thread of its own, with blocking I/O: the loop's thread
// also carries the proxy that the call goes through.
#include "delete_call.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "tcp_socket.h"

namespace egretswitch::review {
namespace {

constexpr int kTimeoutMs = 3000;

bool WaitFor(int fd, short events) {
  pollfd waited = {.fd = fd, .events = events, .revents = 0};
  return ::poll(&waited, 1, kTimeoutMs) > 0;
}

// Reads until the server closes the connection, as the request asks it to.
std::string ReadAll(int fd) {
  std::string text;
  char buffer[4096];
  while (WaitFor(fd, POLLIN)) {
    const ssize_t size = ::read(fd, buffer, sizeof(buffer));
    if (size <= 0) {
      break;
    }
    text.append(buffer, static_cast<size_t>(size));
  }
  return text;
}

DeleteAnswer Call(const std::string& address, const std::string& path) {
  const auto parsed = internal::ParseSocketAddress(address);
  if (!parsed.ok()) {
    return {};
  }
  const auto fd = internal::ConnectTcp(*parsed);
  if (!fd.ok() || !WaitFor(fd->get(), POLLOUT)) {
    return {};
  }
  const std::string request = absl::StrCat(
      "DELETE ", path, " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n",
      "\r\n");
  if (::send(fd->get(), request.data(), request.size(), MSG_NOSIGNAL) !=
      static_cast<ssize_t>(request.size())) {
    return {};
  }
  DeleteAnswer answer;
  answer.text = ReadAll(fd->get());
  std::sscanf(answer.text.c_str(), "HTTP/1.1 %d", &answer.status);
  return answer;
}

}  // namespace

void SendDelete(internal::EventLoop& loop,
                const std::string& address,
                const std::string& path,
                std::function<void(const DeleteAnswer&)> done) {
  std::thread([&loop, address, path, done = std::move(done)] {
    const DeleteAnswer answer = Call(address, path);
    loop.Post([done, answer] { done(answer); });
  }).detach();
}

}  // namespace egretswitch::review
