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

// The delay used instead while the store can't be read. Most peers report their
// version within it, so that not every entry asks the peer that reported first.
constexpr absl::Duration kGatherVersionsPeriod = absl::Milliseconds(20);
// The delay before an agent's copy is requested. An entry that uses copies has
// just started and serves nobody. Three times as long as a read of a sound
// store takes; agents that dial the entry report their versions within it.
constexpr absl::Duration kGatherCopiesPeriod = absl::Milliseconds(150);
// Timeout for the next part of an answer. Sending a part takes some
// milliseconds on a link of 25 Mbit/s, and 30 ms on an otherwise idle one of 2
// Mbit/s.
constexpr absl::Duration kPartTimeout = absl::Milliseconds(400);

}  // namespace

void PeerFetch::AddPeer(const std::string& peer,
                        PeerProximity proximity,
                        PeerKind kind) {
  m_peers[peer] = Peer{.proximity = proximity, .kind = kind};
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
  if (IsNewer(it->second) && m_behind_since == absl::InfiniteDuration()) {
    m_behind_since = now;
    std::uniform_real_distribution<double> draw(0, 1);
    m_drawn_delay = m_times.spread == absl::ZeroDuration()
                        ? absl::ZeroDuration()
                        : draw(m_random) * m_times.spread;
  }
}

void PeerFetch::RecordOwnVersion(uint64_t version) {
  m_own_version = std::max(m_own_version, version);
  ClearIfUpToDate();
}

void PeerFetch::StopUsingCopies() {
  m_uses_copies = false;
  const auto asked = m_peers.find(m_asked_peer);
  if (asked != m_peers.end() && asked->second.kind == PeerKind::kCopy) {
    m_asked_peer.clear();
  }
  ClearIfUpToDate();
}

void PeerFetch::ClearIfUpToDate() {
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

bool PeerFetch::IsNewer(const Peer& peer) const {
  return (m_uses_copies || peer.kind == PeerKind::kEntry) &&
         peer.reported_version > std::max(m_own_version, peer.rejected_through);
}

bool PeerFetch::AnyNewer() const {
  return AnyNewer(PeerKind::kEntry) || AnyNewer(PeerKind::kCopy);
}

bool PeerFetch::AnyNewer(PeerKind kind) const {
  return std::any_of(m_peers.begin(), m_peers.end(),
                     [this, kind](const auto& item) {
                       return item.second.kind == kind && IsNewer(item.second);
                     });
}

uint64_t PeerFetch::NewestCopy() const {
  uint64_t newest = 0;
  for (const auto& [name, peer] : m_peers) {
    if (peer.kind == PeerKind::kCopy && IsNewer(peer)) {
      newest = std::max(newest, peer.reported_version);
    }
  }
  return newest;
}

// Picks a random peer with a newer version, so that the entries that lack it
// don't all ask the same one. Entries are preferred to copies, and then peers
// of the own data centre; the peer that was asked last is picked only if there
// is no other. Of the copies only the newest counts: others may have been
// replaced long ago.
std::optional<std::string> PeerFetch::ChoosePeer() {
  constexpr size_t kRanks = 4;
  std::vector<std::string> candidates[kRanks];
  const uint64_t newest_copy = NewestCopy();
  for (const auto& [name, peer] : m_peers) {
    const bool outdated_copy =
        peer.kind == PeerKind::kCopy && peer.reported_version < newest_copy;
    if (name != m_last_asked_peer && IsNewer(peer) && !outdated_copy) {
      const size_t rank = 2 * static_cast<size_t>(peer.kind) +
                          static_cast<size_t>(peer.proximity);
      candidates[rank].push_back(name);
    }
  }
  for (const std::vector<std::string>& names : candidates) {
    if (!names.empty()) {
      std::uniform_int_distribution<size_t> pick(0, names.size() - 1);
      return names[pick(m_random)];
    }
  }
  return AnyNewer() ? std::optional(m_last_asked_peer) : std::nullopt;
}

MonoTime PeerFetch::NextDue() const {
  if (!m_asked_peer.empty()) {
    return m_asked_at + kPartTimeout;
  }
  absl::Duration delay = absl::InfiniteDuration();
  if (AnyNewer(PeerKind::kEntry)) {
    delay = m_store_failing ? kGatherVersionsPeriod : m_times.delay;
  }
  if (AnyNewer(PeerKind::kCopy)) {
    delay = std::min(delay, kGatherCopiesPeriod);
  }
  if (delay == absl::InfiniteDuration()) {
    return absl::InfiniteDuration();
  }
  return std::max(m_behind_since + delay + m_drawn_delay,
                  m_fetch_began_at + m_times.min_interval);
}

std::optional<std::string> PeerFetch::TakeDue(MonoTime now) {
  if (now < NextDue()) {
    return std::nullopt;
  }
  const bool begins = m_asked_peer.empty();
  // Another copy is used in place of one that isn't delivered.
  if (const auto silent = m_peers.find(m_asked_peer);
      silent != m_peers.end() && silent->second.kind == PeerKind::kCopy) {
    RejectAnswer();
  }
  m_asked_peer.clear();
  const std::optional<std::string> peer = ChoosePeer();
  if (peer.has_value()) {
    m_fetch_began_at = begins ? now : m_fetch_began_at;
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
