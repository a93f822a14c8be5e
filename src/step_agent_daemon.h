// The agent process: does the I/O for a RunManager, which are the links to
// entries, the calls to the worker beside this process and the store.
// Everything runs on the event loop's thread.
//
//   link: StartRuns -> PeerMessageReceived -> RunManager -> StartCall -> worker
#ifndef EGRETSWITCH_SRC_STEP_AGENT_DAEMON_H_
#define EGRETSWITCH_SRC_STEP_AGENT_DAEMON_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "cancel_exchange.h"
#include "cancelled_jobs.h"
#include "event_loop.h"
#include "http_server.h"
#include "keyed_store.h"
#include "link_hub.h"
#include "member_announcer.h"
#include "run_manager.h"
#include "step_settings.h"
#include "table_keeper.h"
#include "wake_timer.h"
#include "worker_calls.h"

namespace egretswitch::internal {

// A worker's announcement of itself, or its message that it ends.
struct WorkerUpdates {
  std::string worker_id;
  bool withdrawn = false;
  absl::StatusOr<WorkerAnnouncement> announcement;
};

// The platform's interfaces that an agent uses; all must outlive the daemon.
struct AgentPlatform {
  WorkerCalls& worker;
  KeyedStore& store;
  // Returns nullopt for a request that is not a worker's update.
  std::function<std::optional<WorkerUpdates>(const HttpRequest&)>
      decode_updates;
};

class StepAgentDaemon {
 public:
  StepAgentDaemon(EventLoop& loop,
                  const StepCommonSettings& common,
                  const StepAgentSettings& agent,
                  AgentPlatform platform);
  ~StepAgentDaemon();

  // Opens every port in the settings. An error names the address.
  absl::Status Start();

  // Begins a graceful shutdown; the loop stops once it is complete.
  void BeginDrain();

 private:
  absl::StatusOr<std::unique_ptr<HttpServer>> Serve(
      const IpPort& address,
      HttpServer::Handler handler);
  LinkHubEvents MakeHubEvents();
  TableKeeperEvents MakeTableKeeperEvents();
  void OnLinkUp(const Hello& peer);
  void OnMessage(const std::string& name,
                 uint64_t incarnation,
                 RunMessageBody body);
  void HandleWorkerRequest(const HttpRequest& request,
                           const Responder& responder);
  std::string Metrics() const;

  void RecordWorker();
  void Deliver(const RunManagerEvent& event);
  void DeliverToExchange(const CancelExchangeEvent& event);
  void Perform(const MergeCancelledJobs& merge);
  void Perform(const CancelMemoryComplete& complete);
  void Perform(const SendRunMessage& send);
  void Perform(const StartCall& call);
  void Perform(const StopCall& call);
  void Perform(const PollCall& call);
  void Perform(const NoteStateChange& change);

  EventLoop& m_loop;
  const StepCommonSettings m_common;
  const StepAgentSettings m_settings;
  const AgentPlatform m_platform;
  const Hello m_self;
  LinkHub m_hub;
  RunManager m_run_manager;
  CancelledJobs m_cancelled_jobs;  // kept for entries that start
  CancelExchange m_cancel_exchange;
  std::unique_ptr<TableKeeper> m_table_keeper;  // null unless configured
  RunCounters m_counters;  // of updates that never reached m_run_manager
  WakeTimer m_wake;
  MemberAnnouncer m_announcer;
  WorkerAnnouncement m_recorded;  // as last passed to m_announcer
  std::unique_ptr<HttpServer> m_worker_server;
  std::unique_ptr<HttpServer> m_metrics_server;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_STEP_AGENT_DAEMON_H_
