// All links of one process by the names of the peers: accepts, dials, and keeps
// at most one link to each peer.
//
//   LinkHub hub(loop, {.self = hello, .listen_address = "127.0.0.1:7001",
//                      .shared_key = key}, std::move(events));
//   absl::Status status = hub.Listen();
//   hub.SetDialTargets(targets);
//   hub.Send("agent-3", StartTasks{...});
#ifndef EGRETSWITCH_SRC_LINK_HUB_H_
#define EGRETSWITCH_SRC_LINK_HUB_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/types/span.h"
#include "event_loop.h"
#include "listener.h"
#include "messages.h"
#include "node_events.h"
#include "peer_dialer.h"
#include "peer_link.h"

namespace egretswitch::internal {

struct LinkHubOptions {
  Hello self;
  std::string listen_address;  // numeric "ip:port"; port 0 takes a free one
  std::string shared_key;
  LinkLimits limits;
  // Each target is dialled, also an entry whose name is smaller: the caller
  // sees to it that two processes don't both dial each other.
  bool dials_every_target = false;
};

// Called from the loop, never from within a member of the hub; they may call
// the hub, but not destroy it. All but the last must be set.
struct LinkHubEvents {
  std::function<void(const Hello&)> link_up;
  std::function<void(const std::string& name, uint64_t incarnation)> link_down;
  // The host at the target's address refused a connection (ECONNREFUSED) that
  // was asked for at `dialled_at`.
  std::function<void(const std::string& name, MonoTime dialled_at)> refused;
  std::function<
      void(const std::string& name, uint64_t incarnation, Message message)>
      message;
  // A link ended, also one that never came up, but no probe; `name` is the
  // peer's or the dialled target's, empty for a stranger. For operators.
  std::function<void(const std::string& name, const absl::Status& reason)>
      link_ended;
};

class LinkHub : private PeerLinkDelegate {
 public:
  // `loop` must outlive the hub.
  LinkHub(EventLoop& loop, LinkHubOptions options, LinkHubEvents events);
  ~LinkHub() override;
  LinkHub(const LinkHub&) = delete;
  LinkHub& operator=(const LinkHub&) = delete;

  // The error names the address.
  absl::Status Listen();

  // Where it listens, with the real port; empty before Listen().
  std::string listen_address() const;

  // Replaces the list of peers to dial; links to targets left out or moved to
  // another address are closed. Of two entries the smaller name dials, unless
  // each target is to be dialled; the other one only probes, to learn of
  // refusals while no link is up. A target
  // whose address cannot be parsed is reported by link_ended and left out.
  void SetDialTargets(absl::Span<const PeerAddress> targets);

  // Dropped when no link to `peer` is up.
  void Send(std::string_view peer, const Message& message);
  // The same for one process: dropped when the link is to another incarnation.
  void SendTo(std::string_view peer,
              uint64_t incarnation,
              const Message& message);

  // Dials a target whose link, to this incarnation, may be dead. The new link
  // replaces the old one once the peer has answered on it; until then the old
  // one is used. Does nothing while such a dial is under way.
  void RedialPeer(std::string_view peer, uint64_t incarnation);

  // Ends the hub's work for good: no further event, no listening or dialling,
  // and every link is closed after sending what its socket takes at once.
  // Called from within an event the closing waits for the end of the turn.
  void CloseAll();

  size_t links_up() const { return m_up.size(); }
  const LinkCounters& counters() const { return m_environment.counters; }

 private:
  struct Record {
    std::shared_ptr<PeerLink> link;
    std::string target;  // dialled name; empty when accepted
    bool up = false;
    MonoTime up_since = absl::ZeroDuration();
  };
  struct Target {
    PeerAddress peer;
    // Shared so that it can be let go of at the end of a turn that it is part
    // of.
    std::shared_ptr<PeerDialer> dialer;
  };
  struct BadTarget {
    std::string name;
    absl::Status status;
  };

  void AddLink(PipeSide side, UniqueFd fd, const std::string& target);
  void OnAccepted(UniqueFd fd);
  void AddTarget(const PeerAddress& peer);
  void DropTarget(const std::string& name);
  std::shared_ptr<PeerDialer> MakeDialer(const PeerAddress& peer,
                                         const SocketAddress& address);
  Target* FindTarget(std::string_view name);
  absl::Status CheckHello(const Record& record, const Hello& hello) const;
  void ReportBadTargets();
  void CloseEverything();

  // Calls the event, unless the hub has been told to close.
  template <typename... Parameters, typename... Arguments>
  void Emit(const std::function<void(Parameters...)>& event,
            Arguments&&... arguments) {
    if (event && !m_closing) {
      ++m_event_depth;
      event(std::forward<Arguments>(arguments)...);
      --m_event_depth;
    }
  }

  void OnLinkHello(PeerLink& link) override;
  void OnLinkMessage(PeerLink& link, Message message) override;
  void OnLinkClosed(PeerLink& link, const absl::Status& reason) override;

  LinkEnvironment m_environment;
  const std::string m_listen_address;
  const bool m_dials_every_target;
  const LinkHubEvents m_events;
  std::unique_ptr<Listener> m_listener;
  std::map<const PeerLink*, Record> m_links;
  std::map<std::string, PeerLink*, std::less<>> m_up;
  std::vector<PeerAddress> m_target_list;  // as last set
  std::map<std::string, Target, std::less<>> m_targets;
  std::vector<const PeerLink*> m_strangers;  // accepted, no Hello yet; by age
  std::vector<BadTarget> m_bad_targets;      // to be reported
  EventLoop::TimerId m_report_timer = 0;
  int m_event_depth = 0;
  bool m_closing = false;
  // Its end tells callbacks of the loop that the hub is gone.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LINK_HUB_H_
