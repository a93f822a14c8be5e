// An AgentNode in virtual time, with the entries and the worker around it
// played by the test.
//
//   Deliver("entry-a", StartOf("entry-a", "a17", {0}));
//   BOOST_TEST(started().size() == 1u);
//   End("a17", 0, "ok");
//   BOOST_TEST(ReportTo("entry-a").payload == "ok");
#ifndef EGRETSWITCH_TEST_AGENT_FIXTURE_H_
#define EGRETSWITCH_TEST_AGENT_FIXTURE_H_

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <initializer_list>
#include <map>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "agent_node.h"

namespace egretswitch::internal {

inline std::ostream& operator<<(std::ostream& out, TaskStatus status) {
  return out << "TaskStatus " << static_cast<int>(status);
}

inline constexpr uint64_t kAgentIncarnation = 9;
inline constexpr int64_t kWallStartMs = 1'700'000'000'000;
inline constexpr ShardId kShard = 3;
inline constexpr Epoch kEpoch = 4;
inline constexpr uint64_t kDigest = 100;
inline const absl::Duration kWaitOfNewAgent = kOwnerLease + kDriftMargin;

// An agent whose first event has not come yet; two slots.
class NewAgentFixture {
 public:
  explicit NewAgentFixture(AgentOptions options = Options())
      : m_agent(std::move(options)) {}

  static AgentOptions Options() {
    AgentOptions options;
    options.self = {.name = "agent-3",
                    .incarnation = kAgentIncarnation,
                    .role = ProcessRole::kAgent,
                    .data_centre = "dc-1",
                    .region = "r-1",
                    .slots = 2,
                    .capacity = {},
                    .memory_since_ms = kWallStartMs};
    options.address = "127.0.0.1:7100";
    return options;
  }

  // Hands one event to the agent and keeps what it does.
  void Happens(const AgentEvent& event) {
    m_actions = m_agent.Handle(event, m_now);
    for (const Action& action : m_actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        NotePermission(*send);
      }
      if (const auto* start = std::get_if<StartOnWorker>(&action)) {
        m_leases[{start->key.id, start->index}] = start->lease;
      }
    }
  }

  void Advance(absl::Duration time) {
    m_now.mono += time;
    m_now.wall_ms += absl::ToInt64Milliseconds(time);
  }

  void AdvanceAndTick(absl::Duration time) {
    Advance(time);
    Happens(Tick{});
  }

  void Link(const std::string& entry, uint64_t incarnation = 71) {
    m_incarnations[entry] = incarnation;
    Hello hello;
    hello.name = entry;
    hello.incarnation = incarnation;
    Happens(LinkUp{hello});
  }

  void Unlink(const std::string& entry) {
    Happens(LinkDown{entry, m_incarnations[entry]});
  }

  void Deliver(const std::string& entry, Message message) {
    Happens(MessageArrived{entry, m_incarnations[entry], std::move(message)});
  }

  // A start with the permission that the entry was told last.
  StartTasks StartOf(const std::string& entry,
                     const std::string& id,
                     std::initializer_list<uint32_t> indexes) const {
    StartTasks start;
    start.permission = PermissionOf(entry);
    start.agent_incarnation = kAgentIncarnation;
    start.shard = kShard;
    start.epoch = kEpoch;
    start.key = {"desk", id};
    start.digest = kDigest;
    start.task_count = 8;
    start.submitted_ms = m_now.wall_ms;
    start.deadline_ms = m_now.wall_ms + 10'000;
    for (const uint32_t index : indexes) {
      start.tasks.push_back({index, TaskSpec{}});
    }
    return start;
  }

  StartTasks AttachOf(const std::string& entry,
                      const std::string& id,
                      std::initializer_list<uint32_t> indexes,
                      Epoch epoch = kEpoch) const {
    StartTasks attach = StartOf(entry, id, indexes);
    attach.attach_only = true;
    attach.epoch = epoch;
    attach.permission = 0;
    return attach;
  }

  void Start(const std::string& entry,
             const std::string& id,
             std::initializer_list<uint32_t> indexes) {
    Deliver(entry, StartOf(entry, id, indexes));
  }

  // The worker ends the task as it was started last.
  void End(const std::string& id,
           uint32_t index,
           const std::string& payload = "ok",
           TaskStatus status = TaskStatus::kFinished) {
    Happens(WorkerTaskEnded{m_leases.at({id, index}), status, payload, 7});
  }

  // ---- What the last event made the agent do.

  template <typename Kind>
  std::vector<Kind> Done() const {
    std::vector<Kind> found;
    for (const Action& action : m_actions) {
      if (const auto* wanted = std::get_if<Kind>(&action)) {
        found.push_back(*wanted);
      }
    }
    return found;
  }

  std::vector<StartOnWorker> started() const { return Done<StartOnWorker>(); }

  template <typename Kind>
  std::vector<Kind> MessagesTo(const std::string& entry) const {
    std::vector<Kind> found;
    for (const Send& send : Done<Send>()) {
      const auto* wanted = std::get_if<Kind>(&send.message);
      if (send.peer == entry && wanted != nullptr) {
        found.push_back(*wanted);
      }
    }
    return found;
  }

  std::vector<TaskReport> ReportsTo(const std::string& entry) const {
    const auto messages = MessagesTo<TaskReports>(entry);
    BOOST_TEST(messages.size() <= 1u);
    return messages.empty() ? std::vector<TaskReport>() : messages[0].reports;
  }

  // The only report to the entry.
  TaskReport ReportTo(const std::string& entry) const {
    const auto reports = ReportsTo(entry);
    BOOST_REQUIRE_EQUAL(reports.size(), 1u);
    return reports[0];
  }

  // The agent's status within the only message to the entry.
  AgentStatus StatusTo(const std::string& entry) const {
    const auto reports = MessagesTo<TaskReports>(entry);
    const auto statuses = MessagesTo<AgentStatus>(entry);
    BOOST_REQUIRE_EQUAL(reports.size() + statuses.size(), 1u);
    return reports.empty() ? statuses[0] : reports[0].agent;
  }

  bool WasToldAnything(const std::string& entry) const {
    for (const Send& send : Done<Send>()) {
      if (send.peer == entry) {
        return true;
      }
    }
    return false;
  }

  uint64_t PermissionOf(const std::string& entry) const {
    const auto it = m_permissions.find(entry);
    return it == m_permissions.end() ? 0 : it->second;
  }

  const AgentNode& agent() const { return m_agent; }
  const Now& now() const { return m_now; }

 private:
  void NotePermission(const Send& send) {
    if (const auto* status = std::get_if<AgentStatus>(&send.message)) {
      m_permissions[send.peer] = status->permission;
    }
    if (const auto* reports = std::get_if<TaskReports>(&send.message)) {
      m_permissions[send.peer] = reports->agent.permission;
    }
  }

  AgentNode m_agent;
  Now m_now{absl::Seconds(50), kWallStartMs};
  Actions m_actions;
  std::map<std::string, uint64_t> m_incarnations;
  std::map<std::string, uint64_t> m_permissions;
  std::map<std::pair<std::string, uint32_t>, LeaseId> m_leases;
};

// An agent that has waited, with fresh links to entry-a and entry-b.
class ReadyAgentFixture : public NewAgentFixture {
 public:
  explicit ReadyAgentFixture(AgentOptions options = Options())
      : NewAgentFixture(std::move(options)) {
    Happens(Tick{});
    Happens(WorkerTasksListed{});
    AdvanceAndTick(kWaitOfNewAgent);
    Link("entry-a", 71);
    Link("entry-b", 72);
  }
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_AGENT_FIXTURE_H_
