// The events of processes and what becomes of the actions they return.
#include <algorithm>
#include <iostream>
#include <type_traits>
#include <utility>
#include <variant>

#include "fake_world.h"
#include "node_event_text.h"
#include "node_limits.h"

namespace egretswitch::internal {
namespace {

constexpr VirtualUs kLogCallTimeout = Ms(2000);

template <typename Event, typename Variant>
struct IsAlternative;
template <typename Event, typename... Alternatives>
struct IsAlternative<Event, std::variant<Alternatives...>>
    : std::disjunction<std::is_same<Event, Alternatives>...> {};

}  // namespace

// ---- Events and their actions -----------------------------------------------

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

// ---- What brings events -----------------------------------------------------

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

}  // namespace egretswitch::internal
