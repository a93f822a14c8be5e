#include "fake_world.h"

#include <algorithm>
#include <iostream>
#include <type_traits>
#include <utility>
#include <variant>

#include "node_event_text.h"
#include "node_limits.h"

namespace egretswitch::internal {
namespace {

constexpr VirtualUs kSamplePeriod = Ms(500);
constexpr VirtualUs kAttachDelay = Ms(2);
constexpr VirtualUs kLogCallTimeout = Ms(2000);
constexpr int64_t kMostSkewMs = kWallSkewMs / 2 - 10;
constexpr double kMostDrift = 0.005;

template <typename Event, typename Variant>
struct IsAlternative;
template <typename Event, typename... Alternatives>
struct IsAlternative<Event, std::variant<Alternatives...>>
    : std::disjunction<std::is_same<Event, Alternatives>...> {};

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

// Commands of the agent's earlier lives are refused by the worker from now on.
void FakeWorld::AttachWorker(Process& process) {
  const uint64_t life = process.life;
  process.worker->SetHolder(life, [this, &process, life](AgentEvent event) {
    VirtualUs& last = process.last_from_worker;
    last = std::max(last, m_time.now() + m_time.Random(50, 300));
    m_time.At(last, [this, &process, life, event = std::move(event)] {
      Post(process.name, life, [this, &process, event] {
        std::visit([&](const auto& body) { Handle(process, body); }, event);
      });
    });
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

// The backlog arrives in order; the timer fires before or after the most of it.
void FakeWorld::Wake(const std::string& name) {
  Process& process = m_processes.at(name);
  if (process.state != ProcessState::kFrozen) {
    return;
  }
  process.state = ProcessState::kRuns;
  EndOutage(name, true);
  bool tick_due = m_time.Random(0, 1) == 0;
  while (process.state == ProcessState::kRuns && !process.backlog.empty()) {
    const auto task = std::move(process.backlog.front());
    process.backlog.pop_front();
    task();
    if (std::exchange(tick_due, false) &&
        process.state == ProcessState::kRuns) {
      Handle(process, Tick{});
    }
  }
}

void FakeWorld::BeginDrain(const std::string& name) {
  Process& process = m_processes.at(name);
  if (!IsLive(name)) {
    return;
  }
  Post(name, process.life, [this, &process] {
    process.draining = true;
    m_history.stops.push_back({process.name, m_time.now(), kNever});
    Handle(process, internal::BeginDrain{});
  });
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

void FakeWorld::Post(const std::string& name,
                     uint64_t life,
                     std::function<void()> task) {
  Process& process = m_processes.at(name);
  if (process.life != life || !IsLive(name)) {
    return;
  }
  if (process.state == ProcessState::kFrozen) {
    process.backlog.push_back(std::move(task));
    return;
  }
  task();
}

void FakeWorld::HandleNetworkEvent(const std::string& name,
                                   NetworkEvent event) {
  Process& process = m_processes.at(name);
  std::visit([&](const auto& body) { Handle(process, body); }, event);
}

// ---- Events and actions -----------------------------------------------------

Now FakeWorld::ClockOf(const Process& process) const {
  const double mono_us =
      static_cast<double>(m_time.now() - process.mono_start) *
      (1 + process.drift);
  return {absl::Microseconds(static_cast<int64_t>(mono_us)),
          kWallStartMs + m_time.now() / 1000 + process.skew_ms};
}

void FakeWorld::ScheduleTick(Process& process, uint64_t life) {
  m_time.After(absl::ToInt64Microseconds(kTickPeriod), [this, &process, life] {
    if (process.life != life || !IsLive(process.name)) {
      return;
    }
    if (process.state == ProcessState::kRuns) {
      Handle(process, Tick{});
    }
    ScheduleTick(process, life);
  });
}

// An event that the process's role does not know (a refused dial of an agent)
// is dropped, as the shell would.
template <typename Event>
void FakeWorld::Handle(Process& process, const Event& event) {
  constexpr bool kIsTick = std::is_same_v<Event, Tick>;
  if (m_verbose && !kIsTick) {
    std::cerr << m_time.now() / 1000.0 << " " << process.name << " <- "
              << EventText(event) << "\n";
  }
  Actions actions;
  if (process.entry) {
    if constexpr (IsAlternative<Event, EntryEvent>::value) {
      actions = process.entry->Handle(EntryEvent(event), ClockOf(process));
    }
  } else {
    if constexpr (IsAlternative<Event, AgentEvent>::value) {
      actions = process.agent->Handle(AgentEvent(event), ClockOf(process));
    }
  }
  Perform(process, std::move(actions), !kIsTick);
}

void FakeWorld::Perform(Process& process, Actions actions, bool counts) {
  Interruption interruption;
  if (counts || !actions.empty()) {
    ++m_steps;
    if (m_hook) {
      interruption = m_hook({m_steps, process.name, actions.size()});
    }
  }
  PerformFrom(process, std::make_shared<Actions>(std::move(actions)), 0,
              interruption);
}

// A process that ends between two actions never does the rest; one that
// freezes there does it when it wakes.
void FakeWorld::PerformFrom(Process& process,
                            std::shared_ptr<Actions> actions,
                            size_t next,
                            const Interruption& interruption) {
  const uint64_t life = process.life;
  for (size_t i = next; i <= actions->size(); ++i) {
    if (interruption.fault && i == interruption.after_actions) {
      interruption.fault();
    }
    if (process.life != life || !IsLive(process.name)) {
      return;
    }
    if (process.state == ProcessState::kFrozen) {
      process.backlog.push_front([this, &process, actions, i] {
        PerformFrom(process, actions, i, {});
      });
      return;
    }
    if (i < actions->size()) {
      Do(process, (*actions)[i]);
    }
  }
}

void FakeWorld::Do(Process& process, Action& action) {
  if (m_verbose) {
    std::cerr << m_time.now() / 1000.0 << " " << process.name << "    -> "
              << ActionText(action) << "\n";
  }
  if (auto* send = std::get_if<Send>(&action)) {
    m_network.Send(process.name, send->peer, std::move(send->message));
  } else if (auto* targets = std::get_if<SetDialTargets>(&action)) {
    m_network.SetTargets(process.name, std::move(targets->peers));
  } else if (auto* read = std::get_if<ReadLog>(&action)) {
    DoRead(process, *read);
  } else if (auto* append = std::get_if<AppendLog>(&action)) {
    DoAppend(process, *append);
  } else if (auto* answer = std::get_if<AnswerCaller>(&action)) {
    m_callers.OnAnswer(*answer);
  } else if (auto* operator_answer = std::get_if<AnswerOperator>(&action)) {
    OnOperatorAnswer(*operator_answer);
  } else if (auto* start = std::get_if<StartOnWorker>(&action)) {
    ToWorker(process, [life = process.life, start = *start](
                          FakeWorker& worker) { worker.Start(life, start); });
  } else if (auto* stop = std::get_if<StopOnWorker>(&action)) {
    ToWorker(process, [life = process.life, lease = stop->lease](
                          FakeWorker& worker) { worker.Stop(life, lease); });
  } else if (std::holds_alternative<Stop>(action)) {
    End(process, false);
  }
}

// Commands reach the worker in the order in which they were sent.
void FakeWorld::ToWorker(Process& process,
                         std::function<void(FakeWorker&)> command) {
  VirtualUs& last = process.last_to_worker;
  last = std::max(last, m_time.now() + m_time.Random(50, 300));
  m_time.At(last, [&process, command = std::move(command)] {
    command(*process.worker);
  });
}

FakeWorker& FakeWorld::worker(const std::string& agent) {
  return *m_processes.at(agent).worker;
}

// ---- Calls to the log -------------------------------------------------------

// One call: `call` runs when it reaches the log, and the process handles the
// reply or, when none came in time, `on_timeout`.
template <typename Event>
void FakeWorld::CallLog(Process& process,
                        VirtualUs timeout,
                        Event on_timeout,
                        LogCall call) {
  auto done = std::make_shared<bool>(false);
  const auto finish = [this, &process, life = process.life,
                       done](const auto& result) {
    Post(process.name, life, [this, &process, done, result] {
      if (!std::exchange(*done, true)) {
        Handle(process, result);
      }
    });
  };
  const std::string name = process.name;
  m_time.After(timeout, [finish, on_timeout] { finish(on_timeout); });
  m_time.After(m_network.Latency(), [this, name, call, finish] {
    if (m_network.IsCut(name, "log")) {
      return;
    }
    call([this, name, finish](LogReply reply) {
      if (!m_network.IsCut("log", name)) {
        m_time.After(m_network.Latency(),
                     [finish, reply] { std::visit(finish, reply); });
      }
    });
  });
}

void FakeWorld::DoRead(Process& process, const ReadLog& read) {
  if (process.role == ProcessRole::kEntry) {
    CallLog(process, kLogCallTimeout + absl::ToInt64Microseconds(read.wait),
            LogReadFailed{read.asked_at},
            [this, read](LogReplyTo reply) { m_log.Read(read, reply); });
  }
}

void FakeWorld::DoAppend(Process& process, const AppendLog& append) {
  const LogRecord& record = append.record;
  CallLog(process, kLogCallTimeout, LogAppendFailed{record.append_id, true},
          [this, record](LogReplyTo reply) { m_log.Append(record, reply); });
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

// From a caller or an operator. What reaches a later life is lost.
void FakeWorld::SendToEntry(const std::string& entry, EntryEvent event) {
  Process& process = m_processes.at(entry);
  m_time.After(m_network.Latency(), [this, &process, life = process.life,
                                     event = std::move(event)] {
    Post(process.name, life, [this, &process, event] {
      std::visit([&](const auto& body) { Handle(process, body); }, event);
    });
  });
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
