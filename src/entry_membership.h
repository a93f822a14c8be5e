// The life of this entry in the deployment: it joins once it has read the whole
// control stream, and leaves when a drain has left it nothing to do.
//
//   first complete read          -> EntryJoined; a member once it is folded
//   a member not heard for 0.75 s -> EntryAlive, at most one a second, for 6 s
//                                    and while that member shows life in the
//                                    log
//   BeginDrain, shards handed over, callers answered -> EntryLeft, then Stop
//   folded: another incarnation of this name joined  -> Stop at once
#ifndef EGRETSWITCH_SRC_ENTRY_MEMBERSHIP_H_
#define EGRETSWITCH_SRC_ENTRY_MEMBERSHIP_H_

#include <functional>
#include <string>
#include <string_view>

#include "log_follower.h"
#include "log_records.h"
#include "node_context.h"
#include "owner_lease.h"
#include "peer_table.h"
#include "shard_assignment.h"
#include "shard_takeover.h"

namespace egretswitch::internal {

class EntryMembership : public LogObserver {
 public:
  struct Parts {
    LogFollower* log = nullptr;
    PeerTable* peers = nullptr;
    OwnerLease* lease = nullptr;
    ShardTakeover* takeover = nullptr;
    ShardAssignment* assignment = nullptr;
    NodeContext* context = nullptr;
  };

  EntryMembership(EntryJoined self, const Parts& parts);
  EntryMembership(const EntryMembership&) = delete;
  EntryMembership& operator=(const EntryMembership&) = delete;

  // Whether every caller is answered and no job is open here; asked in a drain.
  void SetIdle(std::function<bool()> idle) { m_idle = std::move(idle); }

  void BeginDrain();
  bool draining() const { return m_draining; }

  // The fold has this very incarnation as a member.
  bool IsMember() const;

  // Joins, leaves and stops as far as it is due. Called after every event.
  void Update();

  // Appends a sign of life when one is due.
  void OnTick();

  // LogObserver.
  void OnFolded(const LogEntry& entry, FoldVerdict verdict) override;
  void OnAppendSettled(std::string_view append_id,
                       AppendResult result) override;

 private:
  void Expel(std::string_view why);
  void AdvanceDrain();
  void Leave();
  void StopOnce();

  const EntryJoined m_self;
  const Parts m_parts;
  std::function<bool()> m_idle;
  std::string m_join_id;
  std::string m_alive_id;
  MonoTime m_next_alive = -absl::InfiniteDuration();
  MonoTime m_left_at = absl::ZeroDuration();
  bool m_joined = false;  // this incarnation was a member at some time
  bool m_draining = false;
  bool m_leaving = false;
  bool m_stop_sent = false;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_ENTRY_MEMBERSHIP_H_
