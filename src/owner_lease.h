// How long this entry may go on to start tasks: a lease on evidence that no
// other entry has taken its shards (docs/DESIGN.md, rule 5).
//
//   read asked for at 10.0 s reached the head    -> lease until 14.0 s
//   permission received at 13.0 s, lasting 1 s   -> MayStart: yes
//   permission received at 13.1 s                -> MayStart: no
#ifndef EGRETSWITCH_SRC_OWNER_LEASE_H_
#define EGRETSWITCH_SRC_OWNER_LEASE_H_

#include <set>

#include "clock.h"
#include "log_follower.h"
#include "node_context.h"
#include "peer_table.h"

namespace egretswitch::internal {

class OwnerLease : public LogObserver, public PeerObserver {
 public:
  OwnerLease(const EntryId& self,
             const LogFollower* log,
             const PeerTable* peers,
             NodeContext* context);
  OwnerLease(const OwnerLease&) = delete;
  OwnerLease& operator=(const OwnerLease&) = delete;

  // Whether a start that uses a permission received at `received` ends before
  // the lease does.
  bool MayStart(MonoTime received) const;

  // The lease lasts at this moment.
  bool IsHeld() const;

  MonoTime until() const { return m_until; }

  // Looks for evidence (b): every other entry lacks the log as well.
  void RenewFromPeers();

  // This incarnation has ended, by its own word or another's: for good.
  void StopForGood() { m_stopped = true; }
  bool stopped() const { return m_stopped; }

  // LogObserver: evidence (a).
  void OnHeadReached(MonoTime asked_at) override;

  // PeerObserver.
  void OnEntryEnded(const EntryId& id) override;

 private:
  void Extend(MonoTime asked_at);
  bool IsSoundEnd(const EntryId& id) const;

  const EntryId m_self;
  const LogFollower& m_log;
  const PeerTable& m_peers;
  NodeContext& m_context;
  MonoTime m_until = -absl::InfiniteDuration();
  std::set<EntryId> m_sound_ends;
  bool m_stopped = false;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_OWNER_LEASE_H_
