// The shell around an AgentNode: links to entries on one side, the worker's
// HTTP interface on the other.
//
//   StartTasks -> node -> StartOnWorker -> POST to the worker
//   the worker's report -> WorkerTaskEnded -> node -> TaskReports
#ifndef EGRETSWITCH_SRC_AGENT_DAEMON_H_
#define EGRETSWITCH_SRC_AGENT_DAEMON_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "agent_node.h"
#include "event_loop.h"
#include "http_server.h"
#include "node_shell.h"
#include "operator_api.h"
#include "settings.h"
#include "worker_client.h"

namespace egretswitch::internal {

class AgentDaemon : public OperatorGateway {
 public:
  AgentDaemon(EventLoop& loop,
              const CommonSettings& common,
              const AgentSettings& agent);
  ~AgentDaemon() override;

  // Opens every port of the settings. The error names the address.
  absl::Status Start();

  // Begins a graceful shutdown; the loop stops when it is complete.
  void BeginDrain();

  // OperatorGateway, from the HTTP threads. An agent has no table and knows no
  // members: such calls are answered as unknown.
  bool Serving() const override;
  void Status(std::function<void(std::string json)> done) override;
  void Metrics(std::function<void(std::string text)> done) override;
  void Table(std::function<void(TableView)> done) override;
  void EditRow(RowEdited edit, std::function<void(EditOutcome)> done) override;
  void Drain(std::function<void()> done) override;
  void EntryEnded(std::string name,
                  std::function<void(absl::Status)> done) override;

 private:
  LinkHubEvents MakeHubEvents();
  void Deliver(const AgentEvent& event);
  void TakeWorker();
  std::string StatusJson() const;
  std::string MetricsPage() const;
  void Finish();

  // One for each action an agent may ask for.
  void Perform(const Send& send);
  void Perform(const SetDialTargets& targets);
  void Perform(const AppendLog& append);
  void Perform(const StartOnWorker& start);
  void Perform(const StopOnWorker& stop);
  void Perform(const NoteStateChange& change);
  void Perform(const Stop& stop);
  void Perform(const ReadLog& read);
  void Perform(const AnswerCaller& answer);
  void Perform(const AnswerOperator& answer);

  EventLoop& m_loop;
  const CommonSettings m_common;
  const AgentSettings m_settings;
  const Hello m_self;
  AgentNode m_node;
  NodeShell m_shell;
  WorkerClient m_worker;
  OperatorApi m_operator_api;
  std::unique_ptr<HttpServer> m_operator_server;
  std::atomic<bool> m_serving = false;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_AGENT_DAEMON_H_
