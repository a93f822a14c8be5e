#include "step_entry_daemon.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "json_error.h"
#include "link_identity.h"
#include "link_log.h"
#include "logging.h"
#include "random_seed.h"

namespace egretswitch::internal {
namespace {

// How often the selection of links is updated, so that links are opened soon
// for jobs that have arrived.
constexpr absl::Duration kSelectLinksPeriod = absl::Milliseconds(50);

LinkHubOptions MakeEntryHubOptions(const StepCommonSettings& common,
                                   const Hello& self) {
  LinkHubOptions options = MakeHubOptions(common, self);
  options.dials_every_target = true;
  return options;
}

// Interval between checks whether a drain is complete. The HTTP library sends
// an answer in the same iteration of the loop in which it receives it.
constexpr absl::Duration kIdleCheckPeriod = absl::Milliseconds(20);

constexpr uint32_t kMaxCallerConnections = 3000;
constexpr size_t kMaxBodyBytes = 256u << 10;
constexpr size_t kMaxTotalBodyBytes = 32u << 20;

constexpr int kUnavailable = 503;

}  // namespace

StepEntryDaemon::StepEntryDaemon(EventLoop& loop,
                                 const StepCommonSettings& common,
                                 const StepEntrySettings& entry,
                                 EntryPlatform platform,
                                 EntryTimes times)
    : m_loop(loop),
      m_common(common),
      m_settings(entry),
      m_platform(std::move(platform)),
      m_times(times),
      m_self(MakeHello(common, ProcessRole::kEntry)),
      m_seed(RandomSeed()),
      m_hub(loop, MakeEntryHubOptions(common, m_self), MakeHubEvents()),
      m_dispatcher(m_seed),
      m_cancel_search(RandomSeed(),
                      [this](absl::Span<const std::string> jobs) {
                        return CancelHere(jobs);
                      }),
      m_cancel_exchange(ProcessRole::kEntry,
                        m_dispatcher.cancelled_jobs(),
                        m_seed),
      m_link_selection(common.name, m_seed),
      m_wake(loop, [this] { Deliver(TimePassed{}); }),
      m_cancel_wake(loop, [this] { DeliverCancel(TimePassed{}); }),
      m_cancel_exchange_wake(loop, [this] { DeliverToExchange(TimePassed{}); }),
      m_announcer(
          TimersOf(loop),
          m_platform.tables.store,
          {.name = common.name, .address = common.listen.Text(), .entry = true},
          RandomSeed()),
      m_tables(loop, m_platform.tables, common.name, MakeTablesEvents()) {}

StepEntryDaemon::~StepEntryDaemon() = default;

absl::StatusOr<std::unique_ptr<HttpServer>> StepEntryDaemon::Listen(
    const IpPort& address,
    HttpServer::Handler handler) {
  HttpServerOptions options;
  options.address = address.Text();
  options.loop = &m_loop;
  options.max_connections = kMaxCallerConnections;
  options.max_body_bytes = kMaxBodyBytes;
  options.max_total_body_bytes = kMaxTotalBodyBytes;
  options.idle_timeout = absl::Seconds(60);
  options.first_request_timeout = m_times.first_request_timeout;
  options.wanted_headers = m_platform.callers.WantedHeaders();
  return HttpServer::Create(std::move(options), std::move(handler), JsonError);
}

absl::Status StepEntryDaemon::Start() {
  auto callers = Listen(m_settings.callers_listen,
                        [this](HttpRequest request, Responder responder) {
                          OnCall(std::move(request), responder);
                        });
  auto ready = Listen(m_settings.ready_listen, [this](
                                                   const HttpRequest&,
                                                   const Responder& responder) {
    responder.Answer({.status = Ready() ? 200 : kUnavailable, .body = "{}"});
  });
  auto metrics =
      Listen(m_common.metrics_listen,
             [this](const HttpRequest&, const Responder& responder) {
               responder.Answer({.body = Metrics(),
                                 .content_type = "text/plain; version=0.0.4"});
             });
  absl::Status status = callers.status();
  status.Update(ready.status());
  status.Update(metrics.status());
  status.Update(m_hub.Listen());
  if (!status.ok()) {
    return status;
  }
  m_callers = *std::move(callers);
  m_ready = *std::move(ready);
  m_metrics = *std::move(metrics);
  m_started_at = EventLoop::MonoNow();
  Deliver(CancelMemoryChanged{.complete = false});
  m_loop.RunAfter(FirstConfigTimeout(),
                  [this] { HandleCallsAwaitingConfig(); });
  m_announcer.Start();
  m_tables.Start();
  SelectLinksPeriodically();
  return absl::OkStatus();
}

// ---- Configuration and members
// --------------------------------------------------------

DeploymentTablesEvents StepEntryDaemon::MakeTablesEvents() {
  DeploymentTablesEvents events;
  events.send = [this](const std::string& entry, const TableMessage& body) {
    m_hub.Send(entry, RunMessage{body});
  };
  events.config_changed = [this] { OnTablesChanged(); };
  events.evacuations_changed = [this] {
    Deliver(EvacuationsChanged{m_tables.evacuations_for_agents()});
    OnTablesChanged();
  };
  events.members_changed = [this] {
    m_link_selection.SetMembers(m_tables.members());
    DeliverCancel(EntriesCounted{m_tables.members().CountEntries()});
    SelectLinks();
  };
  return events;
}

void StepEntryDaemon::SelectLinks() {
  const std::vector<PeerAddress> targets =
      m_link_selection.Choose(m_dispatcher.pool(), EventLoop::MonoNow());
  m_hub.SetDialTargets(targets);
  if (!m_cancel_exchange.complete()) {
    DeliverToExchange(AgentsDialled{static_cast<size_t>(std::count_if(
        targets.begin(), targets.end(), [](const PeerAddress& target) {
          return target.role == ProcessRole::kAgent;
        }))});
  }
}

void StepEntryDaemon::SelectLinksPeriodically() {
  SelectLinks();
  m_loop.RunAfter(kSelectLinksPeriod, [this] { SelectLinksPeriodically(); });
}

void StepEntryDaemon::OnTablesChanged() {
  if (m_tables.Complete()) {
    HandleCallsAwaitingConfig();
  }
  LogReadinessChange();
}

// ---- Links
// -----------------------------------------------------------------------------

LinkHubEvents StepEntryDaemon::MakeHubEvents() {
  LinkHubEvents events;
  events.link_up = [this](const Hello& peer) { OnLinkUp(peer); };
  events.link_down = [this](const std::string& name, uint64_t incarnation) {
    m_tables.OnEntryDisconnected(name);
    LogStateChange({"link down", {{"peer", name}}});
    Deliver(PeerDisconnected{name, incarnation});
    DeliverCancel(PeerDisconnected{name, incarnation});
    DeliverToExchange(PeerDisconnected{name, incarnation});
    LogReadinessChange();
  };
  events.refused = [](const std::string&, MonoTime) {};
  events.message = [this](const std::string& name, uint64_t incarnation,
                          Message message) {
    OnMessage(name, incarnation, std::move(message));
  };
  events.link_ended = LogLinkEnded;
  return events;
}

void StepEntryDaemon::OnLinkUp(const Hello& peer) {
  LogStateChange(
      {"link up",
       {{"peer", peer.name}, {"incarnation", absl::StrCat(peer.incarnation)}}});
  DeliverToExchange(
      CancelMemoryPeerUp{peer.name, peer.incarnation, peer.role,
                         UnderstandsCancelledJobs(peer.run_message_kinds)});
  const PeerProximity proximity = peer.data_centre == m_common.data_centre
                                      ? PeerProximity::kSameDataCentre
                                      : PeerProximity::kOtherDataCentre;
  if (peer.role != ProcessRole::kEntry) {
    Deliver(PeerConnected{peer.name, peer.incarnation, peer.data_centre});
    if (m_common.keep_tables_at_agents) {
      m_tables.OnAgentConnected(peer.name, proximity);
    }
    const MemberAddress* member = m_tables.members().Find(peer.name);
    if (member != nullptr && !member->worker.incarnation.empty()) {
      m_hub.SendTo(peer.name, peer.incarnation,
                   RunMessage{WorkerHint{member->worker}});
    }
    return;
  }
  DeliverCancel(CancelPeerConnected{
      peer.name, peer.incarnation, UnderstandsCancels(peer.run_message_kinds)});
  Deliver(EntryLinkUp{peer.name, peer.incarnation,
                      UnderstandsAttempts(peer.run_message_kinds)});
  m_tables.OnEntryConnected(peer.name, proximity);
}

void StepEntryDaemon::OnMessage(const std::string& name,
                                uint64_t incarnation,
                                Message message) {
  auto* carried = std::get_if<RunMessage>(&message);
  if (carried == nullptr) {
    return;
  }
  if (const auto* tables = std::get_if<TableMessage>(&carried->body)) {
    m_tables.OnMessage(name, *tables);
  } else if (std::holds_alternative<CancelStepJobs>(carried->body) ||
             std::holds_alternative<StepJobsCancelled>(carried->body)) {
    DeliverCancel(
        PeerMessageReceived{name, incarnation, std::move(carried->body)});
  } else if (std::holds_alternative<CancelledJobsRequest>(carried->body) ||
             std::holds_alternative<CancelledJobsPart>(carried->body)) {
    DeliverToExchange(
        PeerMessageReceived{name, incarnation, std::move(carried->body)});
  } else {
    Deliver(PeerMessageReceived{name, incarnation, std::move(carried->body)});
    LogReadinessChange();
  }
}

// ---- Actions
// -----------------------------------------------------------------------------

void StepEntryDaemon::Deliver(const JobDispatcherEvent& event) {
  PerformAll(m_dispatcher.Handle(event, EventLoop::ReadClocks()));
  m_wake.Arm(m_dispatcher.NextWake());
  FlushLog();
}

void StepEntryDaemon::PerformAll(const JobDispatcherActions& actions) {
  for (const JobDispatcherAction& action : actions) {
    std::visit([this](const auto& requested) { Perform(requested); }, action);
  }
}

void StepEntryDaemon::Perform(const AnswerJob& answer) {
  const auto it = m_calls.find(answer.call);
  if (it == m_calls.end()) {
    return;  // the caller has disconnected
  }
  const absl::Duration taken = EventLoop::MonoNow() - it->second.since;
  m_latency.Add(absl::ToDoubleMilliseconds(taken));
  it->second.responder.Answer(m_platform.callers.Encode(answer.answer));
  m_calls.erase(it);
}

void StepEntryDaemon::Perform(const SendRunMessage& send) {
  m_hub.SendTo(send.peer, send.incarnation, RunMessage{send.body});
}

void StepEntryDaemon::Perform(const RedialPeer& dial) {
  m_hub.RedialPeer(dial.peer, dial.incarnation);
}

void StepEntryDaemon::Perform(const NoteStateChange& change) {
  LogStateChange(change);
}

// ---- State
// ---------------------------------------------------------------------------------

bool StepEntryDaemon::Ready() const {
  return !m_draining && m_tables.Complete() && m_dispatcher.pool().AnyWorker();
}

void StepEntryDaemon::LogReadinessChange() {
  const bool ready = Ready();
  if (ready != m_ready_logged) {
    m_ready_logged = ready;
    LogStateChange({ready ? "ready" : "not ready",
                    {{"config", absl::StrCat(m_tables.config().version)},
                     {"members", absl::StrCat(m_tables.members().size())},
                     {"draining", m_draining ? "yes" : "no"}}});
  }
}

void StepEntryDaemon::BeginDrain() {
  if (m_draining) {
    return;
  }
  m_draining = true;
  m_drain_began = EventLoop::MonoNow();
  LogReadinessChange();
  m_callers->CloseAfterAnswers();
  m_loop.RunAfter(m_times.accept_until, [this] {
    m_refusing_jobs = true;
    m_callers->StopListening();
    StopWhenIdle();
  });
  m_loop.RunAfter(m_times.answer_until, [this] {
    PerformAll(m_dispatcher.AbandonAllJobs(EventLoop::ReadClocks()));
  });
}

bool StepEntryDaemon::NoAnswerPending() const {
  return m_dispatcher.open_jobs() == 0 && m_calls_awaiting_confirmation == 0 &&
         m_calls_awaiting_config.empty() && m_cancel_calls.empty() &&
         m_callers->Quiet();
}

// Every request on a connection that this host has accepted must be answered,
// so a drain is complete only after two consecutive checks without a pending
// answer. The HTTP server is then closed at once. What is cut off: a request
// that arrives on a connection left idle after its last answer, or on one that
// stayed unused for longer than `first_request_timeout`.
void StepEntryDaemon::StopWhenIdle() {
  const bool idle = NoAnswerPending();
  const bool out_of_time =
      EventLoop::MonoNow() - m_drain_began >= m_times.cut_off_at;
  if ((idle && m_was_idle) || out_of_time) {
    LogStateChange(
        {"drain complete",
         {{"cut_off", absl::StrCat(m_callers->open_requests())},
          {"unused", absl::StrCat(m_callers->unused_connections())}}});
    m_callers.reset();
    m_loop.Stop();
    return;
  }
  m_was_idle = idle;
  m_loop.RunAfter(kIdleCheckPeriod, [this] { StopWhenIdle(); });
}

}  // namespace egretswitch::internal
