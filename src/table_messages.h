// Messages about the two tables that entries follow in the store, that of the
// operators and that of the members, as plain data. Entries send them to each
// other, and to agents that keep copies.
//
//   entry-1  TableVersions{config 7, members 41}  ->  every linked entry
//   entry-2  ConfigRequest{7, 0}                  ->  entry-1
//   entry-1  ConfigPart{7, queues 0..63}          ->  entry-2
//
// Announcing a version costs each pair of entries some twenty bytes; its
// content is sent only on request. Answers are split into parts of some
// kilobytes, each requested separately: a request to start a run that is sent
// meanwhile waits for one part at most, and parts received before a link ended
// are not sent again.
//
// Evacuations take some dozens of bytes: their whole state is sent on each new
// link and at each change, so that it reaches entries that the store refuses
// without delay.
#ifndef EGRETSWITCH_SRC_TABLE_MESSAGES_H_
#define EGRETSWITCH_SRC_TABLE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "evacuations.h"
#include "msgpack_config.h"
#include "service_config.h"
#include "worker_announcement.h"

namespace egretswitch::internal {

// The record of one process of the deployment: where it listens for links.
struct MemberAddress {
  std::string name;
  std::string address;
  bool entry = false;
  uint64_t version = 0;            // offset in the store's table, plus 1
  WorkerAnnouncement worker = {};  // agents only: the last worker announced
  bool operator==(const MemberAddress&) const = default;
  MSGPACK_DEFINE(name, address, entry, version, worker)
};

// The versions that the sender has: of its configuration, and of the newest
// record up to which it has all members. 0 if it has none.
struct TableVersions {
  uint64_t config = 0;
  uint64_t members = 0;
  // Agents only: how long ago this configuration was last known to be the
  // newest one (copy_age.h).
  uint64_t config_age_ms = 0;
  bool operator==(const TableVersions&) const = default;
  MSGPACK_DEFINE(config, members, config_age_ms)
};

// Requests the queues of this version, starting at index `first`.
struct ConfigRequest {
  uint64_t version = 0;
  uint64_t first = 0;
  MSGPACK_DEFINE(version, first)
};

// Some queues of a configuration that has `size` queues. It has the requested
// version or, if the sender no longer has that, the sender's newest one,
// starting at the first queue.
struct ConfigPart {
  uint64_t version = 0;
  uint64_t size = 0;
  uint64_t first = 0;
  std::vector<JobQueue> queues;
  MSGPACK_DEFINE(version, size, first, queues)
};

// Requests the members with a version higher than `through`.
struct MembersRequest {
  uint64_t through = 0;
  MSGPACK_DEFINE(through)
};

// All members that changed after the requested version, up to and including
// `through`.
struct MembersPart {
  uint64_t through = 0;
  std::vector<MemberAddress> members;  // by version
  MSGPACK_DEFINE(through, members)
};

using TableMessage = std::variant<TableVersions,
                                  ConfigRequest,
                                  ConfigPart,
                                  MembersRequest,
                                  MembersPart,
                                  Evacuations>;

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_TABLE_MESSAGES_H_
