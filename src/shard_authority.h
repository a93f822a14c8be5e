// What the jobs' side of an entry asks about shards: who owns them, whether
// this entry may start their tasks now, and what a takeover found.
//
//   if (authority.Serves(shard)) { own the job }
//   else if (auto owner = authority.OwnerOf(shard)) { Forward to *owner }
//
// docs/DESIGN.md, "Who may start a task", gives the rules; shard_takeover.h
// implements them, and tests put a fake in its place.
#ifndef EGRETSWITCH_SRC_SHARD_AUTHORITY_H_
#define EGRETSWITCH_SRC_SHARD_AUTHORITY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "log_records.h"
#include "messages.h"
#include "submission.h"

namespace egretswitch::internal {

// What agents hold of one submission, read back in a takeover, and what the
// owner before says that it sent them.
struct RecoveredJob {
  uint64_t digest = 0;
  uint32_t task_count = 0;
  int64_t submitted_ms = 0;
  std::map<uint32_t, std::string> agent_by_task;  // task index -> agent name
  // Tasks that the agent itself did not list: the incarnation that their start
  // was sent to.
  std::map<uint32_t, uint64_t> sent_to;
};

class ShardAuthority {
 public:
  virtual ~ShardAuthority() = default;

  // This entry owns the shard and every agent is settled: jobs may be owned.
  virtual bool Serves(ShardId shard) const = 0;

  // Epoch under which this entry owns the shard; valid while Serves().
  virtual Epoch EpochOf(ShardId shard) const = 0;

  // The entry that owns the shard by the latest fold, if that process is not
  // known to have ended. Its link may still be down.
  virtual std::optional<EntryId> OwnerOf(ShardId shard) const = 0;

  // For how long this entry has not heard the owner itself (zero: no owner, or
  // it is this entry). A frozen process keeps its link.
  virtual absl::Duration OwnerSilentFor(ShardId shard) const = 0;

  // Whether a start that uses a permission received at `received` is covered
  // by this entry's lease (rule 5).
  virtual bool MayStart(MonoTime received) const = 0;

  // Starts made before this wall time (plus skew) may be unknown (0: none).
  virtual int64_t DoubtMs(ShardId shard) const = 0;

  // What the takeover of its shard found of `key`, or null. Kept until the
  // horizon of the submission has passed.
  virtual const RecoveredJob* FindRecovered(const SubmissionKey& key) const = 0;

  // Whether the log has answered lately: a missing owner will be replaced.
  virtual bool TakeoversPossible() const = 0;
};

// Told by the authority while it handles events.
class ShardObserver {
 public:
  virtual ~ShardObserver() = default;

  // This entry begins to serve the shard.
  virtual void OnShardServing(ShardId shard) = 0;

  // The jobs of a served shard, open or ended, of which tasks were sent to
  // agents and not refused. Asked for just before OnShardLost().
  virtual std::vector<ReleasedJob> StartedJobs(ShardId shard) const = 0;

  // This entry has lost the shard: nothing of it may be started any more.
  virtual void OnShardLost(ShardId shard) = 0;

  // The owner of the shard, as OwnerOf() tells it, has changed.
  virtual void OnOwnerChanged(ShardId shard) = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SHARD_AUTHORITY_H_
