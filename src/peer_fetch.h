// Selects the linked entry to ask for a newer version of a table, and when:
// only if the store doesn't deliver it, one entry at a time, entries of the own
// data centre first.
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

#include "clock.h"

namespace egretswitch::internal {

enum class PeerProximity : uint8_t { kSameDataCentre = 0, kOtherDataCentre };

class PeerFetch {
 public:
  explicit PeerFetch(uint64_t seed) : m_random(seed) {}

  void AddPeer(const std::string& peer, PeerProximity proximity);
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
    uint64_t reported_version = 0;
    uint64_t rejected_through = 0;  // not asked for versions up to this
  };

  static bool IsNewer(const Peer& peer, uint64_t than);
  bool AnyNewer() const;
  std::optional<std::string> ChoosePeer();

  std::map<std::string, Peer> m_peers;
  uint64_t m_own_version = 0;
  bool m_store_failing = false;
  MonoTime m_behind_since = absl::InfiniteDuration();
  std::string m_asked_peer;       // its answer is pending; empty if none is
  std::string m_last_asked_peer;  // another peer is preferred next time
  MonoTime m_asked_at = absl::ZeroDuration();
  std::minstd_rand m_random;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_PEER_FETCH_H_
