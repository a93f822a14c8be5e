// Connects to one peer's address again and again, for a link or only to learn
// whether the host refuses.
//
//   dialer.Start();   // connected(fd) once, or refused() at each refusal
//   dialer.OnLinkLost(...);   // dial again
#ifndef EGRETSWITCH_SRC_PEER_DIALER_H_
#define EGRETSWITCH_SRC_PEER_DIALER_H_

#include <cstdint>
#include <functional>

#include "absl/time/time.h"
#include "event_loop.h"
#include "peer_link.h"
#include "tcp_socket.h"
#include "unique_fd.h"

namespace egretswitch::internal {

enum class DialPurpose : uint8_t {
  kLink = 0,  // hands over the connection and rests
  kProbe,     // closes the connection at once and asks again later
};

struct PeerDialerEvents {
  std::function<void(UniqueFd)> connected;           // kLink only
  std::function<void(MonoTime dialled_at)> refused;  // ECONNREFUSED
};

// Events come from the loop, never from within a call of a member.
class PeerDialer {
 public:
  PeerDialer(EventLoop& loop,
             const LinkLimits& limits,
             SocketAddress address,
             DialPurpose purpose,
             PeerDialerEvents events);
  ~PeerDialer();
  PeerDialer(const PeerDialer&) = delete;
  PeerDialer& operator=(const PeerDialer&) = delete;

  // Dials at once, unless it is at it.
  void Start();

  // A link is up, whoever dialled: no more attempts for now.
  void Rest();

  // The link or its handshake has ended. Dials at once after a link that
  // `lasted`, else after the next pause, so that two processes of one name
  // that replace each other's links do not spin.
  void OnLinkLost(bool lasted);

 private:
  void DialAfter(absl::Duration delay);
  void Dial();
  void OnConnectDone();
  void Conclude(const absl::Status& status);
  absl::Duration NextPause();

  EventLoop& m_loop;
  const LinkLimits& m_limits;
  const SocketAddress m_address;
  const DialPurpose m_purpose;
  const PeerDialerEvents m_events;
  UniqueFd m_connecting;
  EventLoop::TimerId m_timer = 0;  // next attempt, or the attempt's timeout
  bool m_active = false;
  MonoTime m_dialled_at = absl::ZeroDuration();
  absl::Duration m_pause = absl::ZeroDuration();  // the last one
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_PEER_DIALER_H_
