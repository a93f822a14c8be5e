// Whoever dials, the link that came up last is the one that counts: the older
// one may be the rest of a lost host that this side has not noticed yet.
//
//   entry-a (smaller) dials entry-b; entry-b probes entry-a while they have no
//   link, so that both learn that the other's process has ended
#include "link_hub.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "tcp_socket.h"

namespace egretswitch::internal {

namespace {

constexpr size_t kReadBufferBytes = 256u << 10;

}  // namespace

LinkHub::LinkHub(EventLoop& loop, LinkHubOptions options, LinkHubEvents events)
    : m_environment{.loop = loop,
                    .self = std::move(options.self),
                    .shared_key = std::move(options.shared_key),
                    .limits = options.limits,
                    .counters = {},
                    .read_buffer = std::vector<char>(kReadBufferBytes)},
      m_listen_address(std::move(options.listen_address)),
      m_dials_every_target(options.dials_every_target),
      m_events(std::move(events)) {}

LinkHub::~LinkHub() {
  CloseEverything();
}

absl::Status LinkHub::Listen() {
  absl::StatusOr<std::unique_ptr<Listener>> listener =
      Listener::Open(m_environment.loop, m_listen_address,
                     [this](UniqueFd fd) { OnAccepted(std::move(fd)); });
  if (!listener.ok()) {
    return listener.status();
  }
  m_listener = *std::move(listener);
  return absl::OkStatus();
}

std::string LinkHub::listen_address() const {
  return m_listener ? m_listener->address() : std::string();
}

void LinkHub::OnAccepted(UniqueFd fd) {
  ++m_environment.counters.connections_accepted;
  if (m_strangers.size() >= m_environment.limits.max_handshakes) {
    m_links.at(m_strangers.front())
        .link->Close(absl::ResourceExhaustedError("too many handshakes"));
  }
  AddLink(PipeSide::kServer, std::move(fd), std::string());
}

void LinkHub::AddLink(PipeSide side, UniqueFd fd, const std::string& target) {
  std::shared_ptr<PeerLink> link =
      PeerLink::Start(side, std::move(fd), m_environment, *this);
  const PeerLink* const key = link.get();
  if (side == PipeSide::kServer) {
    m_strangers.push_back(key);
  }
  m_links.emplace(key, Record{.link = std::move(link), .target = target});
}

void LinkHub::SetDialTargets(absl::Span<const PeerAddress> targets) {
  if (m_closing || absl::MakeConstSpan(m_target_list) == targets) {
    return;
  }
  m_target_list.assign(targets.begin(), targets.end());
  std::map<std::string_view, const PeerAddress*> wanted;
  for (const PeerAddress& peer : m_target_list) {
    if (peer.name != m_environment.self.name) {
      wanted.emplace(peer.name, &peer);
    }
  }
  std::vector<std::string> left_out;
  for (const auto& [name, target] : m_targets) {
    const auto it = wanted.find(name);
    if (it == wanted.end() || *it->second != target.peer) {
      left_out.push_back(name);
    }
  }
  for (const std::string& name : left_out) {
    DropTarget(name);
  }
  for (const auto& [name, peer] : wanted) {
    if (m_targets.find(name) == m_targets.end()) {
      AddTarget(*peer);
    }
  }
}

void LinkHub::AddTarget(const PeerAddress& peer) {
  const absl::StatusOr<SocketAddress> address =
      ParseSocketAddress(peer.address);
  if (!address.ok()) {
    m_bad_targets.push_back({peer.name, address.status()});
    m_environment.loop.Cancel(m_report_timer);
    m_report_timer = m_environment.loop.RunAfter(
        absl::ZeroDuration(), [this] { ReportBadTargets(); });
    return;
  }
  Target& target = m_targets[peer.name];
  target.peer = peer;
  target.dialer = MakeDialer(peer, *address);
  if (m_up.find(peer.name) == m_up.end()) {
    target.dialer->Start();
  }
}

void LinkHub::ReportBadTargets() {
  for (const BadTarget& bad : std::exchange(m_bad_targets, {})) {
    Emit(m_events.link_ended, bad.name, bad.status);
  }
}

std::shared_ptr<PeerDialer> LinkHub::MakeDialer(const PeerAddress& peer,
                                                const SocketAddress& address) {
  const Hello& self = m_environment.self;
  const bool probe_only =
      !m_dials_every_target && self.role == ProcessRole::kEntry &&
      peer.role == ProcessRole::kEntry && peer.name < self.name;
  PeerDialerEvents events;
  events.refused = [this, name = peer.name](MonoTime dialled_at) {
    Emit(m_events.refused, name, dialled_at);
  };
  events.connected = [this, name = peer.name](UniqueFd fd) {
    AddLink(PipeSide::kClient, std::move(fd), name);
  };
  return std::make_shared<PeerDialer>(
      m_environment.loop, m_environment.limits, address,
      probe_only ? DialPurpose::kProbe : DialPurpose::kLink, std::move(events));
}

void LinkHub::DropTarget(const std::string& name) {
  // It may be the dialer that is telling of a refusal just now.
  const auto target = m_targets.extract(name);
  target.mapped().dialer->Rest();
  m_environment.loop.AtTurnEnd([dialer = target.mapped().dialer] {});
  for (const auto& [key, record] : m_links) {
    if (record.target == name) {
      record.link->CloseAtTurnEnd(
          absl::CancelledError("no longer to be dialled"));
    }
  }
}

LinkHub::Target* LinkHub::FindTarget(std::string_view name) {
  const auto it = m_targets.find(name);
  return it == m_targets.end() ? nullptr : &it->second;
}

void LinkHub::Send(std::string_view peer, const Message& message) {
  const auto it = m_up.find(peer);
  if (it != m_up.end()) {
    it->second->Queue(message);
  }
}

void LinkHub::SendTo(std::string_view peer,
                     uint64_t incarnation,
                     const Message& message) {
  const auto it = m_up.find(peer);
  if (it != m_up.end() && it->second->peer()->incarnation == incarnation) {
    it->second->Queue(message);
  }
}

void LinkHub::RedialPeer(std::string_view peer, uint64_t incarnation) {
  const auto up = m_up.find(peer);
  Target* const target = FindTarget(peer);
  if (up == m_up.end() || target == nullptr ||
      up->second->peer()->incarnation != incarnation) {
    return;
  }
  const bool in_handshake =
      std::any_of(m_links.begin(), m_links.end(), [peer](const auto& link) {
        return link.second.target == peer && !link.second.up;
      });
  if (!in_handshake) {
    target->dialer->Start();
  }
}

absl::Status LinkHub::CheckHello(const Record& record,
                                 const Hello& hello) const {
  if (!record.target.empty() && hello.name != record.target) {
    return absl::FailedPreconditionError(
        absl::StrCat("dialled ", record.target, ", found ", hello.name));
  }
  if (hello.name.empty() || hello.name == m_environment.self.name) {
    return absl::FailedPreconditionError(
        absl::StrCat("the peer has no name of its own: \"", hello.name, "\""));
  }
  return absl::OkStatus();
}

void LinkHub::OnLinkHello(PeerLink& link) {
  Record& record = m_links.at(&link);
  const Hello hello = *link.peer();
  std::erase(m_strangers, &link);
  if (absl::Status status = CheckHello(record, hello); !status.ok()) {
    link.Close(status);
    return;
  }
  if (const auto older = m_up.find(hello.name); older != m_up.end()) {
    older->second->Close(absl::UnavailableError("replaced by a newer link"));
  }
  record.up = true;
  record.up_since = EventLoop::MonoNow();
  m_up[hello.name] = &link;
  if (Target* target = FindTarget(hello.name)) {
    target->dialer->Rest();
  }
  Emit(m_events.link_up, hello);
}

void LinkHub::OnLinkMessage(PeerLink& link, Message message) {
  const Hello& peer = *link.peer();
  Emit(m_events.message, peer.name, peer.incarnation, std::move(message));
}

void LinkHub::OnLinkClosed(PeerLink& link, const absl::Status& reason) {
  auto node = m_links.extract(&link);
  const Record& record = node.mapped();
  std::erase(m_strangers, &link);
  const std::string name = record.up ? link.peer()->name : record.target;
  if (record.up) {
    m_up.erase(name);
  }
  Target* const target = FindTarget(name);
  if (target != nullptr && m_up.find(name) == m_up.end()) {
    const bool lasted = record.up && EventLoop::MonoNow() - record.up_since >=
                                         m_environment.limits.settled_after;
    target->dialer->OnLinkLost(lasted);
  }
  const bool probe = name.empty() && absl::IsCancelled(reason);
  if (!probe) {
    Emit(m_events.link_ended, name, reason);
  }
  if (record.up) {
    Emit(m_events.link_down, name, link.peer()->incarnation);
  }
}

void LinkHub::CloseAll() {
  m_closing = true;
  if (m_event_depth == 0) {
    CloseEverything();
    return;
  }
  m_environment.loop.AtTurnEnd([this, weak = std::weak_ptr(m_alive)] {
    if (!weak.expired()) {
      CloseEverything();
    }
  });
}

void LinkHub::CloseEverything() {
  m_closing = true;
  m_environment.loop.Cancel(m_report_timer);
  m_listener.reset();
  m_targets.clear();
  m_target_list.clear();
  m_up.clear();
  m_strangers.clear();
  for (auto& [key, record] : m_links) {
    record.link->Shut();
  }
  m_links.clear();
}

}  // namespace egretswitch::internal
