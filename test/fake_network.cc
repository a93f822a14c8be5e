#include "fake_network.h"

#include <algorithm>

namespace egretswitch::internal {
namespace {

constexpr VirtualUs kRedialAfter = Ms(100);

}  // namespace

FakeNetwork::Pair FakeNetwork::PairOf(const std::string& a,
                                      const std::string& b) {
  return a < b ? Pair(a, b) : Pair(b, a);
}

FakeNetwork::LinkPtr FakeNetwork::FindLink(const std::string& a,
                                           const std::string& b) const {
  const auto it = m_links.find(PairOf(a, b));
  return it == m_links.end() ? nullptr : it->second;
}

// The link that is up in the eyes of `process`, or null.
FakeNetwork::LinkPtr FakeNetwork::UpLink(const std::string& process,
                                         const std::string& peer) const {
  const auto it = m_current.find({process, peer});
  if (it == m_current.end()) {
    return nullptr;
  }
  const LinkPtr& link = it->second;
  const size_t end = link->names[0] == process ? 0 : 1;
  const bool up = link->up[end] && link->lives[end] == m_host.LifeOf(process);
  return up ? link : nullptr;
}

// ---- Messages ---------------------------------------------------------------

void FakeNetwork::Send(const std::string& from,
                       const std::string& to,
                       Message message) {
  const LinkPtr link = UpLink(from, to);
  if (link == nullptr) {
    return;
  }
  const size_t sender = link->names[0] == from ? 0 : 1;
  const size_t receiver = 1 - sender;
  MessageArrived event{from, link->incarnations[sender], std::move(message)};
  ArriveAt(link, receiver, Latency(),
           [this, link, receiver, event = std::move(event)] {
             if (link->up[receiver]) {
               m_host.HandleNetworkEvent(link->names[receiver], event);
             }
           });
}

// Runs `task` in the process at that end, behind everything sent before.
void FakeNetwork::ArriveAt(const LinkPtr& link,
                           size_t end,
                           VirtualUs delay,
                           std::function<void()> task) {
  const auto extra = m_delays.find(PairOf(link->names[0], link->names[1]));
  if (extra != m_delays.end()) {
    delay += extra->second;
  }
  VirtualUs& last = link->last_arrival[end];
  last = std::max(last, m_time.now() + delay);
  m_time.At(last, [this, link, end, task = std::move(task)] {
    if (link->severed) {
      return;
    }
    if (IsCut(link->names[1 - end], link->names[end]) ||
        !link->held[end].empty()) {
      link->held[end].push_back(task);
      return;
    }
    m_host.Post(link->names[end], link->lives[end], task);
  });
}

void FakeNetwork::Release(const LinkPtr& link, size_t end) {
  for (auto& task : std::exchange(link->held[end], {})) {
    m_host.Post(link->names[end], link->lives[end], std::move(task));
  }
}

// ---- Ends of links ----------------------------------------------------------

// Ends what is up at that end, unless it is newer than `broken`.
void FakeNetwork::HandleBreak(const LinkPtr& broken, size_t end) {
  const std::string process = broken->names[end];
  const std::string peer = broken->names[1 - end];
  const LinkPtr link = UpLink(process, peer);
  if (link == nullptr || link->number > broken->number) {
    return;
  }
  link->up[end] = false;
  m_host.HandleNetworkEvent(process,
                            LinkDown{peer, link->incarnations[1 - end]});
  if (IsTarget(process, peer)) {
    Dial(process, link->lives[end], peer);
  }
}

void FakeNetwork::BreakEnd(const LinkPtr& link, size_t end, VirtualUs delay) {
  const VirtualUs at = std::max(m_time.now() + delay, link->last_arrival[end]);
  m_time.At(at, [this, link, end] {
    m_host.Post(link->names[end], link->lives[end],
                [this, link, end] { HandleBreak(link, end); });
  });
}

// What an ended process had sent still arrives before the end of its link. A
// lost host is noticed after the timeout.
void FakeNetwork::OnEnded(const std::string& process, bool silent) {
  for (auto& [pair, link] : m_links) {
    for (size_t end : {0, 1}) {
      if (link->names[end] == process) {
        const size_t peer = 1 - end;
        const bool unheard = silent || IsCut(process, link->names[peer]);
        BreakEnd(link, peer, unheard ? kCutLinkTimeout : Latency());
      }
    }
  }
  m_targets.erase(process);
}

// ---- Cuts -------------------------------------------------------------------

bool FakeNetwork::IsCut(const std::string& from, const std::string& to) const {
  return m_cuts.contains({from, to});
}

void FakeNetwork::Cut(const std::string& from, const std::string& to) {
  const uint64_t cut = ++m_next_cut;
  m_cuts[{from, to}] = cut;
  m_time.After(kCutLinkTimeout, [this, direction = Pair(from, to), cut] {
    BreakWhenStillCut(direction, cut);
  });
}

void FakeNetwork::BreakWhenStillCut(const Pair& direction, uint64_t cut) {
  const auto it = m_cuts.find(direction);
  const LinkPtr link = FindLink(direction.first, direction.second);
  if (it == m_cuts.end() || it->second != cut || link == nullptr) {
    return;
  }
  link->severed = true;
  BreakEnd(link, 0, 0);
  BreakEnd(link, 1, 0);
}

void FakeNetwork::Heal(const std::string& from, const std::string& to) {
  m_cuts.erase({from, to});
  const LinkPtr link = FindLink(from, to);
  if (link != nullptr && !link->severed) {
    Release(link, link->names[0] == to ? 0 : 1);
  }
}

void FakeNetwork::SetDelay(const std::string& a,
                           const std::string& b,
                           VirtualUs delay) {
  if (delay == 0) {
    m_delays.erase(PairOf(a, b));
  } else {
    m_delays[PairOf(a, b)] = delay;
  }
}

// ---- Dialing ----------------------------------------------------------------

bool FakeNetwork::IsTarget(const std::string& process,
                           const std::string& peer) const {
  const auto it = m_targets.find(process);
  return it != m_targets.end() &&
         std::any_of(it->second.begin(), it->second.end(),
                     [&peer](const PeerAddress& target) {
                       return target.name == peer;
                     });
}

void FakeNetwork::SetTargets(const std::string& process,
                             std::vector<PeerAddress> peers) {
  m_targets[process] = std::move(peers);
  for (const PeerAddress& target : m_targets[process]) {
    Dial(process, m_host.LifeOf(process), target.name);
  }
}

// One attempt; another follows until the link is up or the peer is no target.
void FakeNetwork::Dial(const std::string& process,
                       uint64_t life,
                       const std::string& peer) {
  uint64_t& dialing = m_dialing[{process, peer}];
  if (dialing == life) {
    return;
  }
  dialing = life;
  const MonoTime dialled_at = m_host.SteadyTimeOf(process);
  m_time.After(Latency(), [this, process, life, peer, dialled_at] {
    if (m_host.LifeOf(process) != life ||
        m_host.StateOf(process) == ProcessState::kEnded) {
      return;
    }
    m_dialing[{process, peer}] = 0;
    if (!IsTarget(process, peer) || UpLink(process, peer) != nullptr) {
      return;
    }
    const bool silent = IsCut(process, peer) || IsCut(peer, process);
    const ProcessState there = m_host.StateOf(peer);
    if (!silent && there == ProcessState::kEnded) {
      m_host.Post(process, life, [this, process, peer, dialled_at] {
        m_host.HandleNetworkEvent(process,
                                  PeerRefusedConnection{peer, dialled_at});
      });
    } else if (!silent && there == ProcessState::kRuns &&
               m_host.StateOf(process) == ProcessState::kRuns &&
               !IsConnecting(process, peer)) {
      Connect(process, peer);
    }
    m_time.After(kRedialAfter,
                 [this, process, life, peer] { Dial(process, life, peer); });
  });
}

// A connection of these very lives is on its way.
bool FakeNetwork::IsConnecting(const std::string& dialer,
                               const std::string& peer) const {
  const LinkPtr link = FindLink(dialer, peer);
  return link != nullptr && !link->severed &&
         m_time.now() - link->dialed < kCutLinkTimeout &&
         link->lives[0] == m_host.LifeOf(link->names[0]) &&
         link->lives[1] == m_host.LifeOf(link->names[1]);
}

void FakeNetwork::Connect(const std::string& dialer, const std::string& peer) {
  const LinkPtr former = FindLink(dialer, peer);
  if (former != nullptr) {
    former->severed = true;
  }
  auto link = std::make_shared<Link>();
  link->number = ++m_next_link;
  link->dialed = m_time.now();
  const Pair pair = PairOf(dialer, peer);
  link->names = {pair.first, pair.second};
  for (size_t end : {0, 1}) {
    link->lives[end] = m_host.LifeOf(link->names[end]);
    link->incarnations[end] = m_host.HelloOf(link->names[end]).incarnation;
  }
  m_links[pair] = link;
  const size_t dialer_end = link->names[0] == dialer ? 0 : 1;
  ArriveAt(link, 1 - dialer_end, Latency(), [this, link, dialer_end] {
    Accept(link, 1 - dialer_end);
    ArriveAt(link, dialer_end, Latency(),
             [this, link, dialer_end] { Accept(link, dialer_end); });
  });
}

// The Hello of the peer has come: the link is up at this end.
void FakeNetwork::Accept(const LinkPtr& link, size_t end) {
  const std::string process = link->names[end];
  const std::string peer = link->names[1 - end];
  HandleBreak(link, end);
  const ProcessState there = m_host.StateOf(peer);
  const bool gone = m_host.LifeOf(peer) != link->lives[1 - end] ||
                    there == ProcessState::kEnded ||
                    there == ProcessState::kHostLost;
  if (link->severed || gone || m_host.LifeOf(process) != link->lives[end]) {
    link->severed = true;
    return;
  }
  link->up[end] = true;
  m_current[{process, peer}] = link;
  m_host.HandleNetworkEvent(process, LinkUp{m_host.HelloOf(peer)});
}

}  // namespace egretswitch::internal
