// When the process has no descriptor left, accept() fails and the listener
// stays readable; it rests then instead of spinning.
//
//   EMFILE -> not watched for 100 ms -> watched again
#include "listener.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "absl/strings/str_cat.h"
#include "tcp_socket.h"

namespace egretswitch::internal {

namespace {

constexpr absl::Duration kRest = absl::Milliseconds(100);
constexpr int kAcceptsPerTurn = 64;

}  // namespace

absl::StatusOr<std::unique_ptr<Listener>> Listener::Open(
    EventLoop& loop,
    std::string_view address,
    AcceptedCallback on_accepted) {
  const absl::StatusOr<SocketAddress> parsed = ParseSocketAddress(address);
  if (!parsed.ok()) {
    return parsed.status();
  }
  absl::StatusOr<UniqueFd> fd = ListenTcp(*parsed);
  if (!fd.ok()) {
    return absl::Status(fd.status().code(),
                        absl::StrCat("cannot listen at ", std::string(address),
                                     ": ", fd.status().message()));
  }
  return std::unique_ptr<Listener>(
      new Listener(loop, *std::move(fd), std::move(on_accepted)));
}

Listener::Listener(EventLoop& loop, UniqueFd fd, AcceptedCallback on_accepted)
    : m_loop(loop),
      m_fd(std::move(fd)),
      m_address(BoundAddress(m_fd.get())),
      m_on_accepted(std::move(on_accepted)) {
  m_loop.Watch(m_fd.get(), EPOLLIN, [this](uint32_t) { Accept(); });
}

Listener::~Listener() {
  m_loop.Cancel(m_rest_timer);
  m_loop.Unwatch(m_fd.get());
}

void Listener::Accept() {
  for (int i = 0; i < kAcceptsPerTurn; ++i) {
    UniqueFd fd(
        ::accept4(m_fd.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd) {
      m_on_accepted(std::move(fd));
    } else if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
               errno == ENOMEM) {
      Rest();
      return;
    } else if (errno == EAGAIN) {
      return;
    }
  }
}

void Listener::Rest() {
  m_loop.Modify(m_fd.get(), 0);
  m_rest_timer =
      m_loop.RunAfter(kRest, [this] { m_loop.Modify(m_fd.get(), EPOLLIN); });
}

}  // namespace egretswitch::internal
