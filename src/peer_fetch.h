// Selects the linked peer to ask for a newer version of a table, and when: only
// if the store doesn't deliver it, one peer at a time, entries before agents,
// peers of the own data centre first.
//
//   PeerFetch fetch(seed);
//   fetch.AddPeer("entry-2", PeerProximity::kSameDataCentre);
//   fetch.RecordPeerVersion("entry-2", 7, now);
//   fetch.TakeDue(now + kStoreGracePeriod)   -> "entry-2"
//   fetch.RecordOwnVersion(7);         // received from the peer or the store
#ifndef EGRETSWITCH_SRC_PEER_FETCH_H_
#define EGRETSWITCH_SRC_PEER_FETCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "clock.h"

namespace egretswitch::internal {

enum class PeerProximity : uint8_t { kSameDataCentre = 0, kOtherDataCentre };

// Whether a peer has a table from the store or another entry, or keeps a copy
// of what entries had.
enum class PeerKind : uint8_t { kEntry = 0, kCopy };

// When a version that a peer has reported is fetched.
struct FetchTimes {
  absl::Duration delay;   // after the report, while the store can be read
  absl::Duration spread;  // up to so much is added to the delay, at random
  absl::Duration min_interval;  // between the starts of two fetches
};

// For an entry: how long a readable store may take to deliver a version that a
// peer has reported. Most stores deliver it within some milliseconds, a slow
// one within 0.4 s; a link of 2 Mbit/s takes 1 s for the largest version. It is
// half of the shortest configurable time until a configuration must be in
// force.
inline constexpr FetchTimes kEntryFetchTimes = {
    .delay = absl::Seconds(1),
    .spread = absl::ZeroDuration(),
    .min_interval = absl::ZeroDuration()};

// For an agent, which needs the version only when entries have lost it. All
// agents are told of it at once and must not fetch it at once.
inline constexpr FetchTimes kCopyFetchTimes = {
    .delay = absl::ZeroDuration(),
    .spread = absl::Seconds(1),
    .min_interval = absl::Seconds(2)};

class PeerFetch {
 public:
  explicit PeerFetch(uint64_t seed, const FetchTimes& times = kEntryFetchTimes)
      : m_times(times), m_random(seed) {}

  void AddPeer(const std::string& peer,
               PeerProximity proximity,
               PeerKind kind = PeerKind::kEntry);
  void RemovePeer(const std::string& peer);
  void RecordPeerVersion(const std::string& peer,
                         uint64_t version,
                         MonoTime now);

  // Records the version that this process has, whatever its source.
  void RecordOwnVersion(uint64_t version);
  uint64_t own_version() const { return m_own_version; }
  // When a peer first reported a version that this process lacks; infinite if
  // none has.
  MonoTime behind_since() const { return m_behind_since; }
  // The newest version that a linked peer has reported.
  uint64_t NewestPeerVersion() const;
  void SetStoreFailing(bool failing) { m_store_failing = failing; }
  // From now on no peer of this kind is asked.
  void StopUsingCopies();
  // The version of this process came from a copy and is void.
  void ForgetOwnVersion() { m_own_version = 0; }
  // The requested version has been received. A further one counts as a new
  // fetch.
  void EndFetch() { m_asked_peer.clear(); }

  // Whether this peer was asked and its answer is pending.
  bool IsAwaiting(const std::string& peer) const;
  // The asked peer has sent a part; restarts the timeout for the next one.
  void OnPartReceived(MonoTime now) { m_asked_at = now; }
  // Rejects the answer of the asked peer: another peer is asked, and this one
  // again only after it reports a newer version.
  void RejectAnswer();

  // Returns the peer to ask now and marks it as asked; nullopt if none is due.
  std::optional<std::string> TakeDue(MonoTime now);
  // When TakeDue() may next return a peer; infinite if none has a newer
  // version.
  MonoTime NextDue() const;

  // The version that this peer has reported; 0 if none.
  uint64_t PeerVersion(const std::string& peer) const;

 private:
  struct Peer {
    PeerProximity proximity = PeerProximity::kOtherDataCentre;
    PeerKind kind = PeerKind::kEntry;
    uint64_t reported_version = 0;
    uint64_t rejected_through = 0;  // not asked for versions up to this
  };

  bool IsNewer(const Peer& peer) const;
  bool AnyNewer() const;
  bool AnyNewer(PeerKind kind) const;
  uint64_t NewestCopy() const;
  void ClearIfUpToDate();
  std::optional<std::string> ChoosePeer();

  const FetchTimes m_times;
  std::map<std::string, Peer> m_peers;
  uint64_t m_own_version = 0;
  bool m_store_failing = false;
  bool m_uses_copies = true;
  MonoTime m_behind_since = absl::InfiniteDuration();
  absl::Duration m_drawn_delay;  // of the present fetch, within the spread
  MonoTime m_fetch_began_at = -absl::InfiniteDuration();
  std::string m_asked_peer;       // its answer is pending; empty if none is
  std::string m_last_asked_peer;  // another peer is preferred next time
  MonoTime m_asked_at = absl::ZeroDuration();
  std::minstd_rand m_random;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_PEER_FETCH_H_
