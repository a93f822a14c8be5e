// Our own policy on a workload: the real EntryNode and AgentNode objects in
// virtual time, between a network with fixed delays, a log that works and
// workers that take each task's true run time.
//
//   RunNodes(workload, 7).jobs[0]   // served after 84 ms
#ifndef EGRETSWITCH_BENCH_POLICY_NODE_DRIVER_H_
#define EGRETSWITCH_BENCH_POLICY_NODE_DRIVER_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "agent_node.h"
#include "entry_node.h"
#include "fake_log.h"
#include "policy_run.h"
#include "virtual_time.h"

namespace egretswitch::bench {

class NodeDriver {
 public:
  NodeDriver(const Workload& workload, uint64_t seed);

  PolicyRun Run();

 private:
  // One process; its number is its place in m_nodes, entries first.
  struct Node {
    internal::Hello hello;
    std::unique_ptr<internal::EntryNode> entry;
    std::unique_ptr<internal::AgentNode> agent;
    std::set<uint32_t> linked;
  };

  void AddEntry(uint32_t number);
  void AddAgent(uint32_t number);
  void PutRows();
  void ScheduleTick(uint32_t node);
  void ScheduleNextJob(size_t job);
  void Submit(size_t job);

  Now Clocks() const;
  VirtualUs DelayBetween(uint32_t a, uint32_t b) const;
  uint32_t NumberOf(const std::string& name) const;
  bool IsMeasured() const;

  template <typename Event>
  void Handle(uint32_t node, const Event& event);
  void Do(uint32_t node, internal::Send send);
  void Do(uint32_t node, const internal::SetDialTargets& targets);
  void Do(uint32_t node, const internal::ReadLog& read);
  void Do(uint32_t node, const internal::AppendLog& append);
  void Do(uint32_t node, const internal::AnswerCaller& answer);
  void Do(uint32_t node, const internal::StartOnWorker& start);
  template <typename Other>
  void Do(uint32_t, const Other&) {}
  internal::LogReplyTo ReplyTo(uint32_t node);
  void Count(const char* kind);

  const Workload& m_workload;
  internal::VirtualTime m_time;
  internal::FakeLog m_log;
  std::vector<Node> m_nodes;
  std::unordered_map<std::string, uint32_t> m_numbers;
  PolicyRun m_run;
};

inline PolicyRun RunNodes(const Workload& workload, uint64_t seed) {
  return NodeDriver(workload, seed).Run();
}

}  // namespace egretswitch::bench

#endif  // EGRETSWITCH_BENCH_POLICY_NODE_DRIVER_H_
