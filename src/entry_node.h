// The decisions of an entry: the front that answers callers and the owner that
// runs the jobs of its shards, as one state machine without input or output.
//
//   CallerSubmitted{a17} -> Forward to the shard's owner, or own it here
//   owner: queue -> StartTasks to agents -> TaskReports -> whole answer
//
// Its services are found by name in the Kernel (kernel.h): "control" folds the
// log, "peers" knows the other entries, "authority" says whether this entry may
// start tasks now, "takeover" fences and reads back, "owner" keeps the jobs,
// "dispatch" chooses order and worker, "admission" refuses early, "front"
// answers callers.
#ifndef EGRETSWITCH_SRC_ENTRY_NODE_H_
#define EGRETSWITCH_SRC_ENTRY_NODE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "clock.h"
#include "control_state.h"
#include "counters.h"
#include "node_events.h"
#include "node_limits.h"

namespace egretswitch::internal {

// Settings of one entry's decisions.
struct EntryOptions {
  Hello self;           // role kEntry, name, incarnation, places
  std::string address;  // where other entries dial this one
  uint32_t shard_count = kDefaultShardCount;
  uint64_t random_seed = 1;  // for spreading retries and breaking ties
};

// What operators see of an entry.
struct EntryStatus {
  uint64_t fold_offset = 0;
  uint64_t table_version = 0;
  int64_t log_age_ms = 0;  // since the last successful read was asked for
  bool may_start_tasks = false;
  bool draining = false;
  uint32_t shards_owned = 0;
  uint32_t shards_serving = 0;
  uint32_t jobs_open = 0;
  uint32_t tasks_waiting = 0;
  uint32_t tasks_running = 0;
  uint32_t workers_linked = 0;
  uint32_t slots_free = 0;
};

class EntryNode {
 public:
  explicit EntryNode(EntryOptions options);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  // Takes one event and returns what is to be done, in order.
  Actions Handle(const EntryEvent& event, Now now);

  EntryStatus Status(Now now) const;
  const ControlState& control() const;
  const Counters& counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_ENTRY_NODE_H_
