#include "takeover_round.h"

#include <algorithm>
#include <utility>

#include "node_limits.h"

namespace egretswitch::internal {

TakeoverRound::TakeoverRound(std::vector<ShardEpoch> shards,
                             std::vector<EntryId> former_owners,
                             std::vector<std::string> agents,
                             MonoTime claim_known)
    : m_shards(std::move(shards)),
      m_former_owners(std::move(former_owners)),
      m_claim_known(claim_known) {
  for (std::string& agent : agents) {
    m_answered.emplace(std::move(agent), false);
  }
}

void TakeoverRound::Drop(ShardId shard) {
  std::erase_if(m_shards, [shard](const ShardEpoch& owned) {
    return owned.shard == shard;
  });
}

// The moment at which an agent that doesn't answer is settled:
//  - a former owner that has ended sent its last start before that, and the
//    agent refuses it after kPermissionLife;
//  - one that has acknowledged this entry can't renew its lease any more once
//    this entry has folded the claim. Its lease may have been renewed without
//    this entry until the acknowledgement, so the later of both counts.
bool TakeoverRound::Bound(const std::vector<FormerOwnerState>& states) {
  MonoTime settled_at = -absl::InfiniteDuration();
  for (const FormerOwnerState& state : states) {
    MonoTime at = absl::InfiniteDuration();
    if (state.end_known) {
      at = *state.end_known + kPermissionLife + kDriftMargin;
    }
    if (state.acknowledged) {
      at = std::min(at, std::max(m_claim_known, *state.acknowledged) +
                            kOwnerLease + kDriftMargin);
    }
    settled_at = std::max(settled_at, at);
  }
  m_silent_settled_at = settled_at;
  const bool was_bounded = std::exchange(
      m_bounded, m_bounded || settled_at < absl::InfiniteDuration());
  return m_bounded && !was_bounded;
}

// An answer to another epoch, or one that leaves out a shard, proves nothing.
bool TakeoverRound::Covers(const FenceReply& reply) const {
  return std::all_of(
      m_shards.begin(), m_shards.end(), [&reply](const ShardEpoch& owned) {
        return std::any_of(reply.shards.begin(), reply.shards.end(),
                           [&owned](const ShardEpoch& fenced) {
                             return fenced.shard == owned.shard &&
                                    fenced.epoch == owned.epoch;
                           });
      });
}

void TakeoverRound::OnAnswer(std::string_view agent, const FenceReply& reply) {
  const auto it = m_answered.find(agent);
  if (!m_bounded || it == m_answered.end() || it->second || !Covers(reply)) {
    return;
  }
  it->second = true;
  m_doubt_ms = std::max(m_doubt_ms, reply.memory_since_ms);
}

bool TakeoverRound::IsSettled(Now now) {
  if (!m_bounded) {
    return false;
  }
  const bool all_answered =
      std::all_of(m_answered.begin(), m_answered.end(),
                  [](const auto& agent) { return agent.second; });
  if (all_answered) {
    return true;
  }
  if (now.mono < m_silent_settled_at) {
    return false;
  }
  m_doubt_ms = std::max(m_doubt_ms, now.wall_ms);
  return true;
}

}  // namespace egretswitch::internal
