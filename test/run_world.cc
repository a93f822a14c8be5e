// Messages take 0.5 ms and keep their order on a link. A cut link delays them
// until it works again, as TCP does.
#include "run_world.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "run_fixture.h"
#include "run_limits.h"
#include "wire_codec.h"

namespace egretswitch::internal {
namespace {

constexpr VirtualUs kTcpTimeout = Ms(3000);
constexpr VirtualUs kRestartAfter = Ms(400);

VirtualUs ToUs(MonoTime time) {
  return absl::ToInt64Microseconds(time);
}

bool IsAboutCancelledJobs(const RunMessageBody& body) {
  return std::holds_alternative<CancelledJobsRequest>(body) ||
         std::holds_alternative<CancelledJobsPart>(body);
}

// "agent-17" -> 17
size_t NumberOf(const std::string& name) {
  return std::stoul(name.substr(name.find('-') + 1));
}

}  // namespace

// ---- Processes
// ----------------------------------------------------------------------

RunWorld::RunWorld(const RunWorldOptions& options)
    : m_seed(options.seed),
      m_time(options.seed),
      m_traced_job(options.traced_job),
      m_entry_shares(options.entry_shares),
      m_link_delay(options.link_delay),
      m_caller_delay(options.caller_delay),
      m_policy(options.policy),
      m_slow_stops(options.slow_stops),
      m_slow_calls(options.slow_calls),
      m_refused_starts(options.refused_starts),
      m_late_copies(options.late_copies),
      m_departures_then_kills(options.departures_then_kills),
      m_lost_departures(options.lost_departures),
      m_same_worker_ids(options.same_worker_ids),
      m_down_workers_refuse(options.down_workers_refuse),
      m_max_lease_ms(options.max_lease_ms),
      m_count_bytes(options.count_bytes) {
  std::vector<WorkerPlan> workers = options.workers;
  if (workers.empty()) {
    workers.resize(static_cast<size_t>(options.agents));
  }
  m_entries.resize(static_cast<size_t>(options.entries));
  m_agents.resize(workers.size());
  for (int i = 0; i < static_cast<int>(workers.size()); ++i) {
    m_agents[i].number = i;
    m_agents[i].name = absl::StrCat("agent-", i);
    m_agents[i].capacity = workers[i].capacity;
    m_agents[i].slowness = workers[i].slowness;
    m_agents[i].kind = workers[i].kind;
    ReplaceWorker(i);
    StartAgent(i);
  }
  for (int i = 0; i < options.entries; ++i) {
    m_entries[i].number = i;
    m_entries[i].name = absl::StrCat("entry-", i);
    StartEntry(i);
  }
  const size_t jobs = options.plans.empty() ? static_cast<size_t>(options.jobs)
                                            : options.plans.size();
  m_callers.resize(jobs);
  for (int i = 0; i < static_cast<int>(jobs); ++i) {
    Caller& caller = m_callers[i];
    caller.plan =
        options.plans.empty() ? DrawnPlan(m_time, i) : options.plans[i];
    m_caller_of_job[caller.plan.id] = i;
    m_time.At(caller.plan.at, [this, i] { Submit(i); });
  }
  ScheduleFaults(options);
}

void RunWorld::Run(VirtualUs until) {
  m_time.RunUntil(until);
  for (const Caller& caller : m_callers) {
    if (caller.ended && caller.all_refused && caller.started) {
      AddViolation(
          absl::StrCat(caller.plan.id, " started, and was refused as not run"));
    }
  }
}

Now RunWorld::NowAt() const {
  return {absl::Microseconds(m_time.now()) + absl::Seconds(10), 0};
}

void RunWorld::StartEntry(int entry) {
  Entry& process = m_entries[entry];
  process.incarnation = ++m_incarnations;
  process.node = std::make_unique<JobDispatcher>(process.incarnation, m_policy);
  process.queued.clear();
  process.frozen_until = 0;
  process.draining = false;
  ToEntry(entry, TimePassed{});
  process.store_updates_blocked = false;
  process.evacuations_received = 0;
  StartSearch(entry);
  LinkEntries(process);
  DeliverEvacuations(entry);
  for (int agent = 0; agent < static_cast<int>(m_agents.size()); ++agent) {
    m_time.After(Ms(m_time.Random(1, 30)),
                 [this, entry, agent] { Connect(entry, agent); });
  }
}

void RunWorld::StartAgent(int agent) {
  Agent& process = m_agents[agent];
  process.incarnation = ++m_incarnations;
  process.node = std::make_unique<RunManager>(
      DataCentreOf(agent), absl::Milliseconds(m_max_lease_ms));
  StartExchange(process);
  process.queued.clear();
  process.frozen_until = 0;
  process.draining = false;
  for (int entry = 0; entry < static_cast<int>(m_entries.size()); ++entry) {
    m_time.After(Ms(m_time.Random(1, 30)),
                 [this, entry, agent] { Connect(entry, agent); });
  }
  m_time.After(Ms(m_time.Random(0, 300)),
               [this, agent, incarnation = process.incarnation] {
                 if (m_agents[agent].incarnation == incarnation) {
                   Announce(agent);
                 }
               });
}

void RunWorld::Connect(int entry, int agent) {
  Entry& from = m_entries[entry];
  Agent& to = m_agents[agent];
  Link& link = LinkOf(entry, agent);
  const bool same = link.up && link.entry_incarnation == from.incarnation &&
                    link.agent_incarnation == to.incarnation;
  if (from.node == nullptr || to.node == nullptr || same) {
    return;
  }
  link.entry_incarnation = from.incarnation;
  link.agent_incarnation = to.incarnation;
  link.up = true;
  link.unresponsive = false;
  ++link.number;
  link.up_since = m_time.now();
  ToEntry(entry, PeerConnected{to.name, to.incarnation, DataCentreOf(agent)});
  ToAgent(agent, PeerConnected{from.name, from.incarnation});
  ToExchange(from, CancelMemoryPeerUp{to.name, to.incarnation,
                                      ProcessRole::kAgent, true});
  ToExchange(to, CancelMemoryPeerUp{from.name, from.incarnation,
                                    ProcessRole::kEntry, true});
  // The worker that the entry has on record; sometimes the previous
  // incarnation.
  const int64_t behind = m_time.Random(0, 3) == 0 ? 1 : 0;
  ToAgent(agent,
          PeerMessageReceived{
              from.name, from.incarnation,
              WorkerHint{AnnouncementOf(
                  agent, static_cast<int64_t>(to.worker_number) - behind)}});
}

void RunWorld::Disconnect(int entry, int agent, VirtualUs delay) {
  Link& link = LinkOf(entry, agent);
  if (!link.up) {
    return;
  }
  link.up = false;
  const PeerDisconnected to_agent{m_entries[entry].name,
                                  link.entry_incarnation};
  const PeerDisconnected to_entry{m_agents[agent].name, link.agent_incarnation};
  m_time.After(delay, [this, entry, agent, to_agent, to_entry] {
    // A process is notified of its own links only, not of those of its previous
    // incarnation.
    if (m_entries[entry].incarnation == to_agent.incarnation) {
      ToEntry(entry, to_entry);
      ToExchange(m_entries[entry], to_entry);
    }
    if (m_agents[agent].incarnation == to_entry.incarnation) {
      ToAgent(agent, to_agent);
      ToExchange(m_agents[agent], to_agent);
    }
    m_time.After(Ms(10), [this, entry, agent] { Connect(entry, agent); });
  });
}

void RunWorld::MakeLinkUnresponsive(int entry, int agent) {
  Link& link = LinkOf(entry, agent);
  link.unresponsive = link.up;
  m_time.After(kTcpTimeout, [this, entry, agent, number = link.number] {
    const Link& later = LinkOf(entry, agent);
    if (later.unresponsive && later.number == number) {
      Disconnect(entry, agent, kLinkDelay);
    }
  });
}

// The handshake needs both processes, and the network in both directions.
void RunWorld::RedialPeer(int entry, int agent) {
  const Link& link = LinkOf(entry, agent);
  const VirtualUs now = m_time.now();
  const bool answered =
      m_agents[agent].node != nullptr && m_agents[agent].frozen_until <= now &&
      link.to_agent.cut_until <= now && link.to_entry.cut_until <= now;
  if (answered) {
    Disconnect(entry, agent, 2 * m_link_delay);
  }
}

void RunWorld::KillEntry(int entry, bool power_off) {
  if (m_entries[entry].node != nullptr) {
    EndEntry(entry, power_off,
             power_off ? Ms(m_time.Random(700, 3500)) : kRestartAfter);
  }
}

void RunWorld::EndEntry(int entry, bool power_off, VirtualUs down) {
  m_entries[entry].node.reset();
  EndSearch(entry);
  UnlinkEntries(m_entries[entry], power_off ? kTcpTimeout : kLinkDelay);
  for (int agent = 0; agent < static_cast<int>(m_agents.size()); ++agent) {
    Disconnect(entry, agent, power_off ? kTcpTimeout : kLinkDelay);
  }
  for (int caller = 0; caller < jobs(); ++caller) {
    if (m_callers[caller].open_call.has_value() &&
        m_callers[caller].entry == entry) {
      if (!power_off) {
        AttemptEnded(caller, std::nullopt);
      }
    }
  }
  m_time.After(down, [this, entry] { StartEntry(entry); });
}

void RunWorld::KillAgent(int agent, bool power_off) {
  if (m_agents[agent].node == nullptr) {
    return;
  }
  EndAgent(agent, power_off ? kTcpTimeout : kLinkDelay);
  m_time.After(power_off ? Ms(m_time.Random(700, 3500)) : kRestartAfter,
               [this, agent] { StartAgent(agent); });
}

// Each process restarts at a time of its own, as in a real deployment.
void RunWorld::LoseAllPower(VirtualUs down) {
  for (Entry& entry : m_entries) {
    entry.node.reset();
    EndSearch(entry.number);
    UnlinkEntries(entry, kTcpTimeout);
    const VirtualUs delay = Ms(m_time.Random(0, 300));
    m_time.After(down + delay,
                 [this, number = entry.number] { StartEntry(number); });
  }
  for (Agent& agent : m_agents) {
    agent.node.reset();
    agent.exchange.reset();
    CrashWorker(agent.number, down);
    const VirtualUs delay = Ms(m_time.Random(0, 300));
    m_time.After(down + delay,
                 [this, number = agent.number] { StartAgent(number); });
  }
  for (auto& [ends, link] : m_links) {
    link.up = false;
  }
  for (int caller = 0; caller < jobs(); ++caller) {
    if (m_callers[caller].open_call.has_value()) {
      AttemptEnded(caller, std::nullopt);
    }
  }
}

// ---- Events and actions
// ---------------------------------------------------------------

void RunWorld::ToEntry(int entry, const JobDispatcherEvent& event) {
  Deliver(m_entries[entry], event);
}

void RunWorld::ToAgent(int agent, const RunManagerEvent& event) {
  Deliver(m_agents[agent], event);
}

void RunWorld::FreezeEntry(int entry, VirtualUs until) {
  Freeze(m_entries[entry], until);
}

void RunWorld::FreezeAgent(int agent, VirtualUs until) {
  Freeze(m_agents[agent], until);
}

template <typename AnyProcess>
void RunWorld::Deliver(AnyProcess& process,
                       const typename AnyProcess::Event& event) {
  if (process.node == nullptr) {
    return;
  }
  if (m_time.now() < process.frozen_until) {
    process.queued.push_back(event);
    return;
  }
  Perform(process, process.node->Handle(event, NowAt()));
  Arm(process);
}

template <typename AnyProcess>
void RunWorld::Arm(AnyProcess& process) {
  const MonoTime wake = process.node->NextWake();
  if (wake == absl::InfiniteDuration()) {
    return;
  }
  const VirtualUs at =
      std::max(ToUs(wake - absl::Seconds(10)), m_time.now() + 1);
  if (process.wake_at > m_time.now() && process.wake_at <= at) {
    return;
  }
  process.wake_at = at;
  m_time.At(at, [this, &process, incarnation = process.incarnation] {
    if (process.incarnation == incarnation) {
      Deliver(process, TimePassed{});
    }
  });
}

template <typename AnyProcess>
void RunWorld::Freeze(AnyProcess& process, VirtualUs until) {
  process.frozen_until = until;
  m_time.At(until, [this, &process, incarnation = process.incarnation] {
    while (process.incarnation == incarnation && process.node != nullptr &&
           !process.queued.empty() && m_time.now() >= process.frozen_until) {
      const typename AnyProcess::Event event =
          std::move(process.queued.front());
      process.queued.pop_front();
      Deliver(process, event);
    }
  });
}

void RunWorld::Perform(const Entry& entry,
                       const JobDispatcherActions& actions) {
  CheckRunCounts(entry);
  for (const AnswerJob& answer : ActionsOf<AnswerJob>(actions)) {
    OnAnswer(entry.number, answer);
  }
  for (const JobDispatcherAction& action : actions) {
    if (const auto* note = std::get_if<NoteStateChange>(&action)) {
      Trace(entry.name, *note);
    } else if (const auto* send = std::get_if<SendRunMessage>(&action)) {
      Transmit(entry, *send);
    } else if (const auto* dial = std::get_if<internal::RedialPeer>(&action)) {
      RedialPeer(entry.number, NumberOf(dial->peer));
    } else if (std::holds_alternative<CheckCallers>(action)) {
      CheckCallersOf(entry);
    }
  }
}

void RunWorld::CheckRunCounts(const Entry& entry) {
  if (const absl::Status status = entry.node->CheckRunCounts(); !status.ok()) {
    AddViolation(absl::StrCat(entry.name, ": ", status.message()));
  }
}

void RunWorld::Perform(const Agent& agent, const RunManagerActions& actions) {
  for (const RunManagerAction& action : actions) {
    if (const auto* start = std::get_if<StartCall>(&action)) {
      CallWorker(agent.number, *start);
    } else if (const auto* stop = std::get_if<StopCall>(&action)) {
      CallWorker(agent.number, *stop);
    } else if (const auto* poll = std::get_if<PollCall>(&action)) {
      CallWorker(agent.number, *poll);
    } else if (const auto* note = std::get_if<NoteStateChange>(&action)) {
      Trace(agent.name, *note);
    } else if (const auto* send = std::get_if<SendRunMessage>(&action)) {
      Transmit(agent, *send);
    }
  }
}

VirtualUs RunWorld::ArrivalOn(Direction& direction) const {
  direction.last_arrival =
      std::max({m_time.now() + m_link_delay, direction.cut_until,
                direction.last_arrival});
  return direction.last_arrival;
}

void RunWorld::CountMessage(const RunMessageBody& body) {
  ++m_messages;
  if (m_count_bytes) {
    std::string encoded;
    EncodeMessage(RunMessage{body}, &encoded);
    m_bytes += encoded.size();
  }
}

// The message is lost if its connection ends first.
template <typename AnyProcess>
void RunWorld::DeliverOver(const Link& link,
                           VirtualUs arrival,
                           AnyProcess& to,
                           const PeerMessageReceived& message) {
  m_time.At(arrival, [this, &link, &to, message, number = link.number] {
    if (!link.up || link.number != number) {
      return;
    }
    if (IsAboutCancelledJobs(message.body)) {
      ToExchange(to, message);
    } else {
      Deliver(to, message);
    }
  });
}

void RunWorld::Transmit(const Entry& entry, const SendRunMessage& send) {
  if (send.peer.starts_with("entry-")) {
    TransmitToEntry(entry, send);
    return;
  }
  const Agent& agent = m_agents[NumberOf(send.peer)];
  Link& link = LinkOf(entry.number, agent.number);
  if (!link.up || link.unresponsive ||
      link.agent_incarnation != send.incarnation) {
    return;
  }
  CountMessage(send.body);
  DeliverOver(link, ArrivalOn(link.to_agent), m_agents[agent.number],
              {entry.name, link.entry_incarnation, send.body});
}

void RunWorld::Transmit(const Agent& agent, const SendRunMessage& send) {
  const Entry& entry = m_entries[NumberOf(send.peer)];
  Link& link = LinkOf(entry.number, agent.number);
  if (!link.up || link.unresponsive ||
      link.entry_incarnation != send.incarnation) {
    return;
  }
  CountMessage(send.body);
  DeliverOver(link, ArrivalOn(link.to_entry), m_entries[entry.number],
              {agent.name, link.agent_incarnation, send.body});
}

}  // namespace egretswitch::internal
