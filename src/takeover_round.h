// One takeover of shards that came together and had the same former owners:
// which agents have answered its fence, and whether time has settled the rest.
//
//   round.OnAnswer("agent-1", reply)
//   round.Settle(proofs, now)        // true once every agent is settled
#ifndef EGRETSWITCH_SRC_TAKEOVER_ROUND_H_
#define EGRETSWITCH_SRC_TAKEOVER_ROUND_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "clock.h"
#include "log_records.h"
#include "messages.h"

namespace egretswitch::internal {

// What is known about one former owner at this moment.
struct FormerOwnerState {
  std::optional<MonoTime> end_known;     // proof that it has ended (rule 8)
  std::optional<MonoTime> acknowledged;  // it knows the new owner as a member
};

class TakeoverRound {
 public:
  // `agents`: every agent registered when the claim took effect, which was
  // learnt at `claim_known`.
  TakeoverRound(std::vector<ShardEpoch> shards,
                std::vector<EntryId> former_owners,
                std::vector<std::string> agents,
                MonoTime claim_known);

  const std::vector<ShardEpoch>& shards() const { return m_shards; }
  const std::vector<EntryId>& former_owners() const { return m_former_owners; }
  MonoTime claim_known() const { return m_claim_known; }

  // The shard was lost again.
  void Drop(ShardId shard);

  // Every former owner is known to be bounded: fences count from now on.
  bool bounded() const { return m_bounded; }

  // Takes what is known of the former owners, in their order; returns true
  // when the round has become bounded by it.
  bool Bound(const std::vector<FormerOwnerState>& states);

  // An agent answered a fence that was sent for this round.
  void OnAnswer(std::string_view agent, const FenceReply& reply);

  // Whether every agent is settled at `now`; call Bound() first.
  bool IsSettled(Now now);

  // Starts made before this wall time may be unknown.
  int64_t doubt_ms() const { return m_doubt_ms; }

 private:
  bool Covers(const FenceReply& reply) const;

  std::vector<ShardEpoch> m_shards;  // sorted by shard
  std::vector<EntryId> m_former_owners;
  std::set<std::string, std::less<>> m_unanswered;  // agents
  MonoTime m_claim_known;
  MonoTime m_silent_settled_at = absl::InfiniteDuration();
  int64_t m_doubt_ms = 0;
  bool m_bounded = false;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_TAKEOVER_ROUND_H_
