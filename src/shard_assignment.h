// Decides which entry should own each shard, and appends the claims that this
// entry is to make: for itself when an owner is gone, for another entry when
// that one is preferred (docs/DESIGN.md, "Who takes over, and rebalancing").
//
//   shard 3: owner entry-b is silent, entry-a preferred   entry-a claims it
//   shard 4: owner entry-a, entry-c preferred and alive   entry-a claims it
//                                                         for entry-c
#ifndef EGRETSWITCH_SRC_SHARD_ASSIGNMENT_H_
#define EGRETSWITCH_SRC_SHARD_ASSIGNMENT_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "log_follower.h"
#include "log_records.h"
#include "node_context.h"
#include "peer_table.h"
#include "shard_takeover.h"

namespace egretswitch::internal {

// Rendezvous weight of an entry for a shard; the highest one is preferred.
uint64_t PreferenceOf(ShardId shard, std::string_view entry_name);

class ShardAssignment : public LogObserver {
 public:
  ShardAssignment(const EntryId& self,
                  LogFollower* log,
                  const PeerTable* peers,
                  const ShardTakeover* takeover,
                  NodeContext* context);
  ShardAssignment(const ShardAssignment&) = delete;
  ShardAssignment& operator=(const ShardAssignment&) = delete;

  // Appends the next claim when one is due and none is outstanding. Call it
  // only while this entry is a member.
  void Update();

  // Update() when a member has begun or ceased to be alive or draining, after
  // an own claim or the log's absence, and every 200 ms. New records and proofs
  // of ends call for Update() itself.
  void OnTick();

  void SetDraining() { m_draining = true; }

  // A claim of this entry is outstanding.
  bool IsClaiming() const { return !m_claim_id.empty(); }

  // An entry that could take shards of this one lives.
  bool HasSuccessor() const;

  // LogObserver.
  void OnAppendSettled(std::string_view append_id,
                       AppendResult result) override;

 private:
  // What makes a member an owner or a candidate, in the order of the fold.
  struct MemberState {
    bool must_be_replaced = false;
    bool draining = false;
    bool operator==(const MemberState&) const = default;
  };

  bool CanOwn(const EntryId& id) const;
  bool MustBeReplaced(const EntryId& owner) const;
  bool MayReceive(const EntryId& id, ShardId shard) const;
  std::vector<EntryId> Candidates() const;
  void Claim(const EntryId& owner, std::vector<ShardClaim> claims);

  const EntryId m_self;
  LogFollower& m_log;
  const PeerTable& m_peers;
  const ShardTakeover& m_takeover;
  NodeContext& m_context;
  std::string m_claim_id;
  std::vector<MemberState> m_members;  // at the last Update() by a tick
  MonoTime m_next_update = -absl::InfiniteDuration();
  bool m_draining = false;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SHARD_ASSIGNMENT_H_
