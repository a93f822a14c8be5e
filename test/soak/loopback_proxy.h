// Carries TCP connections to one address on loopback, and harms them when told:
// holds back what one side says, delays both, resets all connections, or lets
// them fall silent.
//
//   auto proxy = LoopbackProxy::Open(loop, "127.0.0.1:7001");
//   proxy->address()                       // dial this in place of 7001
//   proxy->SetHarm({.hold_to_server = true});    // a cut in one direction
//   proxy->SetHarm({});                          // what was held is delivered
#ifndef EGRETSWITCH_TEST_SOAK_LOOPBACK_PROXY_H_
#define EGRETSWITCH_TEST_SOAK_LOOPBACK_PROXY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "absl/time/time.h"
#include "event_loop.h"
#include "listener.h"
#include "tcp_socket.h"

namespace egretswitch::soak {

struct ProxyHarm {
  bool hold_to_server = false;  // until the harm ends, as a cut link does
  bool hold_to_client = false;
  absl::Duration delay = absl::ZeroDuration();  // each way
};

// What happens on the connections of a proxy, each by its number.
struct ProxyObserver {
  // Bytes of the client were handed to the server's socket.
  std::function<void(uint64_t connection, std::string_view bytes)> delivered;
  // Bytes of the server were handed to the client's socket.
  std::function<void(uint64_t connection)> answered;
  // The connection ends, and the server's socket never took these bytes of the
  // client.
  std::function<void(uint64_t connection, std::string_view bytes)> undelivered;
  // The client's end of input came.
  std::function<void(uint64_t connection)> client_ended;
  // The server was told of an end; `by_client`: of the client's.
  std::function<void(uint64_t connection, bool by_client)> server_told;
};

class LoopbackProxy {
 public:
  // Ends the process with a message when no port can be had.
  static std::unique_ptr<LoopbackProxy> Open(internal::EventLoop& loop,
                                             const std::string& server);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  const std::string& address() const { return m_listener->address(); }

  void SetObserver(ProxyObserver observer) { m_observer = std::move(observer); }

  void SetHarm(const ProxyHarm& harm);
  // Both sides of each connection see a reset.
  void ResetAll();
  // Nothing goes through the present connections any more, and neither side is
  // told; new ones work.
  void SilenceAll();

 private:
  class Connection;

  LoopbackProxy(internal::EventLoop& loop, internal::SocketAddress server);
  void Accept(internal::UniqueFd client);
  void EndSoon(uint64_t connection);

  internal::EventLoop& m_loop;
  const internal::SocketAddress m_server;
  ProxyHarm m_harm;
  ProxyObserver m_observer;
  std::unique_ptr<internal::Listener> m_listener;
  uint64_t m_next_connection = 0;
  std::map<uint64_t, std::shared_ptr<Connection>> m_connections;
  // Its end tells callbacks of the loop that the proxy is gone.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace egretswitch::soak

#endif  // EGRETSWITCH_TEST_SOAK_LOOPBACK_PROXY_H_
