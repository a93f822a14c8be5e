#include "takeover_round.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "node_limits.h"

namespace egretswitch::internal {
namespace {

bool IsLess(const ShardEpoch& one, const ShardEpoch& other) {
  return std::tie(one.shard, one.epoch) < std::tie(other.shard, other.epoch);
}

}  // namespace

TakeoverRound::TakeoverRound(std::vector<ShardEpoch> shards,
                             std::vector<EntryId> former_owners,
                             std::vector<std::string> agents,
                             MonoTime claim_known)
    : m_shards(std::move(shards)),
      m_former_owners(std::move(former_owners)),
      m_unanswered(std::make_move_iterator(agents.begin()),
                   std::make_move_iterator(agents.end())),
      m_claim_known(claim_known) {
  std::sort(m_shards.begin(), m_shards.end(), IsLess);
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
// Agents answer in the order of the fence, which is mostly sorted.
bool TakeoverRound::Covers(const FenceReply& reply) const {
  if (std::is_sorted(reply.shards.begin(), reply.shards.end(), IsLess)) {
    return std::includes(reply.shards.begin(), reply.shards.end(),
                         m_shards.begin(), m_shards.end(), IsLess);
  }
  std::vector<ShardEpoch> fenced = reply.shards;
  std::sort(fenced.begin(), fenced.end(), IsLess);
  return std::includes(fenced.begin(), fenced.end(), m_shards.begin(),
                       m_shards.end(), IsLess);
}

void TakeoverRound::OnAnswer(std::string_view agent, const FenceReply& reply) {
  const auto it = m_unanswered.find(agent);
  if (!m_bounded || it == m_unanswered.end() || !Covers(reply)) {
    return;
  }
  m_unanswered.erase(it);
  m_doubt_ms = std::max(m_doubt_ms, reply.memory_since_ms);
}

bool TakeoverRound::IsSettled(Now now) {
  if (!m_bounded) {
    return false;
  }
  if (m_unanswered.empty()) {
    return true;
  }
  if (now.mono < m_silent_settled_at) {
    return false;
  }
  m_doubt_ms = std::max(m_doubt_ms, now.wall_ms);
  return true;
}

}  // namespace egretswitch::internal
