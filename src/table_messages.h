// What entries tell each other of the two tables that they follow in the store,
// that of the operators and that of the members, as plain data.
//
//   entry-1  TableVersions{config 7, members 41}  ->  every linked entry
//   entry-2  ConfigRequest{7, 0}                ->  entry-1
//   entry-1  ConfigPart{7, queues 0..63}       ->  entry-2
//
// A version costs each pair of entries some twenty bytes; its content is sent
// to who asks. Answers come in parts of some kilobytes, each asked for by
// itself: an order to start that is sent meanwhile waits for one part at most,
// and what was received before a link ended is not sent again.
//
// Evacuations are some dozens of bytes: their state is told whole, on each new
// link and at each change, so that it reaches those that the store turns away
// at once.
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

// Where a process of the deployment listens for links.
struct MemberAddress {
  std::string name;
  std::string address;
  bool entry = false;
  uint64_t version = 0;            // offset in the store's table, plus 1
  WorkerAnnouncement worker = {};  // agents only: the worker met last
  bool operator==(const MemberAddress&) const = default;
  MSGPACK_DEFINE(name, address, entry, version, worker)
};

// What the sender has: the version of its configuration, and the version of the
// newest record up to which it knows all members. 0: nothing.
struct TableVersions {
  uint64_t config = 0;
  uint64_t members = 0;
  bool operator==(const TableVersions&) const = default;
  MSGPACK_DEFINE(config, members)
};

// Asks for queues from number `first` on of this version.
struct ConfigRequest {
  uint64_t version = 0;
  uint64_t first = 0;
  MSGPACK_DEFINE(version, first)
};

// Queues of a configuration of `size` queues. It is of the version asked for
// or, when the sender no longer has that, of its newest one from the start.
struct ConfigPart {
  uint64_t version = 0;
  uint64_t size = 0;
  uint64_t first = 0;
  std::vector<JobQueue> queues;
  MSGPACK_DEFINE(version, size, first, queues)
};

// Asks for members with a higher version.
struct MembersRequest {
  uint64_t through = 0;
  MSGPACK_DEFINE(through)
};

// All that have changed after the version asked for, up to and with `through`.
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
