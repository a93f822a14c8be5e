// Messages queued within a turn of the loop leave together: Queue() encodes
// into the pipe's buffer, and one flush at the end of the turn writes it.
//
//   turn: read -> 40 messages handled -> 30 queued -> 1 write
#include "peer_link.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "tcp_socket.h"

namespace egretswitch::internal {

namespace {

constexpr size_t kProducedBytes = 256u << 10;  // written at a time
constexpr int kReadsPerTurn = 4;
// A handshake takes a few hundred bytes; more is not one.
constexpr uint64_t kMaxHandshakeBytes = 64u << 10;

}  // namespace

std::shared_ptr<PeerLink> PeerLink::Start(PipeSide side,
                                          UniqueFd fd,
                                          LinkEnvironment& environment,
                                          PeerLinkDelegate& delegate) {
  std::shared_ptr<PeerLink> link(
      new PeerLink(side, std::move(fd), environment, delegate));
  link->Begin();
  return link;
}

PeerLink::PeerLink(PipeSide side,
                   UniqueFd fd,
                   LinkEnvironment& environment,
                   PeerLinkDelegate& delegate)
    : m_environment(environment),
      m_delegate(delegate),
      m_fd(std::move(fd)),
      m_pipe(side, environment.shared_key, *this) {}

PeerLink::~PeerLink() {
  Release();
}

void PeerLink::Begin() {
  SetLinkOptions(m_fd.get());
  const std::weak_ptr<PeerLink> weak = weak_from_this();
  m_environment.loop.Watch(m_fd.get(), EPOLLIN, [weak](uint32_t events) {
    if (const auto link = weak.lock()) {
      link->OnReady(events);
    }
  });
  m_handshake_timer = m_environment.loop.RunAfter(
      m_environment.limits.handshake_timeout, [weak] {
        if (const auto link = weak.lock()) {
          link->Close(absl::DeadlineExceededError("handshake timeout"));
        }
      });
  ScheduleFlush();
}

void PeerLink::OnReady(uint32_t events) {
  if ((events & EPOLLOUT) != 0) {
    ScheduleFlush();
  }
  if ((events & ~static_cast<uint32_t>(EPOLLOUT)) != 0) {
    ReadSocket();
  }
}

void PeerLink::ReadSocket() {
  const size_t full = m_environment.read_buffer.size();
  for (int i = 0; i < kReadsPerTurn; ++i) {
    size_t taken = 0;
    if (!ReadOnce(&taken) || taken < full) {
      break;
    }
  }
  if (!m_closed) {
    ScheduleFlush();  // acknowledgements and window updates
  }
}

// False when there is nothing to read now, or the link was closed.
bool PeerLink::ReadOnce(size_t* taken) {
  std::vector<char>& buffer = m_environment.read_buffer;
  const ssize_t size = ::read(m_fd.get(), buffer.data(), buffer.size());
  if (size == 0) {
    Close(m_handshake_bytes == 0
              ? absl::CancelledError("closed unused")
              : absl::UnavailableError("closed by the peer"));
    return false;
  }
  if (size < 0) {
    if (errno != EAGAIN && errno != EINTR) {
      Close(StatusOfErrno(errno, "read"));
    }
    return false;
  }
  *taken = static_cast<size_t>(size);
  m_environment.counters.bytes_in += *taken;
  if (!m_pipe.is_open()) {
    m_handshake_bytes += *taken;
    if (m_handshake_bytes > kMaxHandshakeBytes) {
      Close(absl::InvalidArgumentError("too many bytes for a handshake"));
      return false;
    }
  }
  const absl::Status status =
      m_pipe.Receive(std::string_view(buffer.data(), *taken));
  if (!m_closed && !status.ok()) {
    // The peer may still learn why (403, GOAWAY).
    static_cast<void>(m_pipe.Produce(&m_unsent.back(), kProducedBytes));
    static_cast<void>(WriteSocket());
    Close(status);
  }
  return !m_closed;
}

void PeerLink::ScheduleFlush() {
  if (m_flush_scheduled || m_closed) {
    return;
  }
  m_flush_scheduled = true;
  m_environment.loop.AtTurnEnd([weak = weak_from_this()] {
    if (const auto link = weak.lock()) {
      link->m_flush_scheduled = false;
      link->Flush();
    }
  });
}

void PeerLink::Flush() {
  while (!m_closed && !m_doomed) {
    const absl::Status produced =
        m_pipe.Produce(&m_unsent.back(), kProducedBytes);
    const bool nothing = m_unsent.empty();
    const absl::Status written = WriteSocket();
    if (!produced.ok() || !written.ok()) {
      Close(produced.ok() ? written : produced);
      return;
    }
    if (nothing || !m_unsent.empty()) {
      break;
    }
  }
  if (!m_closed) {
    ArmWrite(!m_unsent.empty());
  }
}

// Writes until the socket is full or nothing is left.
absl::Status PeerLink::WriteSocket() {
  while (!m_unsent.empty()) {
    const std::string_view bytes = m_unsent.front();
    const ssize_t size =
        ::send(m_fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size < 0) {
      return errno == EAGAIN || errno == EINTR ? absl::OkStatus()
                                               : StatusOfErrno(errno, "write");
    }
    m_environment.counters.bytes_out += static_cast<uint64_t>(size);
    m_unsent.Consume(static_cast<size_t>(size));
  }
  return absl::OkStatus();
}

void PeerLink::ArmWrite(bool wanted) {
  if (wanted != m_write_armed) {
    m_write_armed = wanted;
    m_environment.loop.Modify(m_fd.get(), EPOLLIN | (wanted ? EPOLLOUT : 0u));
  }
}

void PeerLink::Queue(const Message& message) {
  if (m_closed || m_doomed) {
    return;
  }
  const absl::Status status = AppendFrame(message, &m_pipe.outgoing());
  if (!status.ok()) {
    CloseAtTurnEnd(status);
    return;
  }
  ++m_environment.counters.messages_out;
  if (m_pipe.outgoing_size() > m_environment.limits.max_queued_bytes) {
    CloseAtTurnEnd(absl::ResourceExhaustedError("send queue is full"));
    return;
  }
  ScheduleFlush();
}

void PeerLink::OnPipeOpen() {
  Queue(m_environment.self);
}

void PeerLink::OnPipeData(std::string_view bytes) {
  if (m_closed || m_doomed) {
    return;
  }
  const absl::Status status =
      m_reader.Feed(bytes, [this](std::string_view body) {
        OnBody(body);
        return !m_closed && !m_doomed;
      });
  if (!status.ok()) {
    Close(status);
  }
}

void PeerLink::OnBody(std::string_view body) {
  absl::StatusOr<Message> message = DecodeMessage(body);
  if (!message.ok()) {
    Close(message.status());
    return;
  }
  ++m_environment.counters.messages_in;
  if (m_peer.has_value()) {
    m_delegate.OnLinkMessage(*this, *std::move(message));
    return;
  }
  if (Hello* hello = std::get_if<Hello>(&*message)) {
    m_environment.loop.Cancel(m_handshake_timer);
    m_peer = std::move(*hello);
    // Agents are many, and entries ping only each other.
    const bool entries = m_environment.self.role == ProcessRole::kEntry &&
                         m_peer->role == ProcessRole::kEntry;
    SetKeepalive(m_fd.get(), entries ? Keepalive::kFast : Keepalive::kSlow);
    m_delegate.OnLinkHello(*this);
  } else {
    Close(absl::InvalidArgumentError("the first message is not Hello"));
  }
}

void PeerLink::Close(const absl::Status& reason) {
  if (!m_closed) {
    const auto alive = shared_from_this();  // the delegate lets go of the link
    Release();
    m_delegate.OnLinkClosed(*this, reason);
  }
}

void PeerLink::CloseAtTurnEnd(const absl::Status& reason) {
  if (m_closed || m_doomed) {
    return;
  }
  m_doomed = true;
  m_environment.loop.AtTurnEnd([weak = weak_from_this(), reason] {
    if (const auto link = weak.lock()) {
      link->Close(reason);
    }
  });
}

void PeerLink::Shut() {
  if (!m_closed) {
    static_cast<void>(m_pipe.Produce(&m_unsent.back(), kProducedBytes));
    static_cast<void>(WriteSocket());
    ::shutdown(m_fd.get(), SHUT_WR);
    Release();
  }
}

void PeerLink::Release() {
  if (!m_closed) {
    m_closed = true;
    m_environment.loop.Cancel(m_handshake_timer);
    m_environment.loop.Unwatch(m_fd.get());
    m_fd.Close();
  }
}

}  // namespace egretswitch::internal
