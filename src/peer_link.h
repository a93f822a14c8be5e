// One link to a peer: a TCP connection with an HTTP/2 stream on it that
// carries messages both ways. The first message each way is Hello.
//
//   auto link = PeerLink::Start(PipeSide::kClient, std::move(fd), env, hub);
//   link->Queue(PeerPing{...});   // sent at the end of the loop's turn
#ifndef EGRETSWITCH_SRC_PEER_LINK_H_
#define EGRETSWITCH_SRC_PEER_LINK_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "byte_queue.h"
#include "event_loop.h"
#include "http2_pipe.h"
#include "messages.h"
#include "unique_fd.h"
#include "wire_codec.h"

namespace egretswitch::internal {

// Bounds of the transport; tests set smaller ones.
struct LinkLimits {
  absl::Duration handshake_timeout =
      absl::Seconds(2);  // until the peer's Hello
  absl::Duration connect_timeout = absl::Seconds(1);
  // Pauses between failed attempts double from the first to the longest.
  absl::Duration first_pause = absl::Milliseconds(10);
  absl::Duration longest_redial_pause = absl::Seconds(1);
  absl::Duration longest_probe_pause = absl::Milliseconds(300);
  absl::Duration settled_after =
      absl::Seconds(1);                 // then a loss redials at once
  size_t max_queued_bytes = 64u << 20;  // of one link, unsent
  size_t max_handshakes = 256;          // accepted, no Hello yet
};

struct LinkCounters {
  uint64_t connections_accepted = 0;
  uint64_t bytes_in = 0;
  uint64_t bytes_out = 0;
  uint64_t messages_in = 0;
  uint64_t messages_out = 0;
};

// What all links of a process share; outlives them.
struct LinkEnvironment {
  EventLoop& loop;
  Hello self;
  std::string shared_key;
  LinkLimits limits;
  LinkCounters counters;
  std::vector<char> read_buffer;  // used within one read only
};

class PeerLink;

class PeerLinkDelegate {
 public:
  virtual ~PeerLinkDelegate() = default;

  // The peer's Hello has come. The delegate may close the link.
  virtual void OnLinkHello(PeerLink& link) = 0;
  virtual void OnLinkMessage(PeerLink& link, Message message) = 0;

  // The last call for this link. kCancelled: the peer closed the connection
  // before it sent a byte, as a probe does.
  virtual void OnLinkClosed(PeerLink& link, const absl::Status& reason) = 0;
};

class PeerLink : public std::enable_shared_from_this<PeerLink>,
                 private Http2PipeDelegate {
 public:
  // Takes a connected socket and begins the handshake. Both references must
  // outlive the link.
  static std::shared_ptr<PeerLink> Start(PipeSide side,
                                         UniqueFd fd,
                                         LinkEnvironment& environment,
                                         PeerLinkDelegate& delegate);
  ~PeerLink() override;

  // Queues a message; a queue beyond its bound closes the link at the end of
  // the turn, since a message left out would break the order of the rest.
  void Queue(const Message& message);

  // Closes now and calls OnLinkClosed(), unless closed already.
  void Close(const absl::Status& reason);

  // Closes at the end of the turn: for callers that must not be called back.
  void CloseAtTurnEnd(const absl::Status& reason);

  // Sends what the socket takes without waiting, then closes without a call.
  void Shut();

  // Set before OnLinkHello().
  const std::optional<Hello>& peer() const { return m_peer; }

 private:
  PeerLink(PipeSide side,
           UniqueFd fd,
           LinkEnvironment& environment,
           PeerLinkDelegate& delegate);

  void Begin();
  void OnReady(uint32_t events);
  void ReadSocket();
  bool ReadOnce(size_t* taken);
  void ScheduleFlush();
  void Flush();
  absl::Status WriteSocket();
  void ArmWrite(bool wanted);
  void OnBody(std::string_view body);
  void Release();

  void OnPipeOpen() override;
  void OnPipeData(std::string_view bytes) override;

  LinkEnvironment& m_environment;
  PeerLinkDelegate& m_delegate;
  UniqueFd m_fd;
  bool m_closed = false;
  bool m_flush_scheduled = false;
  bool m_write_armed = false;
  bool m_doomed = false;  // closes at the end of the turn
  EventLoop::TimerId m_handshake_timer = 0;
  uint64_t m_handshake_bytes = 0;

  std::optional<Hello> m_peer;
  FrameReader m_reader;
  ByteQueue m_unsent;  // HTTP/2 bytes for the socket
  Http2Pipe m_pipe;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_PEER_LINK_H_
