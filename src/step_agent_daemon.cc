#include "step_agent_daemon.h"

#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "json_error.h"
#include "link_identity.h"
#include "link_log.h"
#include "logging.h"
#include "metrics_text.h"
#include "random_seed.h"

namespace egretswitch::internal {
namespace {

// The platform grants 6 s for the shutdown after SIGTERM.
constexpr absl::Duration kMaxDrain = absl::Milliseconds(5600);
constexpr uint32_t kMaxConnections = 64;
constexpr size_t kMaxBodyBytes = 4u << 20;

// An agent dials only entries that are gone, most of them for a second or two.
// A dial to a host without power gets no answer; the next one must find the
// host soon after its return.
constexpr absl::Duration kEntryDialTimeout = absl::Milliseconds(300);

LinkHubOptions MakeAgentHubOptions(const StepCommonSettings& common,
                                   const Hello& self) {
  LinkHubOptions options = MakeHubOptions(common, self);
  options.limits.connect_timeout = kEntryDialTimeout;
  options.limits.longest_redial_pause = kEntryDialTimeout;
  return options;
}

constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;

}  // namespace

StepAgentDaemon::StepAgentDaemon(EventLoop& loop,
                                 const StepCommonSettings& common,
                                 const StepAgentSettings& agent,
                                 AgentPlatform platform)
    : m_loop(loop),
      m_common(common),
      m_settings(agent),
      m_platform(std::move(platform)),
      m_self(MakeHello(common, ProcessRole::kAgent)),
      m_hub(loop, MakeAgentHubOptions(common, m_self), MakeHubEvents()),
      m_run_manager(common.data_centre, agent.max_worker_lease),
      m_cancel_exchange(ProcessRole::kAgent, m_cancelled_jobs, RandomSeed()),
      m_table_keeper(
          common.keep_tables_at_agents
              ? std::make_unique<TableKeeper>(loop, MakeTableKeeperEvents())
              : nullptr),
      m_wake(loop, [this] { Deliver(TimePassed{}); }),
      m_announcer(TimersOf(loop),
                  m_platform.store,
                  {.name = common.name,
                   .address = common.listen.Text(),
                   .entry = false},
                  RandomSeed()) {}

StepAgentDaemon::~StepAgentDaemon() = default;

absl::StatusOr<std::unique_ptr<HttpServer>> StepAgentDaemon::Serve(
    const IpPort& address,
    HttpServer::Handler handler) {
  HttpServerOptions options;
  options.address = address.Text();
  options.loop = &m_loop;
  options.max_connections = kMaxConnections;
  options.max_body_bytes = kMaxBodyBytes;
  options.max_total_body_bytes = 4 * kMaxBodyBytes;
  options.idle_timeout = absl::Seconds(60);
  return HttpServer::Create(std::move(options), std::move(handler), JsonError);
}

absl::Status StepAgentDaemon::Start() {
  auto worker_server =
      Serve(m_settings.announcements_listen,
            [this](const HttpRequest& request, Responder responder) {
              HandleWorkerRequest(request, responder);
            });
  auto metrics_server =
      Serve(m_common.metrics_listen,
            [this](const HttpRequest&, const Responder& responder) {
              responder.Answer({.body = Metrics(),
                                .content_type = "text/plain; version=0.0.4"});
            });
  absl::Status status = worker_server.status();
  status.Update(metrics_server.status());
  status.Update(m_hub.Listen());
  if (!status.ok()) {
    return status;
  }
  m_worker_server = *std::move(worker_server);
  m_metrics_server = *std::move(metrics_server);
  m_announcer.Start();
  return absl::OkStatus();
}

void StepAgentDaemon::HandleWorkerRequest(const HttpRequest& request,
                                          const Responder& responder) {
  const std::optional<WorkerUpdates> update =
      m_platform.decode_updates(request);
  if (!update.has_value()) {
    responder.Answer(JsonError(kNotFound, "no such call"));
    return;
  }
  if (update->withdrawn) {
    Deliver(WorkerWithdrew{update->worker_id});
    responder.Answer({.body = "{}"});
    return;
  }
  if (!update->announcement.ok()) {
    const std::string reason(update->announcement.status().message());
    m_counters.Add(RunCounter::kReportsUnreadable);
    LogStateChange(LogLevel::kError,
                   {"worker's report unreadable",
                    {{"worker", update->worker_id}, {"reason", reason}},
                    true});
    responder.Answer(JsonError(kBadRequest, reason));
    return;
  }
  Deliver(WorkerAnnounced{*update->announcement});
  responder.Answer({.body = "{}"});
}

LinkHubEvents StepAgentDaemon::MakeHubEvents() {
  LinkHubEvents events;
  events.link_up = [this](const Hello& peer) { OnLinkUp(peer); };
  events.link_down = [this](const std::string& name, uint64_t incarnation) {
    LogStateChange({"link down", {{"peer", name}}});
    if (m_table_keeper != nullptr) {
      m_table_keeper->OnEntryDisconnected(name);
    }
    DeliverToExchange(PeerDisconnected{name, incarnation});
    Deliver(PeerDisconnected{name, incarnation});
  };
  events.refused = [](const std::string&, MonoTime) {};
  events.message = [this](const std::string& name, uint64_t incarnation,
                          Message message) {
    if (auto* carried = std::get_if<RunMessage>(&message)) {
      OnMessage(name, incarnation, std::move(carried->body));
    }
  };
  events.link_ended = LogLinkEnded;
  return events;
}

TableKeeperEvents StepAgentDaemon::MakeTableKeeperEvents() {
  TableKeeperEvents events;
  events.send = [this](const std::string& entry, const TableMessage& body) {
    m_hub.Send(entry, RunMessage{body});
  };
  events.dial = [this](const std::vector<PeerAddress>& entries) {
    m_hub.SetDialTargets(entries);
  };
  return events;
}

void StepAgentDaemon::OnLinkUp(const Hello& peer) {
  LogStateChange(
      {"link up",
       {{"peer", peer.name}, {"incarnation", absl::StrCat(peer.incarnation)}}});
  DeliverToExchange(
      CancelMemoryPeerUp{peer.name, peer.incarnation, peer.role,
                         UnderstandsCancelledJobs(peer.run_message_kinds)});
  Deliver(PeerConnected{peer.name, peer.incarnation});
  if (m_table_keeper != nullptr && peer.role == ProcessRole::kEntry) {
    m_table_keeper->OnEntryConnected(peer.name,
                                     peer.data_centre == m_common.data_centre
                                         ? PeerProximity::kSameDataCentre
                                         : PeerProximity::kOtherDataCentre);
  }
}

// The tables' messages include the evacuations, which entries send to all
// agents, also to those that keep no copies.
void StepAgentDaemon::OnMessage(const std::string& name,
                                uint64_t incarnation,
                                RunMessageBody body) {
  if (std::holds_alternative<CancelledJobsRequest>(body) ||
      std::holds_alternative<CancelledJobsPart>(body)) {
    DeliverToExchange(PeerMessageReceived{name, incarnation, std::move(body)});
    return;
  }
  if (m_table_keeper != nullptr) {
    if (const auto* tables = std::get_if<TableMessage>(&body)) {
      m_table_keeper->OnMessage(name, *tables);
      return;
    }
    if (const auto* evacuations = std::get_if<Evacuations>(&body)) {
      m_table_keeper->OnMessage(name, *evacuations);
    }
  }
  Deliver(PeerMessageReceived{name, incarnation, std::move(body)});
}

std::string StepAgentDaemon::Metrics() const {
  MetricsText text;
  text.AddGauge("runs", "Runs on the worker beside this agent.",
                static_cast<double>(m_run_manager.runs()));
  text.AddGauge("worker_known", "Whether the worker has been met.",
                m_run_manager.worker().identified() ? 1 : 0);
  text.AddGauge("evacuated", "Whether the worker's data centre is evacuated.",
                m_run_manager.Evacuated() ? 1 : 0);
  text.AddGauge("cancelled_jobs_known",
                "Cancelled jobs that this agent keeps for entries.",
                static_cast<double>(m_cancelled_jobs.size()));
  if (m_table_keeper != nullptr) {
    m_table_keeper->AddMetrics(text);
  }
  for (size_t i = 0; i < static_cast<size_t>(RunCounter::kCount); ++i) {
    const auto counter = static_cast<RunCounter>(i);
    const uint64_t kept =
        m_table_keeper == nullptr ? 0 : m_table_keeper->counters().Get(counter);
    text.AddCounter(RunCounterName(counter), "Events of this process.",
                    m_run_manager.counters().Get(counter) +
                        m_counters.Get(counter) +
                        m_cancel_exchange.counters().Get(counter) + kept);
  }
  return text.Take();
}

void StepAgentDaemon::BeginDrain() {
  Deliver(DrainBegan{});
  m_loop.RunAfter(kMaxDrain, [this] { m_loop.Stop(); });
}

void StepAgentDaemon::Deliver(const RunManagerEvent& event) {
  const RunManagerActions actions =
      m_run_manager.Handle(event, EventLoop::ReadClocks());
  for (const RunManagerAction& action : actions) {
    std::visit([this](const auto& requested) { Perform(requested); }, action);
  }
  m_wake.Arm(m_run_manager.NextWake());
  RecordWorker();
  FlushLog();
  if (m_run_manager.Finished()) {
    // The last reports are sent in this turn of the loop.
    m_loop.RunAfter(absl::Milliseconds(20), [this] { m_loop.Stop(); });
  }
}

// This process's record in the store names the worker to its successor. It is
// updated when another worker is adopted, when the worker begins to leave, and
// when its capacity changes.
void StepAgentDaemon::RecordWorker() {
  if (!m_run_manager.worker().identified()) {
    return;
  }
  const WorkerAnnouncement& worker = m_run_manager.worker().present();
  if (worker.incarnation != m_recorded.incarnation ||
      worker.leaving != m_recorded.leaving ||
      worker.capacity != m_recorded.capacity) {
    m_recorded = worker;
    m_announcer.Update(worker);
  }
}

void StepAgentDaemon::DeliverToExchange(const CancelExchangeEvent& event) {
  for (const CancelExchangeAction& action :
       m_cancel_exchange.Handle(event, EventLoop::MonoNow())) {
    std::visit([this](const auto& requested) { Perform(requested); }, action);
  }
  FlushLog();
}

void StepAgentDaemon::Perform(const MergeCancelledJobs& merge) {
  const MonoTime now = EventLoop::MonoNow();
  for (const CancelledJob& job : merge.jobs) {
    m_cancelled_jobs.Merge(job, now);
  }
}

// Only entries decide which jobs start.
void StepAgentDaemon::Perform(const CancelMemoryComplete&) {}

void StepAgentDaemon::Perform(const SendRunMessage& send) {
  m_hub.SendTo(send.peer, send.incarnation, RunMessage{send.body});
}

void StepAgentDaemon::Perform(const StartCall& call) {
  m_platform.worker.Start(call, [this, call](const CallAnswer& answer) {
    Deliver(StartAnswered{call, answer});
  });
}

void StepAgentDaemon::Perform(const StopCall& call) {
  m_platform.worker.Stop(call, [this, call](const CallAnswer& answer) {
    Deliver(StopAnswered{call, answer});
  });
}

void StepAgentDaemon::Perform(const PollCall& call) {
  const MonoTime requested_at = EventLoop::MonoNow();
  m_platform.worker.Poll(call,
                         [this, call, requested_at](const PollAnswer& answer) {
                           Deliver(PollAnswered{call, requested_at, answer});
                         });
}

void StepAgentDaemon::Perform(const NoteStateChange& change) {
  LogStateChange(change);
}

}  // namespace egretswitch::internal
