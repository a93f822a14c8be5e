// Writes snapshots of the control stream, so that nothing depends on a record
// older than the log keeps. The owner of shard 0 does it.
//
//   500 records folded since the last Snapshot, shard 0 served here -> Snapshot
#ifndef EGRETSWITCH_SRC_SNAPSHOT_WRITER_H_
#define EGRETSWITCH_SRC_SNAPSHOT_WRITER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "log_follower.h"
#include "node_context.h"
#include "shard_takeover.h"

namespace egretswitch::internal {

class SnapshotWriter : public LogObserver {
 public:
  SnapshotWriter(LogFollower* log,
                 const ShardTakeover* takeover,
                 NodeContext* context);
  SnapshotWriter(const SnapshotWriter&) = delete;
  SnapshotWriter& operator=(const SnapshotWriter&) = delete;

  void OnTick();

  // LogObserver.
  void OnFolded(const LogEntry& entry, FoldVerdict verdict) override;
  void OnAppendSettled(std::string_view append_id,
                       AppendResult result) override;

 private:
  LogFollower& m_log;
  const ShardTakeover& m_takeover;
  NodeContext& m_context;
  uint64_t m_covered = 0;  // offset after the last Snapshot record
  std::optional<MonoTime> m_covered_at;
  std::string m_append_id;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SNAPSHOT_WRITER_H_
