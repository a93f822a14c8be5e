// Folds the control stream: the same records in the same order give the same
// state in every process.
//
//   state.Apply({7, ShardsClaimed{entry-b, shard 3 expecting 4}})  epoch 4 -> 5
//   state.Apply({8, ShardsClaimed{entry-c, shard 3 expecting 4}})  no effect
#ifndef EGRETSWITCH_SRC_CONTROL_STATE_H_
#define EGRETSWITCH_SRC_CONTROL_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/types/span.h"
#include "log_records.h"

namespace egretswitch::internal {

// What became of one record.
enum class FoldVerdict : uint8_t {
  kAccepted = 0,
  kSuperseded,  // a claim or edit that lost its race
  kInvalid,     // out of range; ignored by every process alike
  kSkipped,     // before next_offset(): already folded
  kGap,         // after next_offset(): records are missing, nothing changed
};

class ControlState {
 public:
  explicit ControlState(uint32_t shard_count);

  // Folds one record. A Snapshot whose next_offset is ahead of this state
  // replaces it even across a gap, and reading goes on at next_offset(), which
  // may lie before the snapshot itself; any other record must be the next one.
  FoldVerdict Apply(const LogEntry& entry);

  // The state as a snapshot that any other process would write identically.
  Snapshot MakeSnapshot() const;

  uint64_t next_offset() const { return m_next_offset; }
  uint32_t shard_count() const;
  const ShardState& shard(ShardId shard) const;
  const std::map<std::string, EntryState>& entries() const;
  const std::map<std::string, SlotRegistered>& slots() const;
  const std::map<std::string, RowState>& rows() const;

  // Row in force for `kind`, or null when there is none.
  const TableRow* FindRow(std::string_view kind) const;

  // Grows by one with each accepted edit and never goes down.
  uint64_t table_version() const { return m_table_version; }

 private:
  FoldVerdict ApplyBody(const EntryJoined& body, uint64_t offset);
  FoldVerdict ApplyBody(const EntryLeft& body, uint64_t offset);
  FoldVerdict ApplyBody(const SlotRegistered& body, uint64_t offset);
  FoldVerdict ApplyBody(const SlotRemoved& body, uint64_t offset);
  FoldVerdict ApplyBody(const ShardsClaimed& body, uint64_t offset);
  FoldVerdict ApplyBody(const ShardsServed& body, uint64_t offset);
  FoldVerdict ApplyBody(const RowEdited& body, uint64_t offset);
  FoldVerdict ApplyBody(const Snapshot& body, uint64_t offset);
  FoldVerdict ApplyBody(const Unreadable& body, uint64_t offset);
  FoldVerdict ApplyBody(const EntryAlive& body, uint64_t offset);
  bool IsMember(const EntryId& id) const;
  void RememberFormer(const EntryId& id);

  uint64_t m_next_offset = 0;
  uint64_t m_table_version = 0;
  std::vector<ShardState> m_shards;
  std::map<std::string, EntryState> m_entries;
  std::vector<EntryId> m_former_entries;  // oldest first
  std::map<std::string, SlotRegistered> m_slots;
  std::map<std::string, RowState> m_rows;
};

// Checks every limit of a row: kind 1..64 bytes of [a-z0-9_.-], weight
// 1..1000, retry_percent 0..100, prefer_response 0..100. The message is for
// the operator and names the column, what was found and what is allowed.
absl::Status ValidateRow(const TableRow& row);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CONTROL_STATE_H_
