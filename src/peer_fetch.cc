// Each entry follows the tables in the store, so a version reaches all of them
// with one read each. A neighbour is needed by those that the store turns away,
// doesn't answer, or answers too slowly: copies sent to everybody would fill
// the links of small entries with what they have just read themselves. At 55
// entries a configuration of 140 kB would be 7.5 MB out of each, 2.4 s of a
// link of 25 Mbit/s.
#include "peer_fetch.h"

#include <algorithm>
#include <vector>

namespace egretswitch::internal {
namespace {

// A store that can be read gets this long to give a version that a neighbour
// has: most give it within some milliseconds, a slow one within 0.4 s, a link
// of 2 Mbit/s takes 1 s for the largest. Half of the shortest time within which
// a configuration must be in force.
constexpr absl::Duration kStoreFirst = absl::Seconds(1);
// While the store can't be read: until most neighbours have said what they
// hold, so that not all ask the first one that did.
constexpr absl::Duration kGatherNews = absl::Milliseconds(20);
// Until the next part of an answer. A part takes some milliseconds on a link of
// 25 Mbit/s, and 30 ms alone on one of 2 Mbit/s.
constexpr absl::Duration kPartPatience = absl::Milliseconds(400);

}  // namespace

void PeerFetch::AddPeer(const std::string& peer, PeerProximity proximity) {
  m_peers[peer] = Peer{.proximity = proximity};
}

void PeerFetch::RemovePeer(const std::string& peer) {
  m_peers.erase(peer);
  if (m_asked == peer) {
    m_asked.clear();
  }
}

void PeerFetch::RecordPeerVersion(const std::string& peer,
                                  uint64_t version,
                                  MonoTime now) {
  const auto it = m_peers.find(peer);
  if (it == m_peers.end()) {
    return;
  }
  it->second.holds = std::max(it->second.holds, version);
  if (version > m_have) {
    m_behind_since = std::min(m_behind_since, now);
  }
}

void PeerFetch::RecordOwnVersion(uint64_t version) {
  m_have = std::max(m_have, version);
  if (!AnyNewer()) {
    m_behind_since = absl::InfiniteDuration();
    m_asked.clear();
  }
}

bool PeerFetch::IsAwaiting(const std::string& peer) const {
  return !m_asked.empty() && m_asked == peer;
}

void PeerFetch::RejectAnswer() {
  const auto it = m_peers.find(m_asked);
  if (it != m_peers.end()) {
    it->second.useless_through = it->second.holds;
  }
  m_asked.clear();
}

bool PeerFetch::IsNewer(const Peer& peer, uint64_t than) {
  return peer.holds > std::max(than, peer.useless_through);
}

bool PeerFetch::AnyNewer() const {
  return std::any_of(m_peers.begin(), m_peers.end(), [this](const auto& named) {
    return IsNewer(named.second, m_have);
  });
}

// Any of the nearest that have something newer, so that those who lack it don't
// all ask the same one; the one that was asked last only when there is no
// other.
std::optional<std::string> PeerFetch::Choose() {
  std::vector<std::string> near;
  std::vector<std::string> elsewhere;
  for (const auto& [name, peer] : m_peers) {
    if (name != m_last_asked && IsNewer(peer, m_have)) {
      const bool is_near = peer.proximity == PeerProximity::kSameDataCentre;
      (is_near ? near : elsewhere).push_back(name);
    }
  }
  const std::vector<std::string>& choice = near.empty() ? elsewhere : near;
  if (choice.empty()) {
    return AnyNewer() ? std::optional(m_last_asked) : std::nullopt;
  }
  std::uniform_int_distribution<size_t> pick(0, choice.size() - 1);
  return choice[pick(m_random)];
}

MonoTime PeerFetch::NextDue() const {
  if (!m_asked.empty()) {
    return m_asked_at + kPartPatience;
  }
  if (!AnyNewer()) {
    return absl::InfiniteDuration();
  }
  return m_behind_since + (m_store_failing ? kGatherNews : kStoreFirst);
}

std::optional<std::string> PeerFetch::TakeDue(MonoTime now) {
  if (now < NextDue()) {
    return std::nullopt;
  }
  m_asked.clear();
  const std::optional<std::string> peer = Choose();
  if (peer.has_value()) {
    m_asked = *peer;
    m_last_asked = *peer;
    m_asked_at = now;
  }
  return peer;
}

uint64_t PeerFetch::NewestPeerVersion() const {
  uint64_t newest = 0;
  for (const auto& [name, peer] : m_peers) {
    newest = std::max(newest, peer.holds);
  }
  return newest;
}

uint64_t PeerFetch::PeerVersion(const std::string& peer) const {
  const auto it = m_peers.find(peer);
  return it == m_peers.end() ? 0 : it->second.holds;
}

}  // namespace egretswitch::internal
