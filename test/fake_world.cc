#include "fake_world.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "node_limits.h"

namespace egretswitch::internal {
namespace {

constexpr VirtualUs kSamplePeriod = Ms(500);
constexpr VirtualUs kAttachDelay = Ms(2);
constexpr int64_t kMostSkewMs = kWallSkewMs / 2 - 10;
constexpr double kMostDrift = 0.005;

std::vector<std::string> EntryNames(uint32_t count) {
  std::vector<std::string> names;
  for (uint32_t i = 0; i < count; ++i) {
    names.push_back(std::string("entry-") + static_cast<char>('a' + i));
  }
  return names;
}

std::vector<std::string> AgentNames(uint32_t count) {
  std::vector<std::string> names;
  for (uint32_t i = 0; i < count; ++i) {
    names.push_back("agent-" + std::to_string(i));
  }
  return names;
}

}  // namespace

FakeWorld::FakeWorld(const WorldSize& size,
                     uint64_t seed,
                     const std::vector<std::string>& kinds)
    : m_time(seed),
      m_network(m_time, *this),
      m_log(m_time, size.shards),
      m_entries(EntryNames(size.entries)),
      m_agents(AgentNames(size.agents)),
      m_callers(m_time, m_history, m_entries, MakeCallerPort()),
      m_shards(size.shards),
      m_slots(size.slots) {
  m_log.SetObserver([this](const LogEntry& entry) { OnLogRecord(entry); });
  PutFirstRows(kinds);
  for (const std::string& name : m_entries) {
    AddProcess(name, ProcessRole::kEntry);
  }
  for (const std::string& name : m_agents) {
    AddProcess(name, ProcessRole::kAgent);
  }
  m_time.After(kSamplePeriod, [this] { SampleTables(); });
}

void FakeWorld::AddProcess(const std::string& name, ProcessRole role) {
  Process& process = m_processes[name];
  process.name = name;
  process.role = role;
  process.skew_ms = m_time.Random(-kMostSkewMs, kMostSkewMs);
  process.drift = kMostDrift * m_time.Random(-100, 100) / 100.0;
  if (role == ProcessRole::kAgent) {
    process.worker =
        std::make_unique<FakeWorker>(m_time, m_history, name, m_slots);
  }
  Start(process);
}

// ---- Life of a process ------------------------------------------------------

void FakeWorld::Start(Process& process) {
  ++process.life;
  process.state = ProcessState::kRuns;
  process.draining = false;
  process.backlog.clear();
  process.mono_start = m_time.now() - Ms(m_time.Random(0, 1'000'000));
  process.head_at_start =
      m_log.entries().empty() ? 0 : m_log.entries().back().offset + 1;
  const uint32_t index = static_cast<uint32_t>(process.name.back());
  Hello& hello = process.hello;
  hello.name = process.name;
  hello.incarnation = static_cast<uint64_t>(m_time.Random(1, 1LL << 62));
  hello.role = process.role;
  hello.data_centre = "dc-" + std::to_string(index % 3);
  hello.region = "region";
  if (process.role == ProcessRole::kAgent) {
    hello.slots = m_slots;
    hello.capacity = {64'000, 128'000, 0};
    hello.memory_since_ms = ClockOf(process).wall_ms;
  }
  StartNode(process);
  ScheduleTick(process, process.life);
}

void FakeWorld::StartNode(Process& process) {
  if (process.role == ProcessRole::kEntry) {
    EntryOptions options;
    options.self = process.hello;
    options.address = process.name;
    options.shard_count = m_shards;
    options.random_seed = static_cast<uint64_t>(m_time.Random(1, 1LL << 62));
    process.entry = std::make_unique<EntryNode>(std::move(options));
    return;
  }
  AgentOptions options;
  options.self = process.hello;
  options.address = process.name;
  process.agent = std::make_unique<AgentNode>(std::move(options));
  m_time.After(kAttachDelay, [this, &process, life = process.life] {
    if (process.life == life) {
      AttachWorker(process);
    }
  });
}

void FakeWorld::End(Process& process, bool silent) {
  process.state = silent ? ProcessState::kHostLost : ProcessState::kEnded;
  process.backlog.clear();
  process.entry.reset();
  process.agent.reset();
  m_network.OnEnded(process.name, silent);
  for (StopRecord& stop : m_history.stops) {
    if (stop.process == process.name && stop.ended == kNever) {
      stop.ended = m_time.now();
    }
  }
  const VirtualUs ended = m_time.now();
  m_time.After(silent ? kCutLinkTimeout : 0, [this, &process, ended] {
    m_callers.OnEntryGone(process.name, ended);
  });
}

void FakeWorld::Kill(const std::string& name) {
  Process& process = m_processes.at(name);
  if (IsLive(name)) {
    NoteOutage(name, true);
    End(process, false);
  }
}

void FakeWorld::LoseHost(const std::string& name) {
  Process& process = m_processes.at(name);
  if (IsLive(name)) {
    NoteOutage(name, true);
    End(process, true);
    if (process.worker) {
      process.worker->Kill();
    }
  }
}

void FakeWorld::Restart(const std::string& name) {
  Process& process = m_processes.at(name);
  if (IsLive(name)) {
    return;
  }
  if (process.worker && process.state == ProcessState::kHostLost) {
    process.worker->Revive();
  }
  EndOutage(name, true);
  Start(process);
}

void FakeWorld::Freeze(const std::string& name) {
  Process& process = m_processes.at(name);
  if (process.state == ProcessState::kRuns) {
    process.state = ProcessState::kFrozen;
    NoteOutage(name, true);
  }
}

// To the other end of the allowed range.
void FakeWorld::StepClock(const std::string& name) {
  Process& process = m_processes.at(name);
  process.skew_ms = process.skew_ms > 0 ? -kMostSkewMs : kMostSkewMs;
}

bool FakeWorld::IsLive(const std::string& name) const {
  const ProcessState state = StateOf(name);
  return state == ProcessState::kRuns || state == ProcessState::kFrozen;
}

// ---- Cuts and outages -------------------------------------------------------

void FakeWorld::CutIsland(const std::vector<std::string>& inside,
                          bool from_log) {
  for (const std::string& process : inside) {
    for (const auto& [other, unused] : m_processes) {
      if (std::find(inside.begin(), inside.end(), other) == inside.end()) {
        m_network.Cut(process, other);
        m_network.Cut(other, process);
      }
    }
    if (from_log) {
      m_network.Cut(process, "log");
      m_network.Cut("log", process);
      NoteOutage(process, false);
    }
  }
}

void FakeWorld::HealIsland(const std::vector<std::string>& inside) {
  for (const std::string& process : inside) {
    for (const auto& [other, unused] : m_processes) {
      m_network.Heal(process, other);
      m_network.Heal(other, process);
    }
    m_network.Heal(process, "log");
    m_network.Heal("log", process);
    EndOutage(process, false);
  }
}

void FakeWorld::HealAfter(VirtualUs delay, std::function<void()> heal) {
  m_healed_by = std::max(m_healed_by, m_time.now() + delay);
  m_time.After(delay, std::move(heal));
}

void FakeWorld::NoteOutage(const std::string& process, bool stopped) {
  m_history.outages.push_back({process, stopped, m_time.now(), kNever});
}

void FakeWorld::EndOutage(const std::string& process, bool stopped) {
  for (OutageRecord& outage : m_history.outages) {
    if (outage.process == process && outage.stopped == stopped &&
        outage.until == kNever) {
      outage.until = m_time.now();
    }
  }
}

// ---- ProcessHost ------------------------------------------------------------

ProcessState FakeWorld::StateOf(const std::string& process) const {
  return m_processes.at(process).state;
}

uint64_t FakeWorld::LifeOf(const std::string& process) const {
  return m_processes.at(process).life;
}

Hello FakeWorld::HelloOf(const std::string& process) const {
  return m_processes.at(process).hello;
}

MonoTime FakeWorld::SteadyTimeOf(const std::string& process) const {
  return ClockOf(m_processes.at(process)).mono;
}

Now FakeWorld::ClockOf(const Process& process) const {
  const double mono_us =
      static_cast<double>(m_time.now() - process.mono_start) *
      (1 + process.drift);
  return {absl::Microseconds(static_cast<int64_t>(mono_us)),
          kWallStartMs + m_time.now() / 1000 + process.skew_ms};
}

FakeWorker& FakeWorld::worker(const std::string& agent) {
  return *m_processes.at(agent).worker;
}

// ---- Callers and operators --------------------------------------------------

CallerPort FakeWorld::MakeCallerPort() {
  CallerPort port;
  port.door = [this](const std::string& entry) {
    const Process& process = m_processes.at(entry);
    if (process.state == ProcessState::kEnded) {
      return EntryDoor::kRefuses;
    }
    if (process.state == ProcessState::kHostLost) {
      return EntryDoor::kSilent;
    }
    return process.draining ? EntryDoor::kDraining : EntryDoor::kOpen;
  };
  port.send = [this](const std::string& entry, EntryEvent event) {
    SendToEntry(entry, std::move(event));
  };
  return port;
}

void FakeWorld::Play(const Scenario& scenario) {
  for (const JobPlan& plan : scenario.jobs) {
    m_time.At(plan.at, [this, plan] { m_callers.Submit(plan, false); });
  }
  for (const StopPlan& plan : scenario.stops) {
    m_time.At(plan.at, [this, plan] { BeginDrain(plan.process); });
    if (plan.replaced_at != kNever) {
      m_time.At(plan.replaced_at, [this, plan] { Replace(plan.process); });
    }
  }
  for (const EditPlan& plan : scenario.edits) {
    m_time.At(plan.at, [this, plan] { Edit(plan); });
  }
}

// The rows that every scenario starts with, as an earlier deployment left them.
void FakeWorld::PutFirstRows(const std::vector<std::string>& kinds) {
  for (const std::string& kind : kinds) {
    EditRecord record;
    record.edit_id = "first-" + kind;
    record.kind = kind;
    record.weight = 1;
    m_history.edits.push_back(record);
    RowEdited edit;
    edit.edit_id = record.edit_id;
    edit.row.kind = kind;
    m_log.Put({record.edit_id, edit});
  }
}

void FakeWorld::Edit(const EditPlan& plan) {
  EditRecord record;
  record.token = m_history.edits.size();
  record.edit_id = "edit-" + std::to_string(record.token);
  record.kind = plan.kind;
  record.expected_version = plan.expected_version;
  record.weight = plan.weight;
  m_history.edits.push_back(record);
  RowEdited edit;
  edit.edit_id = record.edit_id;
  edit.editor = "operator";
  edit.expected_version = plan.expected_version;
  edit.row.kind = plan.kind;
  edit.row.weight = plan.weight;
  SendToEntry(m_entries[plan.entry], OperatorEdited{record.token, edit});
}

void FakeWorld::OnOperatorAnswer(const AnswerOperator& answer) {
  EditRecord& edit = m_history.edits.at(answer.token);
  ++edit.answers;
  edit.told = answer.outcome;
}

// The place of an edit in the log decides its race.
void FakeWorld::OnLogRecord(const LogEntry& entry) {
  const auto* edited = std::get_if<RowEdited>(&entry.record.body);
  if (edited == nullptr) {
    return;
  }
  for (EditRecord& edit : m_history.edits) {
    if (edit.edit_id == edited->edit_id && edit.appended == kNever) {
      edit.offset = entry.offset;
      edit.appended = m_time.now();
    }
  }
}

// As soon as the former process has ended.
void FakeWorld::Replace(const std::string& process) {
  if (IsLive(process)) {
    m_time.After(Ms(100), [this, process] { Replace(process); });
    return;
  }
  Restart(process);
}

// An entry counts from its first complete read on, or when it serves before.
bool FakeWorld::MaySampleTable(const Process& process) const {
  return process.state == ProcessState::kRuns && process.entry != nullptr &&
         (process.entry->control().next_offset() >= process.head_at_start ||
          process.entry->Status(ClockOf(process)).shards_serving > 0);
}

void FakeWorld::SampleTables() {
  for (const auto& [name, process] : m_processes) {
    if (!MaySampleTable(process)) {
      continue;
    }
    const ControlState& control = process.entry->control();
    TableSample sample;
    sample.at = m_time.now();
    sample.process = name;
    sample.table_version = control.table_version();
    for (const auto& [kind, row] : control.rows()) {
      sample.row_versions[kind] = row.version;
      sample.weights[kind] = row.row.weight;
    }
    m_history.samples.push_back(std::move(sample));
  }
  m_time.After(kSamplePeriod, [this] { SampleTables(); });
}

const History& FakeWorld::Finish() {
  m_history.end = m_time.now();
  return m_history;
}

}  // namespace egretswitch::internal
