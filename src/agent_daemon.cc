#include "agent_daemon.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "internal_assert.h"
#include "logging.h"
#include "metrics_text.h"

namespace egretswitch::internal {
namespace {

Hello MakeAgentHello(const CommonSettings& common, const AgentSettings& agent) {
  Hello hello = MakeHello(common, ProcessRole::kAgent);
  hello.slots = agent.worker.slots;
  hello.capacity = agent.worker.capacity;
  hello.memory_since_ms = EventLoop::WallNowMs();
  return hello;
}

AgentOptions MakeOptions(const CommonSettings& common, const Hello& self) {
  AgentOptions options;
  options.self = self;
  options.address = common.listen.Text();
  return options;
}

WorkerClientOptions MakeWorkerOptions(const AgentSettings& agent,
                                      const Hello& self) {
  constexpr std::string_view kScheme = "http://";
  WorkerClientOptions options;
  options.address = agent.worker.url.substr(kScheme.size());
  options.holder = absl::StrCat(self.name, "/", self.incarnation);
  return options;
}

}  // namespace

AgentDaemon::AgentDaemon(EventLoop& loop,
                         const CommonSettings& common,
                         const AgentSettings& agent)
    : m_loop(loop),
      m_common(common),
      m_settings(agent),
      m_self(MakeAgentHello(common, agent)),
      m_node(MakeOptions(common, m_self)),
      m_shell(loop, common, m_self, MakeHubEvents()),
      m_worker(loop,
               MakeWorkerOptions(agent, m_self),
               [this](const AgentEvent& event) { Deliver(event); }),
      m_operator_api(this, common.operator_api.token) {}

AgentDaemon::~AgentDaemon() = default;

// An agent dials nobody, so it hears of no refusals.
LinkHubEvents AgentDaemon::MakeHubEvents() {
  LinkHubEvents events =
      MakeLinkEvents([this](const AgentEvent& event) { Deliver(event); });
  events.refused = [](const std::string&, MonoTime) {};
  return events;
}

absl::Status AgentDaemon::Start() {
  HttpServerOptions options;
  options.address = m_common.operator_api.listen.Text();
  options.threads = 1;
  options.max_connections = 16;
  auto server = HttpServer::Create(
      options,
      [this](HttpRequest request, Responder responder) {
        m_operator_api.Handle(std::move(request), std::move(responder));
      },
      OperatorApi::TurnAway);
  if (!server.ok()) {
    return server.status();
  }
  m_operator_server = *std::move(server);
  const absl::Status status = m_shell.Start([this] {
    Deliver(Tick{});
    const AgentReport report = m_node.Report();
    m_serving = report.ready && !report.leaving;
  });
  if (!status.ok()) {
    return status;
  }
  m_worker.Connect();
  return absl::OkStatus();
}

void AgentDaemon::Deliver(const AgentEvent& event) {
  const Actions actions = m_node.Handle(event, EventLoop::ReadClocks());
  for (const Action& action : actions) {
    std::visit([this](const auto& wanted) { Perform(wanted); }, action);
  }
}

void AgentDaemon::BeginDrain() {
  m_serving = false;
  Deliver(internal::BeginDrain{});
}

// ---- Actions ----------------------------------------------------------------

void AgentDaemon::Perform(const Send& send) {
  m_shell.Perform(send);
}

void AgentDaemon::Perform(const SetDialTargets& targets) {
  m_shell.Perform(targets);
}

void AgentDaemon::Perform(const NoteStateChange& change) {
  m_shell.Perform(change);
}

void AgentDaemon::Perform(const AppendLog& append) {
  m_shell.Append(append, [this](const AppendEvent& result) {
    std::visit([this](const auto& event) { Deliver(event); }, result);
  });
}

void AgentDaemon::Perform(const StartOnWorker& start) {
  m_worker.StartBatch({start});
}

void AgentDaemon::Perform(const StopOnWorker& stop) {
  m_worker.Stop(stop.lease);
}

void AgentDaemon::Perform(const Stop&) {
  m_loop.AtTurnEnd([this] { Finish(); });
}

void AgentDaemon::Perform(const ReadLog&) {
  FailInternalAssert("an agent asked to read the log", m_self.name);
}

void AgentDaemon::Perform(const AnswerCaller&) {
  FailInternalAssert("an agent answered a caller", m_self.name);
}

void AgentDaemon::Perform(const AnswerOperator&) {
  FailInternalAssert("an agent answered an operator's edit", m_self.name);
}

void AgentDaemon::Finish() {
  m_operator_server->StopListening();
  m_shell.Close();
  m_loop.Stop();
}

// ---- Operators --------------------------------------------------------------

bool AgentDaemon::Serving() const {
  return m_serving;
}

void AgentDaemon::Status(std::function<void(std::string json)> done) {
  m_loop.Post([this, done = std::move(done)] { done(StatusJson()); });
}

void AgentDaemon::Metrics(std::function<void(std::string text)> done) {
  m_loop.Post([this, done = std::move(done)] { done(MetricsPage()); });
}

void AgentDaemon::Table(std::function<void(TableView)> done) {
  done(TableView{});
}

void AgentDaemon::EditRow(RowEdited, std::function<void(EditOutcome)> done) {
  EditOutcome outcome;
  outcome.verdict = EditVerdict::kInvalid;
  outcome.detail = "this process is an agent: send edits to an entry";
  done(outcome);
}

void AgentDaemon::Drain(std::function<void()> done) {
  m_loop.Post([this, done = std::move(done)] {
    BeginDrain();
    done();
  });
}

void AgentDaemon::EntryEnded(std::string,
                             std::function<void(absl::Status)> done) {
  done(absl::UnavailableError("this process is an agent: ask an entry"));
}

std::string AgentDaemon::StatusJson() const {
  const AgentReport report = m_node.Report();
  const nlohmann::json json = {
      {"name", m_self.name},
      {"role", "agent"},
      {"incarnation", m_self.incarnation},
      {"data_centre", m_self.data_centre},
      {"region", m_self.region},
      {"slots", report.slots},
      {"running", report.running},
      {"ledger_entries", report.ledger_entries},
      {"entries_linked", report.entries_linked},
      {"leaving", report.leaving},
      {"ready", report.ready},
      {"worker_connected", m_worker.connected()},
  };
  return json.dump();
}

std::string AgentDaemon::MetricsPage() const {
  MetricsText text;
  text.AddCounters(m_node.counters());
  text.AddAgentReport(m_node.Report());
  return text.Take();
}

}  // namespace egretswitch::internal
