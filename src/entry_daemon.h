// The shell around an EntryNode: sockets, HTTP and the log service on one side,
// events and actions on the other.
//
//   POST /v1/jobs -> CallerSubmitted -> node -> AnswerCaller -> 200
//
// The node lives on the event loop's thread; the HTTP threads only post to it.
#ifndef EGRETSWITCH_SRC_ENTRY_DAEMON_H_
#define EGRETSWITCH_SRC_ENTRY_DAEMON_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "caller_api.h"
#include "entry_node.h"
#include "event_loop.h"
#include "http_server.h"
#include "latency_histogram.h"
#include "node_shell.h"
#include "operator_api.h"
#include "settings.h"

namespace egretswitch::internal {

class EntryDaemon : public JobGateway, public OperatorGateway {
 public:
  EntryDaemon(EventLoop& loop,
              const CommonSettings& common,
              const EntrySettings& entry);
  ~EntryDaemon() override;

  // Opens every port of the settings. The error names the address.
  absl::Status Start();

  // Begins a graceful shutdown; the loop stops when it is complete.
  void BeginDrain();

  // JobGateway, from the HTTP threads.
  bool Serving() const override;
  CallerToken Submit(Submission submission, Done done) override;
  CallerToken Cancel(SubmissionKey key, Done done) override;
  void Gone(CallerToken token) override;

  // OperatorGateway, from the HTTP threads.
  void Status(std::function<void(std::string json)> done) override;
  void Metrics(std::function<void(std::string text)> done) override;
  void Table(std::function<void(TableView)> done) override;
  void EditRow(RowEdited edit, std::function<void(EditOutcome)> done) override;
  void Drain(std::function<void()> done) override;
  void EntryEnded(std::string name,
                  std::function<void(absl::Status)> done) override;

 private:
  struct OpenCall {
    Done done;
    MonoTime since = absl::ZeroDuration();
  };
  using OperatorDone = std::function<void(const AnswerOperator&)>;

  LinkHubEvents MakeHubEvents();
  void Deliver(const EntryEvent& event);
  void UpdateServing();
  std::string StatusJson() const;
  std::string MetricsPage() const;
  TableView MakeTableView() const;
  EditOutcome MakeEditOutcome(const AnswerOperator& answer,
                              const std::string& kind) const;
  void AskNode(OperatorDone done,
               std::function<EntryEvent(OperatorToken)> make_event);
  CallerToken OpenCallerCall(Done done,
                             std::function<EntryEvent(CallerToken)> make_event);
  void Finish();

  // One for each action an entry may ask for.
  void Perform(const Send& send);
  void Perform(const SetDialTargets& targets);
  void Perform(const ReadLog& read);
  void Perform(const AppendLog& append);
  void Perform(const AnswerCaller& answer);
  void Perform(const AnswerOperator& answer);
  void Perform(const NoteStateChange& change);
  void Perform(const Stop& stop);
  void Perform(const StartOnWorker& start);
  void Perform(const StopOnWorker& stop);

  EventLoop& m_loop;
  const CommonSettings m_common;
  const EntrySettings m_settings;
  const Hello m_self;
  EntryNode m_node;
  NodeShell m_shell;
  CallerApi m_caller_api;
  OperatorApi m_operator_api;
  std::unique_ptr<HttpServer> m_caller_server;
  std::unique_ptr<HttpServer> m_operator_server;

  std::atomic<CallerToken> m_next_caller_token = 1;
  std::atomic<bool> m_serving = false;
  // On the loop's thread only:
  absl::flat_hash_map<CallerToken, OpenCall> m_calls;
  std::map<OperatorToken, OperatorDone> m_operator_calls;
  OperatorToken m_next_operator_token = 1;
  LatencyHistogram m_answer_ms;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_ENTRY_DAEMON_H_
