#include "step_entry_daemon.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "duration_text.h"
#include "json_error.h"
#include "link_identity.h"
#include "link_log.h"
#include "logging.h"
#include "random_seed.h"

namespace egretswitch::internal {
namespace {

// That wait for the first configuration, or for a newer one.
constexpr size_t kMaxEarlyCalls = 256;

// How soon links are opened for work that has come.
constexpr absl::Duration kSelectLinksPeriod = absl::Milliseconds(50);

LinkHubOptions MakeEntryHubOptions(const StepCommonSettings& common,
                                   const Hello& self) {
  LinkHubOptions options = MakeHubOptions(common, self);
  options.dials_every_target = true;
  return options;
}

constexpr uint32_t kMaxCallerConnections = 3000;
constexpr size_t kMaxBodyBytes = 256u << 10;
constexpr size_t kMaxAllBodyBytes = 32u << 20;

constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kBadRequest = 400;
constexpr int kMethodNotAllowed = 405;
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
      m_link_selection(common.name, m_seed),
      m_wake(loop, [this] { Deliver(TimePassed{}); }),
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
  options.max_total_body_bytes = kMaxAllBodyBytes;
  options.idle_timeout = absl::Seconds(60);
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
  m_loop.RunAfter(m_times.config_patience, [this] { AnswerEarlyCalls(); });
  m_announcer.Start();
  m_tables.Start();
  SelectLinksAgainAndAgain();
  return absl::OkStatus();
}

// ---- Callers
// ----------------------------------------------------------------------

void StepEntryDaemon::Refuse(const Responder& responder,
                             RunCounter counter,
                             const std::string& job,
                             const std::string& reason) {
  m_counters.Add(counter);
  LogStateChange({"job refused",
                  {{"job", job},
                   {"verdict", "not_run"},
                   {"reason", reason},
                   {"config", absl::StrCat(m_tables.config().version)}}});
  JobAnswer answer;
  answer.reason = reason;
  answer.retry_after = absl::Seconds(1);
  responder.Answer(m_platform.callers.Encode(answer));
}

void StepEntryDaemon::AnswerEarlyCalls() {
  for (EarlyCall& call : std::exchange(m_early_calls, {})) {
    if (m_tables.Complete()) {
      OnCall(std::move(call.request), call.responder);
    } else {
      Refuse(call.responder, RunCounter::kJobsRefusedNoConfig,
             call.request.path, "no configuration yet");
    }
  }
}

void StepEntryDaemon::OnCall(HttpRequest request, const Responder& responder) {
  if (!m_tables.Complete()) {
    if (EventLoop::MonoNow() - m_started_at >= m_times.config_patience) {
      Refuse(responder, RunCounter::kJobsRefusedNoConfig, request.path,
             "no configuration yet");
    } else if (m_early_calls.size() < kMaxEarlyCalls) {
      m_early_calls.push_back({std::move(request), responder});
    } else {
      Refuse(responder, RunCounter::kJobsRefusedNoConfig, request.path,
             "no configuration yet, and too many calls wait for it");
    }
    return;
  }
  const CallerRequest call = m_platform.callers.Classify(request);
  const JobQueue* queue = m_tables.config().FindQueue(call.host, request.path);
  if (queue == nullptr) {
    OnUnknownQueue(std::move(request), responder);
    return;
  }
  Serve(request, call, *queue, responder);
}

// "No such queue" is said for good, so it must not be the word of an old
// configuration.
void StepEntryDaemon::OnUnknownQueue(HttpRequest request,
                                     const Responder& responder) {
  if (m_unknown_queues >= kMaxEarlyCalls) {
    Refuse(responder, RunCounter::kJobsRefusedUnconfirmed, request.path,
           "too many calls wait for the configuration to be confirmed");
    return;
  }
  ++m_unknown_queues;
  m_tables.ConfirmConfig(
      [this, request = std::move(request), responder](bool confirmed) {
        --m_unknown_queues;
        const CallerRequest call = m_platform.callers.Classify(request);
        const JobQueue* queue =
            m_tables.config().FindQueue(call.host, request.path);
        if (queue != nullptr) {
          Serve(request, call, *queue, responder);
        } else if (confirmed) {
          RefuseUnknownQueue(request, call, responder);
        } else {
          Refuse(responder, RunCounter::kJobsRefusedUnconfirmed, request.path,
                 "no such queue known, and the store does not confirm it");
        }
        StopWhenIdle();
      });
}

void StepEntryDaemon::RefuseUnknownQueue(const HttpRequest& request,
                                         const CallerRequest& call,
                                         const Responder& responder) {
  m_counters.Add(RunCounter::kJobsNoQueue);
  const absl::Duration unconfirmed =
      EventLoop::MonoNow() - m_tables.config_confirmed_at();
  LogStateChange({"no such queue",
                  {{"host", call.host},
                   {"path", request.path},
                   {"config", absl::StrCat(m_tables.config().version)},
                   {"newest_named", absl::StrCat(m_tables.NewestConfigNamed())},
                   {"unconfirmed_ms", MillisecondsText(unconfirmed)}}});
  responder.Answer(JsonError(kNotFound, "no such queue"));
}

void StepEntryDaemon::Serve(const HttpRequest& request,
                            const CallerRequest& call,
                            const JobQueue& queue,
                            const Responder& responder) {
  switch (call.verb) {
    case CallerVerb::kSubmit:
      OnSubmit(request, call, queue, responder);
      return;
    case CallerVerb::kShow:
      OnShow(request, queue, responder);
      return;
    case CallerVerb::kCancel:
      responder.Answer(JsonError(kGone, "no such job"));
      return;
    case CallerVerb::kOther:
      break;
  }
  responder.Answer(JsonError(kMethodNotAllowed, "allowed: POST, GET, DELETE"));
}

void StepEntryDaemon::OnSubmit(const HttpRequest& request,
                               const CallerRequest& call,
                               const JobQueue& queue,
                               const Responder& responder) {
  const std::string id = request.path.substr(queue.path_prefix.size());
  absl::StatusOr<StepJob> job = m_platform.callers.DecodeJob(id, request.body);
  if (!job.ok()) {
    m_counters.Add(RunCounter::kJobsInvalid);
    const std::string error(job.status().message());
    LogStateChange({"job refused", {{"job", id}, {"reason", error}}});
    responder.Answer(JsonError(kBadRequest, error));
    return;
  }
  if (!job->unsupported.empty()) {
    Refuse(responder, RunCounter::kJobsRefusedUnsupported, id,
           "not supported: " + job->unsupported);
    return;
  }
  if (m_refusing) {
    Refuse(responder, RunCounter::kJobsRefusedDraining, id, "shutting down");
    return;
  }
  const CallId number = ++m_last_call;
  responder.OnGone([this, number] {
    // From another thread.
    m_loop.Post([this, number] {
      if (m_calls.erase(number) > 0) {
        Deliver(CallerLeft{number});
      }
    });
  });
  m_calls.emplace(number, OpenCall{responder, EventLoop::MonoNow()});
  Deliver(JobArrived{.call = number,
                     .job = *std::move(job),
                     .queue = queue,
                     .patience = call.patience});
}

void StepEntryDaemon::OnShow(const HttpRequest& request,
                             const JobQueue& queue,
                             const Responder& responder) {
  if (request.path.size() > queue.path_prefix.size()) {
    responder.Answer(JsonError(kGone, "no such job"));
    return;
  }
  responder.Answer(m_platform.callers.EncodeWaitingCount(
      m_dispatcher.JobsNotBegun(queue.name)));
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
    Deliver(EvacuationsChanged{m_tables.evacuations()});
    OnTablesChanged();
  };
  events.members_changed = [this] {
    m_link_selection.SetMembers(m_tables.members());
    SelectLinks();
  };
  return events;
}

void StepEntryDaemon::SelectLinks() {
  m_hub.SetDialTargets(
      m_link_selection.Choose(m_dispatcher.pool(), EventLoop::MonoNow()));
}

void StepEntryDaemon::SelectLinksAgainAndAgain() {
  SelectLinks();
  m_loop.RunAfter(kSelectLinksPeriod, [this] { SelectLinksAgainAndAgain(); });
}

void StepEntryDaemon::OnTablesChanged() {
  if (m_tables.Complete()) {
    AnswerEarlyCalls();
  }
  NoteReadiness();
}

// ---- Links
// -----------------------------------------------------------------------------

LinkHubEvents StepEntryDaemon::MakeHubEvents() {
  LinkHubEvents events;
  events.link_up = [this](const Hello& peer) { OnLinkUp(peer); };
  events.link_down = [this](const std::string& name, uint64_t incarnation) {
    m_tables.EntryDown(name);
    LogStateChange({"link down", {{"peer", name}}});
    Deliver(PeerDown{name, incarnation});
    NoteReadiness();
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
  if (peer.role != ProcessRole::kEntry) {
    Deliver(PeerUp{peer.name, peer.incarnation, peer.data_centre});
    const MemberAddress* member = m_tables.members().Find(peer.name);
    if (member != nullptr && !member->worker.incarnation.empty()) {
      m_hub.SendTo(peer.name, peer.incarnation,
                   RunMessage{WorkerHint{member->worker}});
    }
    return;
  }
  const bool is_near = peer.data_centre == m_common.data_centre;
  m_tables.EntryUp(
      peer.name, is_near ? PeerPlace::kSameDataCentre : PeerPlace::kElsewhere);
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
  } else {
    Deliver(PeerSaid{name, incarnation, std::move(carried->body)});
    NoteReadiness();
  }
}

// ---- Actions
// -----------------------------------------------------------------------------

void StepEntryDaemon::Deliver(const JobDispatcherEvent& event) {
  PerformAll(m_dispatcher.Handle(event, EventLoop::ReadClocks()));
  m_wake.Arm(m_dispatcher.NextWake());
  FlushLog();
  StopWhenIdle();
}

void StepEntryDaemon::PerformAll(const JobDispatcherActions& actions) {
  for (const JobDispatcherAction& action : actions) {
    std::visit([this](const auto& wanted) { Perform(wanted); }, action);
  }
}

void StepEntryDaemon::Perform(const AnswerJob& answer) {
  const auto it = m_calls.find(answer.call);
  if (it == m_calls.end()) {
    return;  // the caller went away
  }
  const absl::Duration taken = EventLoop::MonoNow() - it->second.since;
  m_latency.Add(absl::ToDoubleMilliseconds(taken));
  it->second.responder.Answer(m_platform.callers.Encode(answer.answer));
  m_calls.erase(it);
}

void StepEntryDaemon::Perform(const SendRunMessage& send) {
  m_hub.SendTo(send.peer, send.incarnation, RunMessage{send.body});
}

void StepEntryDaemon::Perform(const NoteStateChange& change) {
  LogStateChange(change);
}

// ---- State
// ---------------------------------------------------------------------------------

bool StepEntryDaemon::Ready() const {
  return !m_draining && m_tables.Complete() && m_dispatcher.pool().AnyWorker();
}

void StepEntryDaemon::NoteReadiness() {
  const bool ready = Ready();
  if (ready != m_ready_told) {
    m_ready_told = ready;
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
  NoteReadiness();
  m_callers->CloseAfterAnswers();
  m_loop.RunAfter(m_times.serve, [this] {
    m_refusing = true;
    m_callers->StopListening();
    StopWhenIdle();
  });
  m_loop.RunAfter(m_times.finish, [this] {
    PerformAll(m_dispatcher.GiveUpAll(EventLoop::ReadClocks()));
    StopWhenIdle();
  });
}

void StepEntryDaemon::StopWhenIdle() {
  const bool idle = m_dispatcher.open_jobs() == 0 && m_unknown_queues == 0;
  if (m_refusing && idle) {
    // The last answers leave in this turn of the loop.
    m_loop.RunAfter(absl::Milliseconds(20), [this] { m_loop.Stop(); });
  }
}

}  // namespace egretswitch::internal
