// Takes shards over: waits for former owners, fences the agents, reads back
// what they hold, and only then serves. Implements docs/DESIGN.md, rules 3, 6
// and 8, and answers the jobs' side as its ShardAuthority.
//
//   fold: shard 3 -> this entry, epoch 5   FenceShards{3, 5} to every agent
//   every agent has answered               OnShardServing(3), ShardsServed
//   fold: shard 3 -> entry-c, epoch 6      OnShardLost(3), ShardsReleased
#ifndef EGRETSWITCH_SRC_SHARD_TAKEOVER_H_
#define EGRETSWITCH_SRC_SHARD_TAKEOVER_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agent_directory.h"
#include "log_follower.h"
#include "owner_lease.h"
#include "peer_table.h"
#include "recovered_jobs.h"
#include "shard_authority.h"
#include "shard_release.h"
#include "takeover_round.h"

namespace egretswitch::internal {

class ShardTakeover : public ShardAuthority, public LogObserver {
 public:
  ShardTakeover(const EntryId& self,
                LogFollower* log,
                PeerTable* peers,
                const OwnerLease* lease,
                const AgentDirectory* agents,
                NodeContext* context);
  ShardTakeover(const ShardTakeover&) = delete;
  ShardTakeover& operator=(const ShardTakeover&) = delete;

  void SetObserver(ShardObserver* observer) { m_observer = observer; }

  // Compares what this entry holds with the fold, and every takeover under way
  // with what is known by now. Called after every event.
  void Update();

  // A link to an agent came up: it is fenced again for all that is owned here,
  // since it may have restarted and forgotten.
  void OnAgentLinkUp(std::string_view agent);
  void OnFenceReply(std::string_view agent, const FenceReply& reply);
  void OnShardsReleased(const EntryId& from, const ShardsReleased& released);
  void OnTick();

  // Shards that the fold gives to this entry, serving or not.
  uint32_t owned_count() const;
  uint32_t serving_count() const;

  // Since when the fold gives the shard to its present owner.
  MonoTime OwnedSince(ShardId shard) const { return m_seen[shard].since; }

  // ShardAuthority.
  bool Serves(ShardId shard) const override;
  Epoch EpochOf(ShardId shard) const override;
  std::optional<EntryId> OwnerOf(ShardId shard) const override;
  absl::Duration OwnerSilentFor(ShardId shard) const override;
  bool MayStart(MonoTime received) const override;
  int64_t DoubtMs(ShardId shard) const override;
  const RecoveredJob* FindRecovered(const SubmissionKey& key) const override;
  bool TakeoversPossible() const override;

  // LogObserver.
  void OnFolded(const LogEntry& entry, FoldVerdict verdict) override;
  void OnAppendSettled(std::string_view append_id,
                       AppendResult result) override;

 private:
  enum class Stage : uint8_t { kNone, kFencing, kServing };
  // The owner of one shard as this object last saw it in the fold.
  struct SeenShard {
    Epoch epoch = 0;
    EntryId owner;
    EntryId predecessor;  // owner at epoch - 1, when it was seen
    MonoTime since = absl::ZeroDuration();
    Stage stage = Stage::kNone;  // kNone unless this entry is the owner
    int64_t doubt_ms = 0;
    std::optional<EntryId> told_owner;  // last OwnerOf() told to the observer
  };

  void ReconcileShard(ShardId shard, std::vector<ShardId>* taken);
  void Lose(ShardId shard);
  void LoseAll();
  void NoteLost();
  ShardRelease ReleaseOf(ShardId shard, Epoch next_epoch) const;
  bool AwaitsRelease(const TakeoverRound& round) const;
  bool MayStillRelease(ShardId shard) const;
  void TakeKnowledge(ShardId shard);
  void BeginRounds(const std::vector<ShardId>& taken);
  void AdvanceRounds();
  FormerOwnerState StateOf(const EntryId& former,
                           const TakeoverRound& round) const;
  std::optional<MonoTime> ReleasedSince(const EntryId& former,
                                        const TakeoverRound& round) const;
  void FenceAll(const TakeoverRound& round);
  void SendFences();
  void Serve(const TakeoverRound& round);
  void AnnounceServed();
  void TellOwnerChanges();

  const EntryId m_self;
  LogFollower& m_log;
  PeerTable& m_peers;
  const OwnerLease& m_lease;
  const AgentDirectory& m_agents;
  NodeContext& m_context;
  ShardObserver* m_observer = nullptr;

  std::vector<SeenShard> m_seen;
  uint64_t m_seen_offset = UINT64_MAX;  // fold offset last reconciled
  uint64_t m_seen_ended = UINT64_MAX;   // PeerTable::ended_count() then
  std::list<TakeoverRound> m_rounds;
  RecoveredJobs m_recovered;
  std::map<std::string, std::vector<ShardEpoch>> m_fences;  // by agent
  ReleaseOutbox m_outbox;
  ReleaseInbox m_inbox;
  std::vector<ShardEpoch> m_unannounced;
  std::vector<ShardEpoch> m_announcing;
  std::string m_announce_id;
  bool m_stopped_seen = false;
  uint32_t m_lost_now = 0;  // shards, by this event
  int64_t m_slot_removed_ms = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SHARD_TAKEOVER_H_
