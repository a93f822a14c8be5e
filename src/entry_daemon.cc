#include "entry_daemon.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "internal_assert.h"
#include "logging.h"
#include "metrics_text.h"

namespace egretswitch::internal {
namespace {

// How long a stopped entry waits for its last answers to leave.
constexpr absl::Duration kLastAnswers = absl::Seconds(2);

EntryOptions MakeOptions(const CommonSettings& common,
                         const EntrySettings& entry,
                         const Hello& self) {
  EntryOptions options;
  options.self = self;
  options.address = common.listen.Text();
  options.shard_count = entry.shards;
  options.random_seed = self.incarnation;
  return options;
}

EditVerdict VerdictOf(OperatorOutcome outcome) {
  switch (outcome) {
    case OperatorOutcome::kAccepted:
      return EditVerdict::kAccepted;
    case OperatorOutcome::kSuperseded:
      return EditVerdict::kSuperseded;
    case OperatorOutcome::kInvalid:
      return EditVerdict::kInvalid;
    case OperatorOutcome::kNotAppended:
      return EditVerdict::kNotAppended;
    case OperatorOutcome::kUnknown:
    case OperatorOutcome::kUnknownEntry:
      break;
  }
  return EditVerdict::kUnknown;
}

}  // namespace

EntryDaemon::EntryDaemon(EventLoop& loop,
                         const CommonSettings& common,
                         const EntrySettings& entry)
    : m_loop(loop),
      m_common(common),
      m_settings(entry),
      m_self(MakeHello(common, ProcessRole::kEntry)),
      m_node(MakeOptions(common, entry, m_self)),
      m_shell(loop, common, m_self, MakeHubEvents()),
      m_caller_api(this),
      m_operator_api(this, common.operator_api.token) {}

EntryDaemon::~EntryDaemon() = default;

LinkHubEvents EntryDaemon::MakeHubEvents() {
  LinkHubEvents events =
      MakeLinkEvents([this](const EntryEvent& event) { Deliver(event); });
  events.refused = [this](const std::string& name, MonoTime dialled_at) {
    Deliver(PeerRefusedConnection{name, dialled_at});
  };
  return events;
}

absl::Status EntryDaemon::Start() {
  HttpServerOptions caller_options;
  caller_options.address = m_settings.callers.listen.Text();
  caller_options.max_connections = m_settings.callers.max_connections;
  auto caller_server = HttpServer::Create(
      caller_options,
      [this](HttpRequest request, Responder responder) {
        m_caller_api.Handle(std::move(request), std::move(responder));
      },
      CallerApi::TurnAway);
  if (!caller_server.ok()) {
    return caller_server.status();
  }
  m_caller_server = *std::move(caller_server);

  HttpServerOptions operator_options;
  operator_options.address = m_common.operator_api.listen.Text();
  operator_options.threads = 1;
  auto operator_server = HttpServer::Create(
      operator_options,
      [this](HttpRequest request, Responder responder) {
        m_operator_api.Handle(std::move(request), std::move(responder));
      },
      OperatorApi::TurnAway);
  if (!operator_server.ok()) {
    return operator_server.status();
  }
  m_operator_server = *std::move(operator_server);

  return m_shell.Start([this] {
    Deliver(Tick{});
    UpdateServing();
  });
}

void EntryDaemon::Deliver(const EntryEvent& event) {
  const Actions actions = m_node.Handle(event, EventLoop::ReadClocks());
  for (const Action& action : actions) {
    std::visit([this](const auto& wanted) { Perform(wanted); }, action);
  }
}

void EntryDaemon::UpdateServing() {
  const EntryStatus status = m_node.Status(EventLoop::ReadClocks());
  m_serving = status.may_start_tasks && !status.draining;
}

void EntryDaemon::BeginDrain() {
  m_serving = false;
  Deliver(internal::BeginDrain{});
}

// ---- Actions ----------------------------------------------------------------

void EntryDaemon::Perform(const Send& send) {
  m_shell.Perform(send);
}

void EntryDaemon::Perform(const SetDialTargets& targets) {
  m_shell.Perform(targets);
}

void EntryDaemon::Perform(const NoteStateChange& change) {
  m_shell.Perform(change);
}

void EntryDaemon::Perform(const ReadLog& read) {
  const MonoTime asked_at = read.asked_at;
  m_shell.log().Read(
      read.from, read.wait, [this, asked_at](absl::StatusOr<LogPage> page) {
        if (!page.ok()) {
          Deliver(LogReadFailed{asked_at});
          return;
        }
        Deliver(LogReadDone{asked_at, page->first_kept, page->head,
                            std::move(page->entries)});
      });
}

void EntryDaemon::Perform(const AppendLog& append) {
  m_shell.Append(append, [this](const AppendEvent& result) {
    std::visit([this](const auto& event) { Deliver(event); }, result);
  });
}

void EntryDaemon::Perform(const AnswerCaller& answer) {
  const auto it = m_calls.find(answer.token);
  if (it == m_calls.end()) {
    return;  // the caller went away
  }
  const OpenCall call = std::move(it->second);
  m_calls.erase(it);
  if (std::holds_alternative<JobAnswer>(answer.outcome)) {
    m_answer_ms.Add(
        absl::ToDoubleMilliseconds(EventLoop::MonoNow() - call.since));
  }
  call.done(answer.outcome);
}

void EntryDaemon::Perform(const AnswerOperator& answer) {
  const auto it = m_operator_calls.find(answer.token);
  if (it == m_operator_calls.end()) {
    return;
  }
  const OperatorDone done = std::move(it->second);
  m_operator_calls.erase(it);
  done(answer);
}

void EntryDaemon::Perform(const Stop&) {
  m_loop.AtTurnEnd([this] { Finish(); });
}

void EntryDaemon::Perform(const StartOnWorker& start) {
  FailInternalAssert("an entry asked to start a task on a worker", start.lease);
}

void EntryDaemon::Perform(const StopOnWorker& stop) {
  FailInternalAssert("an entry asked to stop a task on a worker", stop.lease);
}

// Callers have their answers from the node; what is left is to let the HTTP
// threads write them out.
void EntryDaemon::Finish() {
  m_caller_server->StopListening();
  m_operator_server->StopListening();
  m_caller_server->WaitUntilIdle(kLastAnswers);
  m_shell.Close();
  m_loop.Stop();
}

// ---- Callers ----------------------------------------------------------------

bool EntryDaemon::Serving() const {
  return m_serving;
}

CallerToken EntryDaemon::OpenCallerCall(
    Done done,
    std::function<EntryEvent(CallerToken)> make_event) {
  const CallerToken token = m_next_caller_token++;
  m_loop.Post([this, token, done = std::move(done),
               make_event = std::move(make_event)]() mutable {
    m_calls[token] = OpenCall{std::move(done), EventLoop::MonoNow()};
    Deliver(make_event(token));
  });
  return token;
}

CallerToken EntryDaemon::Submit(Submission submission, Done done) {
  return OpenCallerCall(std::move(done), [submission = std::move(submission)](
                                             CallerToken token) mutable {
    return EntryEvent(CallerSubmitted{token, std::move(submission)});
  });
}

CallerToken EntryDaemon::Cancel(SubmissionKey key, Done done) {
  return OpenCallerCall(std::move(done),
                        [key = std::move(key)](CallerToken token) {
                          return EntryEvent(CallerCancelled{token, key});
                        });
}

void EntryDaemon::Gone(CallerToken token) {
  m_loop.Post([this, token] {
    if (m_calls.erase(token) > 0) {
      Deliver(CallerGone{token});
    }
  });
}

// ---- Operators --------------------------------------------------------------

void EntryDaemon::Status(std::function<void(std::string json)> done) {
  m_loop.Post([this, done = std::move(done)] { done(StatusJson()); });
}

void EntryDaemon::Metrics(std::function<void(std::string text)> done) {
  m_loop.Post([this, done = std::move(done)] { done(MetricsPage()); });
}

void EntryDaemon::Table(std::function<void(TableView)> done) {
  m_loop.Post([this, done = std::move(done)] { done(MakeTableView()); });
}

void EntryDaemon::AskNode(OperatorDone done,
                          std::function<EntryEvent(OperatorToken)> make_event) {
  m_loop.Post([this, done = std::move(done),
               make_event = std::move(make_event)]() mutable {
    const OperatorToken token = m_next_operator_token++;
    m_operator_calls[token] = std::move(done);
    Deliver(make_event(token));
  });
}

void EntryDaemon::EditRow(RowEdited edit,
                          std::function<void(EditOutcome)> done) {
  const std::string kind = edit.row.kind;
  AskNode(
      [this, kind, done = std::move(done)](const AnswerOperator& answer) {
        done(MakeEditOutcome(answer, kind));
      },
      [this, edit = std::move(edit)](OperatorToken token) mutable {
        if (edit.edit_id.empty()) {
          edit.edit_id =
              absl::StrCat(m_self.name, "/", m_self.incarnation, "/", token);
        }
        return EntryEvent(OperatorEdited{token, std::move(edit)});
      });
}

void EntryDaemon::EntryEnded(std::string name,
                             std::function<void(absl::Status)> done) {
  AskNode(
      [name, done = std::move(done)](const AnswerOperator& answer) {
        switch (answer.outcome) {
          case OperatorOutcome::kAccepted:
          case OperatorOutcome::kSuperseded:
            done(absl::OkStatus());
            return;
          case OperatorOutcome::kUnknownEntry:
            done(absl::NotFoundError(absl::StrCat("no entry named ", name)));
            return;
          case OperatorOutcome::kInvalid:
            done(absl::FailedPreconditionError(answer.detail));
            return;
          case OperatorOutcome::kNotAppended:
          case OperatorOutcome::kUnknown:
            done(absl::UnavailableError(answer.detail));
            return;
        }
      },
      [name](OperatorToken token) {
        return EntryEvent(OperatorDeclaredEnded{token, name});
      });
}

void EntryDaemon::Drain(std::function<void()> done) {
  m_loop.Post([this, done = std::move(done)] {
    BeginDrain();
    done();
  });
}

EditOutcome EntryDaemon::MakeEditOutcome(const AnswerOperator& answer,
                                         const std::string& kind) const {
  EditOutcome outcome;
  outcome.verdict = VerdictOf(answer.outcome);
  outcome.detail = answer.detail;
  outcome.table_version = m_node.control().table_version();
  const auto& rows = m_node.control().rows();
  if (const auto it = rows.find(kind); it != rows.end()) {
    outcome.row = it->second;
  }
  return outcome;
}

TableView EntryDaemon::MakeTableView() const {
  TableView view;
  view.table_version = m_node.control().table_version();
  for (const auto& [kind, row] : m_node.control().rows()) {
    view.rows.push_back(row);
  }
  return view;
}

std::string EntryDaemon::StatusJson() const {
  const EntryStatus status = m_node.Status(EventLoop::ReadClocks());
  nlohmann::json json = {
      {"name", m_self.name},
      {"role", "entry"},
      {"incarnation", m_self.incarnation},
      {"data_centre", m_self.data_centre},
      {"region", m_self.region},
      {"fold_offset", status.fold_offset},
      {"table_version", status.table_version},
      {"log_age_ms", status.log_age_ms},
      {"may_start_tasks", status.may_start_tasks},
      {"draining", status.draining},
      {"shards_owned", status.shards_owned},
      {"shards_serving", status.shards_serving},
      {"jobs_open", status.jobs_open},
      {"tasks_waiting", status.tasks_waiting},
      {"tasks_running", status.tasks_running},
      {"workers_linked", status.workers_linked},
      {"slots_free", status.slots_free},
      {"entries", nlohmann::json::array()},
      {"slots", nlohmann::json::array()},
  };
  for (const auto& [name, entry] : m_node.control().entries()) {
    json["entries"].push_back({{"name", name},
                               {"address", entry.joined.address},
                               {"incarnation", entry.joined.incarnation},
                               {"data_centre", entry.joined.data_centre}});
  }
  for (const auto& [name, slot] : m_node.control().slots()) {
    json["slots"].push_back({{"name", name},
                             {"address", slot.address},
                             {"data_centre", slot.data_centre}});
  }
  return json.dump();
}

std::string EntryDaemon::MetricsPage() const {
  MetricsText text;
  text.AddCounters(m_node.counters());
  text.AddEntryStatus(m_node.Status(EventLoop::ReadClocks()));
  text.AddCounter("requests_turned_away",
                  "Requests of callers that the HTTP server refused itself.",
                  m_caller_server->turned_away_requests());
  text.AddCounter("requests_invalid",
                  "Requests of callers whose content was refused.",
                  m_caller_api.invalid_requests());
  text.AddHistogram("job_answer",
                    "Time from a caller's request to its whole answer.",
                    m_answer_ms);
  return text.Take();
}

}  // namespace egretswitch::internal
