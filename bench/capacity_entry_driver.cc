#include "capacity_entry_driver.h"

#include <utility>
#include <variant>

#include "absl/strings/str_format.h"
#include "internal_assert.h"

namespace egretswitch::internal {
namespace {

constexpr int64_t kStartMs = 1'700'000'000'000;
constexpr int kDataCentres = 17;
constexpr int kRegions = 5;
constexpr const char* kFormerName = "entry-former";
constexpr uint64_t kFormerIncarnation = 77;

std::string EntryName(uint32_t number) {
  return absl::StrFormat("entry-%03d", number);
}

std::string AgentName(uint32_t number) {
  return absl::StrFormat("agent-%04d", number);
}

std::string DataCentreOf(uint32_t number) {
  return absl::StrFormat("dc-%02d", number % kDataCentres);
}

std::string RegionOf(uint32_t number) {
  return absl::StrFormat("region-%d", number % kDataCentres % kRegions);
}

EntryJoined JoinedOf(const std::string& name, uint32_t number) {
  return {name, number + 1, absl::StrFormat("10.0.%d.1:7001", number),
          DataCentreOf(number), RegionOf(number)};
}

EntryOptions OptionsOf(const EntryScene& scene) {
  EntryOptions options;
  options.shard_count = scene.shards;
  options.self.name = EntryName(0);
  options.self.incarnation = 1;
  options.self.data_centre = DataCentreOf(0);
  options.self.region = RegionOf(0);
  options.address = "10.0.0.1:7001";
  return options;
}

std::string KindName(uint32_t row) {
  return absl::StrFormat("kind-%03d", row);
}

}  // namespace

EntryDriver::EntryDriver(const EntryScene& scene)
    : m_scene(scene),
      m_node(std::make_unique<EntryNode>(OptionsOf(scene))),
      m_now{absl::Seconds(1000), kStartMs},
      m_next_pings(m_now.mono) {
  for (uint32_t i = 1; i < scene.entries; ++i) {
    m_entry_names.push_back(EntryName(i));
  }
  for (uint32_t i = 0; i < scene.agents; ++i) {
    m_agent_names.push_back(AgentName(i));
    m_agents[AgentName(i)] = {.number = i, .name = AgentName(i)};
  }
  WriteLog();
}

// ---- The world before the entry starts. ------------------------------------

void EntryDriver::Append(RecordBody body) {
  const uint64_t offset = m_log.size();
  m_log.push_back({offset, {absl::StrFormat("w%d", offset), std::move(body)}});
}

void EntryDriver::WriteLog() {
  for (uint32_t i = 0; i < m_entry_names.size(); ++i) {
    Append(JoinedOf(m_entry_names[i], i + 1));
  }
  for (uint32_t i = 0; i < m_agent_names.size(); ++i) {
    Append(
        SlotRegistered{m_agent_names[i],
                       absl::StrFormat("10.1.%d.%d:7100", i / 250, i % 250 + 1),
                       DataCentreOf(i), RegionOf(i)});
  }
  for (uint32_t row = 0; row < m_scene.rows; ++row) {
    TableRow content;
    content.kind = KindName(row);
    content.team_rate = m_scene.team_rate;
    Append(RowEdited{absl::StrFormat("edit-%d", row), "operator", 0, false,
                     content});
  }
  for (uint32_t edit = 0; edit < m_scene.edits; ++edit) {
    TableRow content;
    content.kind = KindName(0);
    content.weight = 1 + edit % 1000;
    Append(RowEdited{absl::StrFormat("more-%d", edit), "operator", edit + 1,
                     false, content});
  }
  if (m_scene.former_owner) {
    const EntryId former{kFormerName, kFormerIncarnation};
    EntryJoined joined = JoinedOf(former.name, 200);
    joined.incarnation = former.incarnation;
    Append(joined);
    ShardsClaimed claimed{former, {}};
    for (ShardId shard = 0; shard < m_scene.shards; ++shard) {
      claimed.claims.push_back({shard, 0});
    }
    Append(claimed);
  }
}

void EntryDriver::EndFormerOwner() {
  Append(EntryLeft{kFormerName, kFormerIncarnation});
  if (m_held_read) {
    AnswerRead(*std::exchange(m_held_read, std::nullopt));
  }
  Drain();
}

void EntryDriver::Expect(bool holds, const char* what) const {
  InternalAssert(holds, what, EntryName(0));
}

// ---- Driving the node. ------------------------------------------------------

void EntryDriver::Handle(EntryEvent event) {
  m_events.push_back(std::move(event));
  Drain();
}

void EntryDriver::Drain() {
  while (!m_events.empty()) {
    const EntryEvent event = std::move(m_events.front());
    m_events.pop_front();
    Actions actions;
    {
      const CpuMeter::Span span(m_cpu);
      actions = m_node->Handle(event, m_now);
    }
    for (const Action& action : actions) {
      std::visit([this](const auto& wanted) { Perform(wanted); }, action);
    }
  }
}

void EntryDriver::Deliver(const std::string& peer,
                          uint64_t incarnation,
                          Message message) {
  m_received.Add(message);
  m_events.push_back(MessageArrived{peer, incarnation, std::move(message)});
}

void EntryDriver::RunIdle(absl::Duration time) {
  const MonoTime end = m_now.mono + time;
  while (m_now.mono < end) {
    m_now.mono += kTickPeriod;
    m_now.wall_ms += absl::ToInt64Milliseconds(kTickPeriod);
    if (m_held_read &&
        m_now.mono - m_held_read->asked_at >= m_held_read->wait) {
      AnswerRead(*std::exchange(m_held_read, std::nullopt));
    }
    PingFromPeers();
    Handle(Tick{});
  }
}

void EntryDriver::ReadLogToHead() {
  Handle(Tick{});
  RunIdle(absl::Milliseconds(50));
}

void EntryDriver::LinkAll() {
  m_peers_linked = true;
  for (uint32_t i = 0; i < m_entry_names.size(); ++i) {
    Hello hello;
    hello.name = m_entry_names[i];
    hello.incarnation = i + 2;
    hello.data_centre = DataCentreOf(i + 1);
    hello.region = RegionOf(i + 1);
    Handle(LinkUp{hello});
  }
  for (uint32_t i = 0; i < m_agent_names.size(); ++i) {
    LinkAgent(i);
  }
  RunIdle(absl::Seconds(1));
}

void EntryDriver::Start() {
  ReadLogToHead();
  LinkAll();
}

void EntryDriver::ResetMeters() {
  m_cpu.Reset();
  m_sent = {};
  m_received = {};
  m_answers = 0;
  m_refusals = 0;
  m_appends = 0;
}

void EntryDriver::SubmitJob(const std::string& team,
                            uint32_t tasks,
                            const std::string& payload) {
  CallerSubmitted submitted;
  submitted.token = m_next_token++;
  Submission& submission = submitted.submission;
  submission.key = {team, absl::StrFormat("job-%09d", submitted.token)};
  submission.kind = KindName(0);
  submission.submitted_ms = m_now.wall_ms;
  submission.deadline_ms = m_now.wall_ms + 60'000;
  submission.tasks.resize(tasks, TaskSpec{payload, 200, {1000, 512, 0}});
  Handle(std::move(submitted));
}

void EntryDriver::EditRow() {
  OperatorEdited edited;
  edited.token = m_next_token++;
  const RowState& row = control().rows().at(KindName(0));
  edited.edit.edit_id = absl::StrFormat("bench-%d", edited.token);
  edited.edit.editor = "operator";
  edited.edit.expected_version = row.version;
  edited.edit.row = row.row;
  edited.edit.row.weight = 1 + edited.token % 1000;
  Handle(std::move(edited));
}

// ---- Played agents. ---------------------------------------------------------

Hello EntryDriver::HelloOf(const PlayedAgent& agent) const {
  Hello hello;
  hello.name = agent.name;
  hello.incarnation = agent.incarnation;
  hello.role = ProcessRole::kAgent;
  hello.data_centre = DataCentreOf(agent.number);
  hello.region = RegionOf(agent.number);
  hello.slots = m_scene.slots;
  hello.capacity = {64'000, 131'072, 2};
  hello.memory_since_ms = kStartMs - 3'600'000;
  return hello;
}

AgentStatus EntryDriver::StatusOf(PlayedAgent& agent) const {
  const uint32_t free = m_scene.agents_full ? 0 : m_scene.slots;
  return {++agent.permission, free, 0, false};
}

void EntryDriver::LinkAgent(uint32_t number) {
  PlayedAgent& agent = m_agents.at(m_agent_names[number]);
  agent.linked = true;
  const Hello hello = HelloOf(agent);
  m_received.Add(hello);
  Handle(LinkUp{hello});
  Deliver(agent.name, agent.incarnation, StatusOf(agent));
  Drain();
}

void EntryDriver::LoseAgent(uint32_t number) {
  PlayedAgent& agent = m_agents.at(m_agent_names[number]);
  agent.linked = false;
  Handle(LinkDown{agent.name, agent.incarnation});
}

void EntryDriver::RestartAgent(uint32_t number) {
  LoseAgent(number);
  Handle(PeerRefusedConnection{m_agent_names[number], m_now.mono});
  ++m_agents.at(m_agent_names[number]).incarnation;
  LinkAgent(number);
}

void EntryDriver::Play(const std::string& peer, const FenceShards& fence) {
  PlayedAgent& agent = m_agents.at(peer);
  if (!agent.linked) {
    return;
  }
  FenceReply reply;
  reply.shards = fence.shards;
  reply.memory_since_ms = kStartMs - 3'600'000;
  for (uint32_t i = 0; i < m_scene.holdings_each; ++i) {
    Holding holding;
    holding.key = {"team-001", absl::StrFormat("held-%s-%06d", peer, i)};
    holding.shard = ShardOf(holding.key, m_scene.shards);
    holding.digest = i + 1;
    holding.task_count = m_scene.tasks_a_holding;
    holding.submitted_ms = m_now.wall_ms - 1000;
    for (uint32_t task = 0; task < m_scene.tasks_a_holding; ++task) {
      holding.indexes.push_back(task);
    }
    reply.holdings.push_back(std::move(holding));
  }
  Deliver(peer, agent.incarnation, std::move(reply));
}

void EntryDriver::Play(const std::string& peer, const StartTasks& start) {
  PlayedAgent& agent = m_agents.at(peer);
  TaskReports reports;
  reports.agent = StatusOf(agent);
  for (const TaskStart& task : start.tasks) {
    reports.reports.push_back({start.key, task.index, TaskStatus::kFinished,
                               "0123456789abcdef", 200});
  }
  Deliver(peer, agent.incarnation, std::move(reports));
}

// ---- Played entries. --------------------------------------------------------

std::vector<HeardPeer> EntryDriver::EveryoneHeard() const {
  std::vector<HeardPeer> heard{{EntryName(0), 1, 120}};
  for (uint32_t i = 0; i + 1 < m_entry_names.size(); ++i) {
    heard.push_back({m_entry_names[i], i + 2, 150});
  }
  return heard;
}

PeerStatus EntryDriver::PeerStatusNow() const {
  PeerStatus status;
  status.fold_offset = m_log.size();
  status.heard = EveryoneHeard();
  return status;
}

void EntryDriver::PingFromPeers() {
  if (!m_peers_linked || m_now.mono < m_next_pings) {
    return;
  }
  m_next_pings = m_now.mono + kPeerPingPeriod;
  for (uint32_t i = 0; i < m_entry_names.size(); ++i) {
    Deliver(m_entry_names[i], i + 2, PeerPing{m_next_ping++, PeerStatusNow()});
  }
}

void EntryDriver::Play(const std::string& peer, const PeerPing& ping) {
  for (uint32_t i = 0; i < m_entry_names.size(); ++i) {
    if (m_entry_names[i] == peer) {
      Deliver(peer, i + 2, PeerPong{ping.sequence, PeerStatusNow()});
    }
  }
}

// ---- Played log. ------------------------------------------------------------

void EntryDriver::AnswerRead(const ReadLog& read) {
  LogReadDone done;
  done.asked_at = read.asked_at;
  done.head = m_log.size();
  for (size_t offset = read.from; offset < m_log.size(); ++offset) {
    done.entries.push_back(m_log[offset]);
  }
  m_events.push_back(std::move(done));
}

void EntryDriver::Perform(const ReadLog& read) {
  if (read.from < m_log.size() || read.wait == absl::ZeroDuration()) {
    AnswerRead(read);
  } else {
    m_held_read = read;
  }
}

void EntryDriver::Perform(const AppendLog& append) {
  ++m_appends;
  m_log.push_back({m_log.size(), append.record});
  m_events.push_back(LogAppendDone{append.record.append_id, m_log.size() - 1});
  if (m_held_read) {
    AnswerRead(*std::exchange(m_held_read, std::nullopt));
  }
}

// ---- Actions. ---------------------------------------------------------------

void EntryDriver::Perform(const Send& send) {
  m_sent.Add(send.message);
  std::visit([&](const auto& message) { Play(send.peer, message); },
             send.message);
}

void EntryDriver::Perform(const AnswerCaller& answer) {
  ++(std::holds_alternative<JobAnswer>(answer.outcome) ? m_answers
                                                       : m_refusals);
}

}  // namespace egretswitch::internal
