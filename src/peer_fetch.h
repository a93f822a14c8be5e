// Which linked entry to ask for a newer version of a table, and when: only when
// the store doesn't give it, one entry at a time, those of the own data centre
// first.
//
//   PeerFetch fetch(seed);
//   fetch.AddPeer("entry-2", PeerProximity::kSameDataCentre);
//   fetch.RecordPeerVersion("entry-2", 7, now);
//   fetch.TakeDue(now + kStoreFirst)   -> "entry-2"
//   fetch.Have(7);                     // the answer has come, or the store's
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

  // What this process has, from wherever.
  void RecordOwnVersion(uint64_t version);
  uint64_t own_version() const { return m_have; }
  // Since when a peer has named a version that this process lacks; infinite:
  // none has.
  MonoTime behind_since() const { return m_behind_since; }
  // The newest version that a linked peer has named.
  uint64_t NewestPeerVersion() const;
  void SetStoreFailing(bool failing) { m_store_failing = failing; }

  // Whether an answer of this peer is awaited.
  bool IsAwaiting(const std::string& peer) const;
  // The peer that was asked has sent a part; it is given time for the next.
  void OnPartReceived(MonoTime now) { m_asked_at = now; }
  // Its answer is of no use: another one is asked, and this one not again until
  // it holds a newer version.
  void RejectAnswer();

  // The peer to ask now, which counts as asked; nullopt: none.
  std::optional<std::string> TakeDue(MonoTime now);
  // When TakeDue() may next name a peer; infinite: not before news come.
  MonoTime NextDue() const;

  // What the peer to be asked is said to hold.
  uint64_t PeerVersion(const std::string& peer) const;

 private:
  struct Peer {
    PeerProximity proximity = PeerProximity::kOtherDataCentre;
    uint64_t holds = 0;
    uint64_t useless_through = 0;  // up to here it is not asked
  };

  static bool IsNewer(const Peer& peer, uint64_t than);
  bool AnyNewer() const;
  std::optional<std::string> Choose();

  std::map<std::string, Peer> m_peers;
  uint64_t m_have = 0;
  bool m_store_failing = false;
  MonoTime m_behind_since = absl::InfiniteDuration();
  std::string m_asked;       // and has not answered yet; empty: nobody
  std::string m_last_asked;  // the next one is another, if there is one
  MonoTime m_asked_at = absl::ZeroDuration();
  std::minstd_rand m_random;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_PEER_FETCH_H_
