// A connection is two sockets and two queues. What one socket gives is kept
// with the moment from which it may go on; an end of input is kept the same
// way, so that it never overtakes data.
#include "loopback_proxy.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <deque>
#include <iostream>
#include <utility>

namespace egretswitch::soak {
namespace {

using internal::EventLoop;
using internal::UniqueFd;

// Beyond this a sender has to wait, as on a link whose window is full.
constexpr size_t kMaxHeldBytes = 1u << 20;

[[noreturn]] void Fail(std::string_view what, const absl::Status& status) {
  std::cerr << "soak: " << what << ": " << status << "\n";
  std::abort();
}

void ResetOnClose(int fd) {
  const linger now{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

}  // namespace

class LoopbackProxy::Connection {
 public:
  Connection(LoopbackProxy& proxy, uint64_t number, UniqueFd client)
      : m_proxy(proxy), m_number(number) {
    m_to_server.from = std::move(client);
  }

  ~Connection() {
    for (const Way* way : {&m_to_server, &m_to_client}) {
      if (way->from.get() >= 0) {
        m_proxy.m_loop.Unwatch(way->from.get());
      }
    }
    m_proxy.m_loop.Cancel(m_timer);
    ReportUndelivered();
    if (m_proxy.m_observer.server_told) {
      m_proxy.m_observer.server_told(m_number, m_to_server.ended);
    }
  }

  void Begin() {
    absl::StatusOr<UniqueFd> server = internal::ConnectTcp(m_proxy.m_server);
    if (!server.ok()) {
      Break();
      return;
    }
    m_to_client.from = *std::move(server);
    for (Way* way : {&m_to_server, &m_to_client}) {
      m_proxy.m_loop.Watch(way->from.get(), EPOLLIN,
                           [this, way](uint32_t) { Read(*way); });
    }
    m_proxy.m_loop.Modify(m_to_client.from.get(), EPOLLIN | EPOLLOUT);
  }

  // As a reset, for both sides.
  void Break() {
    for (const Way* way : {&m_to_server, &m_to_client}) {
      if (way->from.get() >= 0) {
        ResetOnClose(way->from.get());
      }
    }
    m_proxy.EndSoon(m_number);
  }

  void Silence() { m_silent = true; }

  void Pump() {
    if (m_silent) {
      return;
    }
    Write(m_to_server, m_to_client.from.get(), m_proxy.m_harm.hold_to_server);
    Write(m_to_client, m_to_server.from.get(), m_proxy.m_harm.hold_to_client);
    ArmTimer();
  }

 private:
  struct Chunk {
    MonoTime due = absl::ZeroDuration();
    std::string bytes;  // empty: the end of input
  };
  // One direction: from the socket that it reads to the other one.
  struct Way {
    UniqueFd from;
    std::deque<Chunk> queue;
    size_t held = 0;
    bool ended = false;
  };

  void Read(Way& way) {
    if (m_connecting && !FinishConnect()) {
      return;
    }
    std::array<char, 16384> buffer;
    while (!way.ended && way.held < kMaxHeldBytes) {
      const ssize_t got =
          ::recv(way.from.get(), buffer.data(), buffer.size(), 0);
      if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        break;
      }
      if (got < 0 || (got == 0 && m_silent)) {
        Break();
        return;
      }
      if (m_silent) {
        continue;
      }
      const MonoTime due = EventLoop::MonoNow() + m_proxy.m_harm.delay;
      way.queue.push_back(
          {due, std::string(buffer.data(), static_cast<size_t>(got))});
      way.held += static_cast<size_t>(got);
      way.ended = got == 0;
      if (way.ended && &way == &m_to_server &&
          m_proxy.m_observer.client_ended) {
        m_proxy.m_observer.client_ended(m_number);
      }
    }
    if (way.ended || way.held >= kMaxHeldBytes) {
      m_proxy.m_loop.Modify(way.from.get(), 0);
    }
    Pump();
  }

  bool FinishConnect() {
    if (!internal::ConnectResult(m_to_client.from.get()).ok()) {
      Break();
      return false;
    }
    m_connecting = false;
    m_proxy.m_loop.Modify(m_to_client.from.get(), EPOLLIN);
    return true;
  }

  void Write(Way& way, int to, bool hold) {
    if (m_connecting || hold) {
      return;
    }
    const MonoTime now = EventLoop::MonoNow();
    while (!way.queue.empty() && way.queue.front().due <= now) {
      std::string& bytes = way.queue.front().bytes;
      if (bytes.empty()) {
        m_proxy.EndSoon(m_number);
        return;
      }
      const ssize_t sent = ::send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        way.queue.front().due = now + absl::Milliseconds(1);
        break;
      }
      if (sent < 0) {
        Break();
        return;
      }
      Observe(way,
              std::string_view(bytes).substr(0, static_cast<size_t>(sent)));
      way.held -= static_cast<size_t>(sent);
      bytes.erase(0, static_cast<size_t>(sent));
      if (bytes.empty()) {
        way.queue.pop_front();
      }
    }
    if (!way.ended && way.held < kMaxHeldBytes) {
      m_proxy.m_loop.Modify(way.from.get(), EPOLLIN);
    }
  }

  void Observe(const Way& way, std::string_view carried) const {
    const ProxyObserver& observer = m_proxy.m_observer;
    if (&way == &m_to_server && observer.delivered) {
      observer.delivered(m_number, carried);
    } else if (&way == &m_to_client && observer.answered) {
      observer.answered(m_number);
    }
  }

  // A client whose connection is refused may have sent its request already.
  void ReportUndelivered() {
    if (!m_proxy.m_observer.undelivered) {
      return;
    }
    std::string bytes;
    for (const Chunk& chunk : m_to_server.queue) {
      bytes += chunk.bytes;
    }
    std::array<char, 16384> buffer;
    const ssize_t unread = ::recv(m_to_server.from.get(), buffer.data(),
                                  buffer.size(), MSG_DONTWAIT);
    if (unread > 0) {
      bytes.append(buffer.data(), static_cast<size_t>(unread));
    }
    if (!bytes.empty()) {
      m_proxy.m_observer.undelivered(m_number, bytes);
    }
  }

  void ArmTimer() {
    MonoTime due = absl::InfiniteDuration();
    if (!m_to_server.queue.empty() && !m_proxy.m_harm.hold_to_server) {
      due = m_to_server.queue.front().due;
    }
    if (!m_to_client.queue.empty() && !m_proxy.m_harm.hold_to_client) {
      due = std::min(due, m_to_client.queue.front().due);
    }
    m_proxy.m_loop.Cancel(m_timer);
    m_timer = 0;
    if (due < absl::InfiniteDuration() && !m_connecting) {
      const absl::Duration wait =
          std::max(due - EventLoop::MonoNow(), absl::Microseconds(100));
      m_timer = m_proxy.m_loop.RunAfter(wait, [this] { Pump(); });
    }
  }

  LoopbackProxy& m_proxy;
  const uint64_t m_number;
  Way m_to_server;  // reads the client's socket
  Way m_to_client;  // reads the server's socket
  bool m_connecting = true;
  bool m_silent = false;
  EventLoop::TimerId m_timer = 0;
};

std::unique_ptr<LoopbackProxy> LoopbackProxy::Open(EventLoop& loop,
                                                   const std::string& server) {
  const auto address = internal::ParseSocketAddress(server);
  if (!address.ok()) {
    Fail(server, address.status());
  }
  std::unique_ptr<LoopbackProxy> proxy(new LoopbackProxy(loop, *address));
  auto listener = internal::Listener::Open(
      loop, "127.0.0.1:0",
      [raw = proxy.get()](UniqueFd fd) { raw->Accept(std::move(fd)); });
  if (!listener.ok()) {
    Fail("no port for a proxy", listener.status());
  }
  proxy->m_listener = *std::move(listener);
  return proxy;
}

LoopbackProxy::LoopbackProxy(EventLoop& loop, internal::SocketAddress server)
    : m_loop(loop), m_server(server) {}

LoopbackProxy::~LoopbackProxy() = default;

void LoopbackProxy::Accept(UniqueFd client) {
  internal::SetLinkOptions(client.get());
  const uint64_t number = ++m_next_connection;
  const auto connection =
      std::make_shared<Connection>(*this, number, std::move(client));
  m_connections[number] = connection;
  connection->Begin();
}

void LoopbackProxy::SetHarm(const ProxyHarm& harm) {
  m_harm = harm;
  const std::map<uint64_t, std::shared_ptr<Connection>> all = m_connections;
  for (const auto& [number, connection] : all) {
    connection->Pump();
  }
}

void LoopbackProxy::ResetAll() {
  const std::map<uint64_t, std::shared_ptr<Connection>> all = m_connections;
  for (const auto& [number, connection] : all) {
    connection->Break();
  }
}

void LoopbackProxy::SilenceAll() {
  for (const auto& [number, connection] : m_connections) {
    connection->Silence();
  }
}

void LoopbackProxy::EndSoon(uint64_t connection) {
  m_loop.AtTurnEnd([this, connection, weak = std::weak_ptr(m_alive)] {
    if (!weak.expired()) {
      m_connections.erase(connection);
    }
  });
}

}  // namespace egretswitch::soak
