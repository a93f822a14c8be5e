#include "shard_takeover.h"

#include <algorithm>
#include <utility>

#include "node_limits.h"

namespace egretswitch::internal {

ShardTakeover::ShardTakeover(const EntryId& self,
                             LogFollower* log,
                             PeerTable* peers,
                             const OwnerLease* lease,
                             const AgentDirectory* agents,
                             NodeContext* context)
    : m_self(self),
      m_log(*log),
      m_peers(*peers),
      m_lease(*lease),
      m_agents(*agents),
      m_context(*context),
      m_seen(log->control().shard_count()) {}

void ShardTakeover::Update() {
  if (!m_log.complete()) {
    return;
  }
  const uint64_t offset = m_log.control().next_offset();
  const bool folded = offset != m_seen_offset;
  const bool ended = m_peers.ended_count() != m_seen_ended;
  const bool stopped_now = m_lease.stopped() && !m_stopped_seen;
  m_seen_offset = offset;
  m_seen_ended = m_peers.ended_count();
  m_stopped_seen = m_lease.stopped();
  if (stopped_now) {
    LoseAll();
  }
  if (folded) {
    std::vector<ShardId> taken;
    for (ShardId shard = 0; shard < m_seen.size(); ++shard) {
      ReconcileShard(shard, &taken);
    }
    BeginRounds(taken);
  }
  NoteLost();
  AdvanceRounds();
  SendFences();
  m_outbox.Send(
      m_peers, [this](ShardId shard) { return EpochOf(shard); }, &m_context);
  AnnounceServed();
  if (folded || ended || stopped_now) {
    TellOwnerChanges();
  }
}

// Shards changing hands. ----------------------------------------------------

void ShardTakeover::ReconcileShard(ShardId shard, std::vector<ShardId>* taken) {
  const ShardState& state = m_log.control().shard(shard);
  SeenShard& seen = m_seen[shard];
  if (seen.epoch == state.epoch && seen.owner == state.owner) {
    return;
  }
  const bool lost = seen.stage != Stage::kNone;
  ShardRelease release = ReleaseOf(shard, state.epoch);
  if (lost) {
    Lose(shard);
  }
  seen.predecessor = seen.epoch + 1 == state.epoch ? seen.owner : EntryId{};
  seen.epoch = state.epoch;
  seen.owner = state.owner;
  seen.since = m_context.now().mono;
  if (state.owner == m_self && !m_lease.stopped()) {
    seen.stage = Stage::kFencing;
    taken->push_back(shard);
    return;
  }
  const auto& former = state.former_owners;
  if (lost || std::find(former.begin(), former.end(), m_self) != former.end()) {
    m_outbox.Add(state.owner, std::move(release));
  }
}

// Taken before the jobs' side forgets the shard. Nothing of it can be started
// after this: the jobs' side hears of the loss next.
ShardRelease ShardTakeover::ReleaseOf(ShardId shard, Epoch next_epoch) const {
  const SeenShard& seen = m_seen[shard];
  ShardRelease release{{shard, next_epoch}, std::nullopt, {}};
  if (seen.stage != Stage::kServing || m_observer == nullptr) {
    return release;
  }
  release.jobs = m_observer->StartedJobs(shard);
  m_recovered.Complete(shard, &release.jobs);
  for (ReleasedJob& job : release.jobs) {
    job.held_epoch = seen.epoch;
  }
  release.known = ShardKnowledge{shard, seen.epoch, seen.doubt_ms,
                                 static_cast<uint32_t>(release.jobs.size())};
  return release;
}

void ShardTakeover::Lose(ShardId shard) {
  ++m_lost_now;
  m_seen[shard].stage = Stage::kNone;
  m_seen[shard].doubt_ms = 0;
  m_recovered.Forget(shard);
  for (TakeoverRound& round : m_rounds) {
    round.Drop(shard);
  }
  if (m_observer != nullptr) {
    m_observer->OnShardLost(shard);
  }
}

void ShardTakeover::LoseAll() {
  for (ShardId shard = 0; shard < m_seen.size(); ++shard) {
    if (m_seen[shard].stage != Stage::kNone) {
      Lose(shard);
    }
  }
}

void ShardTakeover::NoteLost() {
  const uint32_t lost = std::exchange(m_lost_now, 0);
  if (lost > 0) {
    m_context.Do(
        NoteStateChange{"shards lost", {{"count", std::to_string(lost)}}});
  }
}

void ShardTakeover::OnShardsReleased(const EntryId& from,
                                     const ShardsReleased& released) {
  m_inbox.Take(from, released, m_context.now().mono);
  for (ShardId shard = 0; shard < m_seen.size(); ++shard) {
    if (m_seen[shard].stage == Stage::kServing) {
      TakeKnowledge(shard);
    }
  }
}

// Knowledge of the owner just before replaces the doubt, since that owner knew
// every start of its own and all that it had found. Late, it can only lower
// what this entry has acted on.
void ShardTakeover::TakeKnowledge(ShardId shard) {
  SeenShard& seen = m_seen[shard];
  const Epoch held_epoch = seen.epoch - 1;
  const ShardKnowledge* known = m_inbox.FindWhole(shard, held_epoch);
  if (known == nullptr) {
    return;
  }
  const bool is_late = seen.stage == Stage::kServing;
  seen.doubt_ms =
      is_late ? std::min(seen.doubt_ms, known->doubt_ms) : known->doubt_ms;
  for (const ReleasedJob& job : m_inbox.TakeJobs(shard, held_epoch)) {
    m_recovered.Merge(job);
  }
}

// Whether the round, otherwise done, is worth holding for a living owner's
// release.
bool ShardTakeover::AwaitsRelease(const TakeoverRound& round) const {
  const auto& shards = round.shards();
  return m_context.now().mono < round.claim_known() + kReleasePatience &&
         std::any_of(shards.begin(), shards.end(), [this](const auto& owned) {
           return MayStillRelease(owned.shard);
         });
}

bool ShardTakeover::MayStillRelease(ShardId shard) const {
  const SeenShard& seen = m_seen[shard];
  const EntryId& before = seen.predecessor;
  if (before == m_self || !m_peers.IsLinked(before) ||
      !m_peers.IsAlive(before) ||
      m_inbox.FindWhole(shard, seen.epoch - 1) != nullptr) {
    return false;
  }
  const bool has_released =
      m_inbox.StoppedSince(shard, before, seen.epoch).has_value();
  return !has_released || m_inbox.Expects(shard, seen.epoch - 1);
}

// Takeovers. ----------------------------------------------------------------

void ShardTakeover::BeginRounds(const std::vector<ShardId>& taken) {
  std::map<std::vector<EntryId>, std::vector<ShardEpoch>> by_former;
  for (const ShardId shard : taken) {
    const ShardState& state = m_log.control().shard(shard);
    by_former[state.former_owners].push_back({shard, state.epoch});
  }
  std::vector<std::string> agents;
  for (const auto& [name, slot] : m_log.control().slots()) {
    agents.push_back(name);
  }
  for (auto& [former, shards] : by_former) {
    m_context.counters().Add(Counter::kTakeoversStarted, shards.size());
    TakeoverRound round(std::move(shards), former, agents,
                        m_context.now().mono);
    if (former.empty()) {
      // Nobody has ever started anything in these shards.
      Serve(round);
    } else {
      m_rounds.push_back(std::move(round));
    }
  }
}

void ShardTakeover::AdvanceRounds() {
  for (auto it = m_rounds.begin(); it != m_rounds.end();) {
    TakeoverRound& round = *it;
    if (round.shards().empty()) {
      it = m_rounds.erase(it);
      continue;
    }
    std::vector<FormerOwnerState> states;
    for (const EntryId& former : round.former_owners()) {
      states.push_back(StateOf(former, round));
    }
    if (round.Bound(states)) {
      FenceAll(round);
    }
    if (!round.IsSettled(m_context.now()) || AwaitsRelease(round)) {
      ++it;
      continue;
    }
    Serve(round);
    m_unannounced.insert(m_unannounced.end(), round.shards().begin(),
                         round.shards().end());
    it = m_rounds.erase(it);
  }
}

// This entry itself stopped to act under its earlier epochs at the latest when
// it folded the claim.
FormerOwnerState ShardTakeover::StateOf(const EntryId& former,
                                        const TakeoverRound& round) const {
  if (former == m_self) {
    return {round.claim_known(), std::nullopt};
  }
  FormerOwnerState state{m_peers.EndKnownSince(former),
                         m_peers.AcknowledgedSelfSince(former)};
  const std::optional<MonoTime> released = ReleasedSince(former, round);
  if (released && (!state.end_known || *released < *state.end_known)) {
    state.end_known = released;
  }
  return state;
}

// Since when `former` has said, for every shard of the round, that it has
// stopped below the epoch of this takeover.
std::optional<MonoTime> ShardTakeover::ReleasedSince(
    const EntryId& former,
    const TakeoverRound& round) const {
  MonoTime since = -absl::InfiniteDuration();
  for (const ShardEpoch& shard : round.shards()) {
    const auto stopped = m_inbox.StoppedSince(shard.shard, former, shard.epoch);
    if (!stopped) {
      return std::nullopt;
    }
    since = std::max(since, *stopped);
  }
  return since;
}

// A fence counts only when it was sent after every former owner was bounded:
// until then an agent might answer, restart without its fences, and be used by
// a former owner again.
void ShardTakeover::FenceAll(const TakeoverRound& round) {
  for (const auto& [name, agent] : m_agents.agents()) {
    if (agent.linked) {
      auto& fences = m_fences[name];
      fences.insert(fences.end(), round.shards().begin(), round.shards().end());
    }
  }
}

void ShardTakeover::SendFences() {
  for (auto& [agent, shards] : m_fences) {
    m_context.Send(agent, FenceShards{std::move(shards)});
  }
  m_fences.clear();
}

void ShardTakeover::OnAgentLinkUp(std::string_view agent) {
  std::vector<ShardEpoch> shards;
  for (ShardId shard = 0; shard < m_seen.size(); ++shard) {
    if (m_seen[shard].stage == Stage::kServing) {
      shards.push_back({shard, m_seen[shard].epoch});
    }
  }
  for (const TakeoverRound& round : m_rounds) {
    if (round.bounded()) {
      shards.insert(shards.end(), round.shards().begin(), round.shards().end());
    }
  }
  if (!shards.empty()) {
    m_context.Send(agent, FenceShards{std::move(shards)});
  }
}

void ShardTakeover::OnFenceReply(std::string_view agent,
                                 const FenceReply& reply) {
  for (const Holding& holding : reply.holdings) {
    if (holding.shard < m_seen.size() &&
        m_seen[holding.shard].stage != Stage::kNone) {
      m_recovered.Merge(agent, holding);
    }
  }
  for (TakeoverRound& round : m_rounds) {
    round.OnAnswer(agent, reply);
  }
}

void ShardTakeover::Serve(const TakeoverRound& round) {
  const int64_t doubt_ms = round.former_owners().empty()
                               ? 0
                               : std::max(round.doubt_ms(), m_slot_removed_ms);
  for (const ShardEpoch& owned : round.shards()) {
    m_seen[owned.shard].doubt_ms = doubt_ms;
    TakeKnowledge(owned.shard);
    m_seen[owned.shard].stage = Stage::kServing;
    m_context.counters().Add(Counter::kTakeoversDone);
    if (m_observer != nullptr) {
      m_observer->OnShardServing(owned.shard);
    }
  }
  m_context.Do(
      NoteStateChange{"shards served",
                      {{"count", std::to_string(round.shards().size())},
                       {"doubt_ms", std::to_string(doubt_ms)}}});
}

// Tells the log that the former owners are settled. Nothing waits for it; until
// it is there, the next takeover waits for the earlier owners as well.
void ShardTakeover::AnnounceServed() {
  if (m_unannounced.empty() || !m_announce_id.empty() || !m_log.CanAppend()) {
    return;
  }
  ShardsServed served;
  for (const ShardEpoch& shard : m_unannounced) {
    const SeenShard& seen = m_seen[shard.shard];
    if (seen.stage == Stage::kServing && seen.epoch == shard.epoch) {
      served.shards.push_back({shard.shard, shard.epoch});
    }
  }
  m_announcing = std::exchange(m_unannounced, {});
  if (!served.shards.empty()) {
    m_announce_id = m_log.Append(std::move(served));
  }
}

void ShardTakeover::OnAppendSettled(std::string_view append_id,
                                    AppendResult result) {
  if (append_id != m_announce_id) {
    return;
  }
  m_announce_id.clear();
  if (result == AppendResult::kNotAppended) {
    m_unannounced.insert(m_unannounced.end(), m_announcing.begin(),
                         m_announcing.end());
  }
}

// What a removed slot's agent had started can't be read back any more.
void ShardTakeover::OnFolded(const LogEntry& entry, FoldVerdict verdict) {
  if (verdict == FoldVerdict::kAccepted && m_log.complete() &&
      std::holds_alternative<SlotRemoved>(entry.record.body)) {
    m_slot_removed_ms = m_context.now().wall_ms;
  }
}

void ShardTakeover::OnTick() {
  m_recovered.DropExpired(m_context.now().wall_ms);
  m_inbox.ErasePassed([this](ShardId shard) {
    return shard < m_seen.size() ? m_seen[shard].epoch : UINT64_MAX;
  });
  m_inbox.EraseKnowledgeIf([this](ShardId shard, Epoch held_epoch) {
    return shard >= m_seen.size() || held_epoch + 1 < m_seen[shard].epoch ||
           (held_epoch + 1 == m_seen[shard].epoch &&
            m_seen[shard].stage == Stage::kNone);
  });
}

void ShardTakeover::TellOwnerChanges() {
  for (ShardId shard = 0; shard < m_seen.size(); ++shard) {
    std::optional<EntryId> owner = OwnerOf(shard);
    if (owner == m_seen[shard].told_owner) {
      continue;
    }
    m_seen[shard].told_owner = std::move(owner);
    if (m_observer != nullptr) {
      m_observer->OnOwnerChanged(shard);
    }
  }
}

// Questions. ----------------------------------------------------------------

uint32_t ShardTakeover::owned_count() const {
  return static_cast<uint32_t>(std::count_if(
      m_seen.begin(), m_seen.end(),
      [](const SeenShard& seen) { return seen.stage != Stage::kNone; }));
}

uint32_t ShardTakeover::serving_count() const {
  return static_cast<uint32_t>(std::count_if(
      m_seen.begin(), m_seen.end(),
      [](const SeenShard& seen) { return seen.stage == Stage::kServing; }));
}

bool ShardTakeover::Serves(ShardId shard) const {
  return m_seen.at(shard).stage == Stage::kServing && !m_lease.stopped();
}

Epoch ShardTakeover::EpochOf(ShardId shard) const {
  return m_seen.at(shard).epoch;
}

std::optional<EntryId> ShardTakeover::OwnerOf(ShardId shard) const {
  const EntryId& owner = m_log.control().shard(shard).owner;
  if (!m_log.complete() || owner.name.empty() || m_peers.EndKnownSince(owner) ||
      (owner == m_self && m_lease.stopped())) {
    return std::nullopt;
  }
  return owner;
}

absl::Duration ShardTakeover::OwnerSilentFor(ShardId shard) const {
  const std::optional<EntryId> owner = OwnerOf(shard);
  return !owner || *owner == m_self ? absl::ZeroDuration()
                                    : m_peers.SilentFor(*owner);
}

bool ShardTakeover::MayStart(MonoTime received) const {
  return m_lease.MayStart(received);
}

int64_t ShardTakeover::DoubtMs(ShardId shard) const {
  return m_seen.at(shard).doubt_ms;
}

const RecoveredJob* ShardTakeover::FindRecovered(
    const SubmissionKey& key) const {
  const auto count = static_cast<uint32_t>(m_seen.size());
  return m_recovered.Find(ShardOf(key, count), key);
}

bool ShardTakeover::TakeoversPossible() const {
  return m_log.Answers();
}

}  // namespace egretswitch::internal
