// The decisions of an agent, the small process beside one worker: which starts
// to accept, what it remembers of them, and to whom a free slot is offered.
//
//   StartTasks{epoch 4, permission 9}  -> StartOnWorker, later TaskReports
//   FenceShards{shard 3, epoch 5}      -> FenceReply with what it holds
//   StartTasks{epoch 4, ...}           -> TaskReports{kFenced}
#ifndef EGRETSWITCH_SRC_AGENT_NODE_H_
#define EGRETSWITCH_SRC_AGENT_NODE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "clock.h"
#include "counters.h"
#include "node_events.h"
#include "node_limits.h"

namespace egretswitch::internal {

struct AgentOptions {
  Hello self;           // role kAgent, slots, capacity, memory_since_ms
  std::string address;  // where entries dial this agent
  size_t result_bytes_limit = 8u << 20;  // finished outputs kept for resends
};

// What operators see of an agent.
struct AgentReport {
  uint32_t slots = 0;
  uint32_t running = 0;
  uint32_t ledger_entries = 0;
  uint32_t entries_linked = 0;
  bool leaving = false;
  bool ready = false;
};

class AgentNode {
 public:
  explicit AgentNode(AgentOptions options);
  ~AgentNode();
  AgentNode(const AgentNode&) = delete;
  AgentNode& operator=(const AgentNode&) = delete;

  // Takes one event and returns what is to be done, in order.
  Actions Handle(const AgentEvent& event, Now now);

  AgentReport Report() const;
  const Counters& counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_AGENT_NODE_H_
