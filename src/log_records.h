// The records of the control stream in the platform's log service.
//
// One stream carries every change that all processes must agree on: members,
// owners of shards, rows of the operator table, and snapshots of all these.
// Log order decides each race; ControlState (control_state.h) folds it.
//
//   offset 7  ShardsClaimed{claimer entry-b, shard 3 expecting epoch 4}  ->
//   epoch 5 offset 8  ShardsClaimed{claimer entry-c, shard 3 expecting epoch 4}
//   -> refused
#ifndef EGRETSWITCH_SRC_LOG_RECORDS_H_
#define EGRETSWITCH_SRC_LOG_RECORDS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "msgpack_config.h"
#include "submission.h"

namespace egretswitch::internal {

// An entry instance starts to take part. A later record with the same name
// and another incarnation ends the former one.
struct EntryJoined {
  std::string name;
  uint64_t incarnation = 0;
  std::string address;  // "127.0.0.1:7001", where other entries dial it
  std::string data_centre;
  std::string region;
  MSGPACK_DEFINE(name, incarnation, address, data_centre, region)
};

// An entry has ended, by its own word (planned stop) or proved by another.
struct EntryLeft {
  std::string name;
  uint64_t incarnation = 0;
  MSGPACK_DEFINE(name, incarnation)
};

// An agent's place beside a worker exists; entries dial `address`.
struct SlotRegistered {
  std::string name;
  std::string address;
  std::string data_centre;
  std::string region;
  MSGPACK_DEFINE(name, address, data_centre, region)
};

struct SlotRemoved {
  std::string name;
  MSGPACK_DEFINE(name)
};

// One life of an entry process.
struct EntryId {
  std::string name;
  uint64_t incarnation = 0;
  auto operator<=>(const EntryId&) const = default;
  MSGPACK_DEFINE(name, incarnation)
};

struct ShardClaim {
  ShardId shard = 0;
  uint64_t expected_epoch = 0;
  MSGPACK_DEFINE(shard, expected_epoch)
};

// Gives each shard whose epoch still is the expected one to `owner`, under
// the next epoch.
struct ShardsClaimed {
  EntryId owner;
  std::vector<ShardClaim> claims;
  MSGPACK_DEFINE(owner, claims)
};

struct ServedShard {
  ShardId shard = 0;
  uint64_t epoch = 0;
  MSGPACK_DEFINE(shard, epoch)
};

// The owner has settled every agent against all former owners of the shards
// that it still owns under these epochs.
struct ShardsServed {
  std::vector<ServedShard> shards;
  MSGPACK_DEFINE(shards)
};

// One row of the operator table: how one kind of work shares capacity.
struct TableRow {
  std::string kind;
  uint32_t weight = 1;          // share of the slots under contention
  uint32_t max_running = 0;     // tasks at once in the deployment, 0 = no limit
  uint32_t max_queued = 0;      // tasks waiting in the deployment, 0 = no limit
  uint32_t team_rate = 0;       // jobs/s each team may submit, 0 = no limit
  uint32_t retry_percent = 20;  // not-run retries per 100 starts
  uint32_t prefer_response = 50;  // 0: fewest messages, 100: shortest response
  bool operator==(const TableRow&) const = default;
  MSGPACK_DEFINE(kind,
                 weight,
                 max_running,
                 max_queued,
                 team_rate,
                 retry_percent,
                 prefer_response)
};

// An edit of one row, made against `expected_version` of that row (0: the row
// does not exist). The first such edit in log order is accepted.
struct RowEdited {
  std::string edit_id;
  std::string editor;
  uint64_t expected_version = 0;
  bool deleted = false;
  TableRow row;
  MSGPACK_DEFINE(edit_id, editor, expected_version, deleted, row)
};

struct ShardState {
  uint64_t epoch = 0;
  EntryId owner;  // empty name: nobody yet
  // Earlier owners that may still act until the next ShardsServed.
  std::vector<EntryId> former_owners;
  MSGPACK_DEFINE(epoch, owner, former_owners)
};

struct EntryState {
  EntryJoined joined;
  uint64_t joined_offset = 0;
  MSGPACK_DEFINE(joined, joined_offset)
};

struct RowState {
  TableRow row;
  uint64_t version = 0;  // counts accepted edits of this row, also deletions
  bool deleted = false;
  MSGPACK_DEFINE(row, version, deleted)
};

// The whole folded state before the record at `next_offset`. Whoever writes
// it, its content is the same.
struct Snapshot {
  uint64_t next_offset = 0;
  std::vector<ShardState> shards;
  std::vector<EntryState> entries;
  std::vector<SlotRegistered> slots;
  std::vector<RowState> rows;
  uint64_t table_version = 0;
  // The last incarnations that were members, oldest first: none joins again.
  std::vector<EntryId> former_entries;
  MSGPACK_DEFINE(next_offset,
                 shards,
                 entries,
                 slots,
                 rows,
                 table_version,
                 former_entries)
};

// Stands for a record of the stream that this process can't read. It keeps its
// offset, so that the fold goes on, and changes nothing.
struct Unreadable {
  std::string reason;
  MSGPACK_DEFINE(reason)
};

// An entry that misses another one in its own hearing still lives. Without
// this, islands of entries that all reach the log would take each other for
// dead.
struct EntryAlive {
  EntryId entry;
  MSGPACK_DEFINE(entry)
};

using RecordBody = std::variant<EntryJoined,
                                EntryLeft,
                                SlotRegistered,
                                SlotRemoved,
                                ShardsClaimed,
                                ShardsServed,
                                RowEdited,
                                Snapshot,
                                Unreadable,
                                EntryAlive>;

// A record as appended. `append_id` is unique for each wish to append, so that
// a lost reply can be resolved by reading back.
struct LogRecord {
  std::string append_id;
  RecordBody body;
  MSGPACK_DEFINE(append_id, body)
};

// A record with the offset that the log gave it.
struct LogEntry {
  uint64_t offset = 0;
  LogRecord record;
  MSGPACK_DEFINE(offset, record)
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LOG_RECORDS_H_
