// What the services of one node share while an event is handled: the clocks,
// the list of actions, the counters and a seeded random source.
//
//   context.Send("agent-3", StartTasks{...});   // appends an action, counts it
#ifndef EGRETSWITCH_SRC_NODE_CONTEXT_H_
#define EGRETSWITCH_SRC_NODE_CONTEXT_H_

#include <cstdint>
#include <random>
#include <string_view>
#include <utility>

#include "clock.h"
#include "counters.h"
#include "node_events.h"

namespace egretswitch::internal {

class NodeContext {
 public:
  explicit NodeContext(uint64_t random_seed) : m_random(random_seed) {}
  NodeContext(const NodeContext&) = delete;
  NodeContext& operator=(const NodeContext&) = delete;

  // Begins the handling of one event.
  void Begin(Now now) { m_now = now; }

  // Ends it and hands over the actions in the order they were asked for.
  Actions TakeActions() { return std::exchange(m_actions, {}); }

  const Now& now() const { return m_now; }
  Counters& counters() { return m_counters; }
  const Counters& counters() const { return m_counters; }
  std::mt19937_64& random() { return m_random; }

  void Do(Action action) { m_actions.push_back(std::move(action)); }

  void Send(std::string_view peer, Message message) {
    m_counters.Add(Counter::kMessagesSent);
    m_actions.push_back(internal::Send{std::string(peer), std::move(message)});
  }

 private:
  Now m_now;
  Actions m_actions;
  Counters m_counters;
  std::mt19937_64 m_random;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_NODE_CONTEXT_H_
