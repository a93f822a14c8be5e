// The parts that the shells of both roles share: the links of the process, the
// tick, and the actions that every node may ask for.
//
//   shell.Start(hub_events, on_tick);       // listens, ticks every kTickPeriod
//   shell.Perform(Send{"agent-3", ...});    // -> LinkHub::Send
#ifndef EGRETSWITCH_SRC_NODE_SHELL_H_
#define EGRETSWITCH_SRC_NODE_SHELL_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "event_loop.h"
#include "link_hub.h"
#include "link_log.h"
#include "log_client.h"
#include "node_events.h"
#include "settings.h"

namespace egretswitch::internal {

// The link events that every node takes, handed to `deliver` as LinkUp,
// LinkDown and MessageArrived. `refused` is left for the role to set.
template <typename Deliver>
LinkHubEvents MakeLinkEvents(Deliver deliver) {
  LinkHubEvents events;
  events.link_up = [deliver](const Hello& peer) { deliver(LinkUp{peer}); };
  events.link_down = [deliver](const std::string& name, uint64_t incarnation) {
    deliver(LinkDown{name, incarnation});
  };
  events.message = [deliver](const std::string& name, uint64_t incarnation,
                             Message message) {
    deliver(MessageArrived{name, incarnation, std::move(message)});
  };
  events.link_ended = LogLinkEnded;
  return events;
}

// What became of an append, as the node is told.
using AppendEvent = std::variant<LogAppendDone, LogAppendFailed>;

class NodeShell {
 public:
  // `loop` must outlive the shell.
  NodeShell(EventLoop& loop,
            const CommonSettings& settings,
            const Hello& self,
            LinkHubEvents events);

  // Listens for links and begins to tick. The error names the address.
  absl::Status Start(std::function<void()> on_tick);

  void Perform(const Send& send);
  void Perform(const SetDialTargets& targets);
  void Perform(const NoteStateChange& change);

  // Appends the record; `deliver` is called once, in a later turn.
  void Append(const AppendLog& append,
              std::function<void(const AppendEvent&)> deliver);

  LogClient& log() { return m_log; }
  const LinkHub& hub() const { return m_hub; }

  // Sends what is queued and closes every link.
  void Close();

 private:
  void ScheduleTick();

  EventLoop& m_loop;
  LinkHub m_hub;
  LogClient m_log;
  std::function<void()> m_on_tick;
  bool m_closed = false;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_NODE_SHELL_H_
