#include "capacity_agent_driver.h"

#include <utility>
#include <variant>

#include "absl/strings/str_format.h"

namespace egretswitch::internal {
namespace {

constexpr int64_t kStartMs = 1'700'000'000'000;
constexpr uint64_t kEntryIncarnation = 5;
constexpr uint64_t kAgentIncarnation = 9;

AgentOptions OptionsOf(uint32_t slots) {
  AgentOptions options;
  options.self.name = "agent-0000";
  options.self.incarnation = kAgentIncarnation;
  options.self.role = ProcessRole::kAgent;
  options.self.data_centre = "dc-01";
  options.self.region = "region-1";
  options.self.slots = slots;
  options.self.capacity = {64'000, 131'072, 2};
  options.self.memory_since_ms = kStartMs;
  options.address = "10.1.0.1:7100";
  return options;
}

}  // namespace

AgentDriver::AgentDriver(uint32_t entries, uint32_t slots)
    : m_agent(OptionsOf(slots)), m_now{absl::Seconds(1000), kStartMs} {
  Handle(Tick{});
  Handle(WorkerTasksListed{});
  RunIdle(kOwnerLease + kDriftMargin + kTickPeriod);
  for (uint32_t i = 0; i < entries; ++i) {
    m_entries.push_back(absl::StrFormat("entry-%03d", i));
    Link(m_entries.back());
  }
}

void AgentDriver::Link(const std::string& entry) {
  Hello hello;
  hello.name = entry;
  hello.incarnation = kEntryIncarnation;
  Handle(LinkUp{hello});
}

void AgentDriver::Handle(const AgentEvent& event) {
  Actions actions;
  {
    const CpuMeter::Span span(m_cpu);
    actions = m_agent.Handle(event, m_now);
  }
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) {
      m_sent.Add(send->message);
      if (const auto* status = std::get_if<AgentStatus>(&send->message)) {
        m_permissions[send->peer] = status->permission;
      } else if (const auto* reports =
                     std::get_if<TaskReports>(&send->message)) {
        m_permissions[send->peer] = reports->agent.permission;
      }
    } else if (const auto* start = std::get_if<StartOnWorker>(&action)) {
      m_started.push_back(start->lease);
    }
  }
}

void AgentDriver::Deliver(const std::string& entry, Message message) {
  m_received.Add(message);
  Handle(MessageArrived{entry, kEntryIncarnation, std::move(message)});
}

const std::string& AgentDriver::NextEntry() {
  return m_entries[m_turn++ % m_entries.size()];
}

void AgentDriver::RunIdle(absl::Duration time) {
  const MonoTime end = m_now.mono + time;
  while (m_now.mono < end) {
    m_now.mono += kTickPeriod;
    m_now.wall_ms += absl::ToInt64Milliseconds(kTickPeriod);
    Handle(Tick{});
  }
}

// A permission older than its life is replaced at the cost of one refusal, as
// between real processes that were idle.
void AgentDriver::RunTask(size_t payload_bytes) {
  const std::string& entry = NextEntry();
  StartTasks start;
  start.agent_incarnation = kAgentIncarnation;
  start.epoch = m_epoch;
  start.key = {"team-001", absl::StrFormat("job-%09d", m_next_job++)};
  start.shard = ShardOf(start.key, kDefaultShardCount);
  start.digest = m_next_job;
  start.task_count = 1;
  start.submitted_ms = m_now.wall_ms;
  start.deadline_ms = m_now.wall_ms + 30'000;
  start.tasks.push_back({0, {std::string(payload_bytes, 'p'), 200, {}}});
  for (int tries = 0; tries < 2 && m_started.empty(); ++tries) {
    start.permission = m_permissions[entry];
    Deliver(entry, start);
  }
  for (const LeaseId& lease : std::exchange(m_started, {})) {
    Handle(WorkerTaskEnded{lease, TaskStatus::kFinished,
                           std::string(payload_bytes, 'r'), 200});
  }
}

void AgentDriver::Fence(uint32_t shards) {
  ++m_epoch;
  FenceShards fence;
  for (ShardId shard = 0; shard < shards; ++shard) {
    fence.shards.push_back({shard, m_epoch});
  }
  Deliver(NextEntry(), std::move(fence));
}

void AgentDriver::RelinkEntry() {
  const std::string& entry = NextEntry();
  Handle(LinkDown{entry, kEntryIncarnation});
  Link(entry);
}

void AgentDriver::ResetMeters() {
  m_cpu.Reset();
  m_sent = {};
  m_received = {};
}

}  // namespace egretswitch::internal
