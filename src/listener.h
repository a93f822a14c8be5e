// Accepts TCP connections at one address.
//
//   auto listener = Listener::Open(loop, "127.0.0.1:0", [](UniqueFd fd) {...});
//   (*listener)->address()   // "127.0.0.1:41234"
#ifndef EGRETSWITCH_SRC_LISTENER_H_
#define EGRETSWITCH_SRC_LISTENER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "event_loop.h"
#include "unique_fd.h"

namespace egretswitch::internal {

class Listener {
 public:
  using AcceptedCallback = std::function<void(UniqueFd)>;

  // Numeric address; port 0 takes any free one. Accepted sockets do not block.
  static absl::StatusOr<std::unique_ptr<Listener>>
  Open(EventLoop& loop, std::string_view address, AcceptedCallback on_accepted);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  const std::string& address() const { return m_address; }

 private:
  Listener(EventLoop& loop, UniqueFd fd, AcceptedCallback on_accepted);
  void Accept();
  void Rest();

  EventLoop& m_loop;
  UniqueFd m_fd;
  std::string m_address;
  AcceptedCallback m_on_accepted;
  EventLoop::TimerId m_rest_timer = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LISTENER_H_
