// Each entry follows the tables in the store, so a version reaches all entries
// with one read each. Only an entry that the store refuses, doesn't answer, or
// answers too slowly fetches a table from a peer. Sending copies to every entry
// would fill the links of small entries with data that they have just read
// themselves: with 55 entries, each would send a configuration of 140 kB as
// 7.5 MB, 2.4 s on a link of 25 Mbit/s.
#include "peer_fetch.h"

#include <algorithm>
#include <vector>

namespace egretswitch::internal {
namespace {

// How long a readable store may take to deliver a version that a peer has
// reported. Most stores deliver it within some milliseconds, a slow one within
// 0.4 s; a link of 2 Mbit/s takes 1 s for the largest version. It is half of
// the shortest configurable time until a configuration must be in force.
constexpr absl::Duration kStoreGracePeriod = absl::Seconds(1);
// The delay used instead while the store can't be read. Most peers report their
// version within it, so that not every entry asks the peer that reported first.
constexpr absl::Duration kGatherVersionsPeriod = absl::Milliseconds(20);
// Timeout for the next part of an answer. Sending a part takes some
// milliseconds on a link of 25 Mbit/s, and 30 ms on an otherwise idle one of 2
// Mbit/s.
constexpr absl::Duration kPartTimeout = absl::Milliseconds(400);

}  // namespace

void PeerFetch::AddPeer(const std::string& peer, PeerProximity proximity) {
  m_peers[peer] = Peer{.proximity = proximity};
}

void PeerFetch::RemovePeer(const std::string& peer) {
  m_peers.erase(peer);
  if (m_asked_peer == peer) {
    m_asked_peer.clear();
  }
}

void PeerFetch::RecordPeerVersion(const std::string& peer,
                                  uint64_t version,
                                  MonoTime now) {
  const auto it = m_peers.find(peer);
  if (it == m_peers.end()) {
    return;
  }
  it->second.reported_version = std::max(it->second.reported_version, version);
  if (version > m_own_version) {
    m_behind_since = std::min(m_behind_since, now);
  }
}

void PeerFetch::RecordOwnVersion(uint64_t version) {
  m_own_version = std::max(m_own_version, version);
  if (!AnyNewer()) {
    m_behind_since = absl::InfiniteDuration();
    m_asked_peer.clear();
  }
}

bool PeerFetch::IsAwaiting(const std::string& peer) const {
  return !m_asked_peer.empty() && m_asked_peer == peer;
}

void PeerFetch::RejectAnswer() {
  const auto it = m_peers.find(m_asked_peer);
  if (it != m_peers.end()) {
    it->second.rejected_through = it->second.reported_version;
  }
  m_asked_peer.clear();
}

bool PeerFetch::IsNewer(const Peer& peer, uint64_t than) {
  return peer.reported_version > std::max(than, peer.rejected_through);
}

bool PeerFetch::AnyNewer() const {
  return std::any_of(m_peers.begin(), m_peers.end(), [this](const auto& item) {
    return IsNewer(item.second, m_own_version);
  });
}

// Picks a random peer with a newer version, so that the entries that lack it
// don't all ask the same one. Peers of the own data centre are preferred; the
// peer that was asked last is picked only if there is no other.
std::optional<std::string> PeerFetch::ChoosePeer() {
  std::vector<std::string> local;
  std::vector<std::string> remote;
  for (const auto& [name, peer] : m_peers) {
    if (name != m_last_asked_peer && IsNewer(peer, m_own_version)) {
      const bool is_local = peer.proximity == PeerProximity::kSameDataCentre;
      (is_local ? local : remote).push_back(name);
    }
  }
  const std::vector<std::string>& candidates = local.empty() ? remote : local;
  if (candidates.empty()) {
    return AnyNewer() ? std::optional(m_last_asked_peer) : std::nullopt;
  }
  std::uniform_int_distribution<size_t> pick(0, candidates.size() - 1);
  return candidates[pick(m_random)];
}

MonoTime PeerFetch::NextDue() const {
  if (!m_asked_peer.empty()) {
    return m_asked_at + kPartTimeout;
  }
  if (!AnyNewer()) {
    return absl::InfiniteDuration();
  }
  return m_behind_since +
         (m_store_failing ? kGatherVersionsPeriod : kStoreGracePeriod);
}

std::optional<std::string> PeerFetch::TakeDue(MonoTime now) {
  if (now < NextDue()) {
    return std::nullopt;
  }
  m_asked_peer.clear();
  const std::optional<std::string> peer = ChoosePeer();
  if (peer.has_value()) {
    m_asked_peer = *peer;
    m_last_asked_peer = *peer;
    m_asked_at = now;
  }
  return peer;
}

uint64_t PeerFetch::NewestPeerVersion() const {
  uint64_t newest = 0;
  for (const auto& [name, peer] : m_peers) {
    newest = std::max(newest, peer.reported_version);
  }
  return newest;
}

uint64_t PeerFetch::PeerVersion(const std::string& peer) const {
  const auto it = m_peers.find(peer);
  return it == m_peers.end() ? 0 : it->second.reported_version;
}

}  // namespace egretswitch::internal
