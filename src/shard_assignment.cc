#include "shard_assignment.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "node_limits.h"

namespace egretswitch::internal {
namespace {

// An entry must have been alive this long, and a shard must have stayed this
// long with its owner, before the shard is handed over.
constexpr absl::Duration kSettleTime = absl::Seconds(1);

// Shards in one handover: each is without a serving owner for a round trip.
constexpr size_t kHandoverShards = 16;

// Without a change that shows at once, shards are looked at this often: what
// depends on time alone, such as kSettleTime, may wait so long.
constexpr absl::Duration kUpdatePeriod = absl::Milliseconds(200);

// Records that the receiver of a shard may still have to fold.
constexpr uint64_t kFoldLag = 16;

const EntryId* PreferredFor(ShardId shard,
                            const std::vector<EntryId>& candidates) {
  const EntryId* best = nullptr;
  uint64_t best_weight = 0;
  for (const EntryId& id : candidates) {
    const uint64_t weight = PreferenceOf(shard, id.name);
    if (best == nullptr || weight > best_weight) {
      best = &id;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace

uint64_t PreferenceOf(ShardId shard, std::string_view entry_name) {
  return XXH3_64bits_withSeed(entry_name.data(), entry_name.size(), shard);
}

ShardAssignment::ShardAssignment(const EntryId& self,
                                 LogFollower* log,
                                 const PeerTable* peers,
                                 const ShardTakeover* takeover,
                                 NodeContext* context)
    : m_self(self),
      m_log(*log),
      m_peers(*peers),
      m_takeover(*takeover),
      m_context(*context) {}

bool ShardAssignment::MustBeReplaced(const EntryId& owner) const {
  return !m_peers.IsAlive(owner) || m_peers.IsLongWithoutLog(owner);
}

bool ShardAssignment::CanOwn(const EntryId& id) const {
  if (id == m_self) {
    return !m_draining;
  }
  return !MustBeReplaced(id) && !m_peers.IsDraining(id);
}

std::vector<EntryId> ShardAssignment::Candidates() const {
  std::vector<EntryId> candidates;
  for (const auto& [name, entry] : m_log.control().entries()) {
    const EntryId id{name, entry.joined.incarnation};
    if (CanOwn(id)) {
      candidates.push_back(id);
    }
  }
  return candidates;
}

bool ShardAssignment::HasSuccessor() const {
  const std::vector<EntryId> candidates = Candidates();
  return std::any_of(candidates.begin(), candidates.end(),
                     [this](const EntryId& id) { return id != m_self; });
}

// Not to an entry that has only just come, or that would first have to catch
// up, nor a shard that has only just moved: it would move back and forth.
bool ShardAssignment::MayReceive(const EntryId& id, ShardId shard) const {
  const MonoTime now = m_context.now().mono;
  if (!m_peers.IsLinked(id) || m_peers.SaysLacking(id)) {
    return false;
  }
  if (m_draining) {
    return true;
  }
  return now - m_peers.AliveSince(id) >= kSettleTime &&
         now - m_takeover.OwnedSince(shard) >= kSettleTime &&
         m_peers.FoldOffsetOf(id) + kFoldLag >= m_log.control().next_offset() &&
         m_takeover.Serves(shard);
}

// Looking at the shards hashes each with each candidate: too much for each
// tick.
void ShardAssignment::OnTick() {
  if (IsClaiming() || !m_log.CanAppend()) {
    m_next_update = -absl::InfiniteDuration();
    return;
  }
  std::vector<MemberState> members;
  for (const auto& [name, entry] : m_log.control().entries()) {
    const EntryId id{name, entry.joined.incarnation};
    members.push_back({MustBeReplaced(id), m_peers.IsDraining(id)});
  }
  const MonoTime now = m_context.now().mono;
  if (now < m_next_update && members == m_members) {
    return;
  }
  m_members = std::move(members);
  m_next_update = now + kUpdatePeriod;
  Update();
}

void ShardAssignment::Update() {
  if (IsClaiming() || !m_log.CanAppend()) {
    return;
  }
  const ControlState& control = m_log.control();
  const std::vector<EntryId> candidates = Candidates();
  std::vector<ShardClaim> own;
  std::map<EntryId, std::vector<ShardClaim>> handovers;
  for (ShardId shard = 0; shard < control.shard_count(); ++shard) {
    const ShardState& state = control.shard(shard);
    const EntryId* preferred = PreferredFor(shard, candidates);
    if (preferred == nullptr || state.owner == *preferred) {
      continue;
    }
    if (state.owner == m_self) {
      if (MayReceive(*preferred, shard)) {
        handovers[*preferred].push_back({shard, state.epoch});
      }
    } else if (*preferred == m_self &&
               (state.owner.name.empty() || MustBeReplaced(state.owner))) {
      own.push_back({shard, state.epoch});
    }
  }
  if (!own.empty()) {
    Claim(m_self, std::move(own));
  } else if (!handovers.empty()) {
    auto& [receiver, claims] = *handovers.begin();
    if (!m_draining && claims.size() > kHandoverShards) {
      claims.resize(kHandoverShards);
    }
    m_context.counters().Add(Counter::kShardsHandedOver, claims.size());
    Claim(receiver, std::move(claims));
  }
}

void ShardAssignment::Claim(const EntryId& owner,
                            std::vector<ShardClaim> claims) {
  m_claim_id = m_log.Append(ShardsClaimed{owner, std::move(claims)});
}

void ShardAssignment::OnAppendSettled(std::string_view append_id,
                                      AppendResult) {
  if (append_id == m_claim_id) {
    m_claim_id.clear();
  }
}

}  // namespace egretswitch::internal
