// The first pauses are short, because a process that is being killed may still
// accept for a moment after its links are gone: the attempt that shows the
// refusal is then the second one.
//
//   lost -> at once -> accepted and reset -> 10 ms -> refused -> 20 ms ... 1 s
#include "peer_dialer.h"

#include <sys/epoll.h>

#include <algorithm>
#include <utility>

namespace egretswitch::internal {

PeerDialer::PeerDialer(EventLoop& loop,
                       const LinkLimits& limits,
                       SocketAddress address,
                       DialPurpose purpose,
                       PeerDialerEvents events)
    : m_loop(loop),
      m_limits(limits),
      m_address(address),
      m_purpose(purpose),
      m_events(std::move(events)) {}

PeerDialer::~PeerDialer() {
  Rest();
}

void PeerDialer::Start() {
  if (!m_active) {
    DialAfter(absl::ZeroDuration());
  }
}

void PeerDialer::Rest() {
  m_active = false;
  m_loop.Cancel(m_timer);
  if (m_connecting) {
    m_loop.Unwatch(m_connecting.get());
    m_connecting.Close();
  }
}

void PeerDialer::OnLinkLost(bool lasted) {
  if (lasted) {
    m_pause = absl::ZeroDuration();
  }
  if (!m_active) {
    DialAfter(lasted ? absl::ZeroDuration() : NextPause());
  }
}

absl::Duration PeerDialer::NextPause() {
  const absl::Duration longest = m_purpose == DialPurpose::kProbe
                                     ? m_limits.longest_probe_pause
                                     : m_limits.longest_redial_pause;
  m_pause = std::clamp(m_pause * 2, m_limits.first_pause, longest);
  return m_pause;
}

void PeerDialer::DialAfter(absl::Duration delay) {
  m_active = true;
  m_timer = m_loop.RunAfter(delay, [this] { Dial(); });
}

void PeerDialer::Dial() {
  m_dialled_at = EventLoop::MonoNow();
  absl::StatusOr<UniqueFd> fd = ConnectTcp(m_address);
  if (!fd.ok()) {
    Conclude(fd.status());
    return;
  }
  m_connecting = *std::move(fd);
  m_loop.Watch(m_connecting.get(), EPOLLOUT,
               [this](uint32_t) { OnConnectDone(); });
  m_timer = m_loop.RunAfter(m_limits.connect_timeout, [this] {
    Conclude(absl::DeadlineExceededError("connect timeout"));
  });
}

void PeerDialer::OnConnectDone() {
  Conclude(ConnectResult(m_connecting.get()));
}

// The end of one attempt. The event comes last: it may destroy this dialer.
void PeerDialer::Conclude(const absl::Status& status) {
  UniqueFd fd = std::move(m_connecting);
  Rest();
  if (fd) {
    m_loop.Unwatch(fd.get());
  }
  if (status.ok() && m_purpose == DialPurpose::kLink) {
    m_events.connected(std::move(fd));
    return;
  }
  DialAfter(NextPause());
  if (absl::IsAborted(status)) {
    m_events.refused(m_dialled_at);
  }
}

}  // namespace egretswitch::internal
