// What an owner that hands a shard over tells the next one, beside "I have
// stopped": every job it knew and where each started task went. The new owner
// then needs no doubt of its own (docs/DESIGN.md, "Who may start a task").
//
//   outbox.Add(entry_c, {{3, 6}, knowledge, jobs});
//   outbox.Send(...);  // ShardsReleased once entry_c is linked, several if big
//   inbox.Take(entry_b, released, now);
//   inbox.FindWhole(3, 5)->doubt_ms           // null until every job has come
#ifndef EGRETSWITCH_SRC_SHARD_RELEASE_H_
#define EGRETSWITCH_SRC_SHARD_RELEASE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "clock.h"
#include "log_records.h"
#include "messages.h"
#include "node_context.h"
#include "peer_table.h"
#include "submission.h"

namespace egretswitch::internal {

// Jobs go into further messages when one has about so many bytes.
inline constexpr size_t kMostReleaseBytes = 3u << 20;

// The release of one shard. `known` is absent when the shard wasn't served:
// then nothing is whole.
struct ShardRelease {
  ShardEpoch released;
  std::optional<ShardKnowledge> known;
  std::vector<ReleasedJob> jobs;
};

// Adds a task to those started at that process of the agent.
void AddStarted(std::string_view agent,
                uint64_t incarnation,
                uint32_t index,
                std::vector<StartedTasks>* started);

// The messages that carry the releases to one new owner. The first one names
// every shard.
std::vector<ShardsReleased> SplitReleases(
    std::vector<ShardRelease> releases,
    size_t most_bytes = kMostReleaseBytes);

// Releases that wait for the link to their new owner.
class ReleaseOutbox {
 public:
  void Add(const EntryId& owner, ShardRelease release);

  // Sends what can be sent. One for an owner that was itself replaced, so that
  // `epoch_of` the shard is another, has no use any more.
  void Send(const PeerTable& peers,
            const std::function<Epoch(ShardId)>& epoch_of,
            NodeContext* context);

 private:
  std::map<EntryId, std::vector<ShardRelease>> m_releases;  // by new owner
};

// What former owners have said: below which epochs they have stopped, and what
// they know, kept until the new owner serves the shard. Knowledge is keyed by
// the shard and the epoch of the former owner; an epoch has only one owner.
class ReleaseInbox {
 public:
  void Take(const EntryId& from, const ShardsReleased& released, MonoTime now);

  // Since when `former` has said that it has stopped below `epoch`.
  std::optional<MonoTime> StoppedSince(ShardId shard,
                                       const EntryId& former,
                                       Epoch epoch) const;

  // Something has come of it, perhaps not all.
  bool Expects(ShardId shard, Epoch held_epoch) const;

  // Null unless all of it has come.
  const ShardKnowledge* FindWhole(ShardId shard, Epoch held_epoch) const;

  // The jobs of a whole one, which is then forgotten.
  std::vector<ReleasedJob> TakeJobs(ShardId shard, Epoch held_epoch);

  // Forgets the knowledge where `is_useless(shard, held_epoch)`.
  void EraseKnowledgeIf(const std::function<bool(ShardId, Epoch)>& is_useless);

  // Forgets who stopped below an epoch that has passed.
  void ErasePassed(const std::function<Epoch(ShardId)>& epoch_of);

 private:
  // Highest epoch below which an entry says that it has stopped.
  struct Stopped {
    Epoch epoch = 0;
    MonoTime since = absl::ZeroDuration();
  };
  struct Received {
    ShardKnowledge known;
    std::map<SubmissionKey, ReleasedJob> jobs;
  };

  std::map<std::pair<ShardId, EntryId>, Stopped> m_stopped;
  std::map<std::pair<ShardId, Epoch>, Received> m_received;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SHARD_RELEASE_H_
