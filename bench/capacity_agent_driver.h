// One real AgentNode in virtual time; the entries and the worker around it are
// played.
//
//   AgentDriver driver(34, 8);      // 34 entries linked, 8 slots
//   driver.RunTask(100);            // start, run, result of 100 bytes
//   driver.Fence(64);               // reads its holdings back
#ifndef EGRETSWITCH_BENCH_CAPACITY_AGENT_DRIVER_H_
#define EGRETSWITCH_BENCH_CAPACITY_AGENT_DRIVER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "agent_node.h"
#include "capacity_meter.h"

namespace egretswitch::internal {

class AgentDriver {
 public:
  // Ready to take starts, and linked to all entries.
  AgentDriver(uint32_t entries, uint32_t slots);

  // Ticks alone.
  void RunIdle(absl::Duration time);
  // A job of one task from the next entry in turn, up to its result.
  void RunTask(size_t payload_bytes);
  // An entry fences the first `shards` shards under the next epoch.
  void Fence(uint32_t shards);
  // An entry's link breaks and comes back.
  void RelinkEntry();

  void ResetMeters();
  const CpuMeter& cpu() const { return m_cpu; }
  const Traffic& sent() const { return m_sent; }
  const Traffic& received() const { return m_received; }
  AgentReport report() const { return m_agent.Report(); }

 private:
  void Handle(const AgentEvent& event);
  void Link(const std::string& entry);
  void Deliver(const std::string& entry, Message message);
  const std::string& NextEntry();

  AgentNode m_agent;
  Now m_now;
  std::vector<std::string> m_entries;
  std::map<std::string, uint64_t> m_permissions;
  std::vector<LeaseId> m_started;
  size_t m_turn = 0;
  uint64_t m_next_job = 1;
  Epoch m_epoch = 1;
  CpuMeter m_cpu;
  Traffic m_sent;
  Traffic m_received;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_BENCH_CAPACITY_AGENT_DRIVER_H_
