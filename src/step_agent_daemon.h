// The shell around a RunManager: links to entries, the worker beside this
// process, the store. Everything happens on the event loop's thread.
//
//   link: StartRuns -> PeerSaid -> keeper -> StartCall -> worker
#ifndef EGRETSWITCH_SRC_STEP_AGENT_DAEMON_H_
#define EGRETSWITCH_SRC_STEP_AGENT_DAEMON_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "event_loop.h"
#include "http_server.h"
#include "keyed_store.h"
#include "link_hub.h"
#include "member_announcer.h"
#include "run_manager.h"
#include "step_settings.h"
#include "wake_timer.h"
#include "worker_calls.h"

namespace egretswitch::internal {

// A worker's report of itself, or its word that it ends.
struct WorkerUpdates {
  std::string worker_id;
  bool withdrawn = false;
  absl::StatusOr<WorkerAnnouncement> announcement;
};

// The platform, as an agent needs it; all must outlive the daemon.
struct AgentPlatform {
  WorkerCalls& worker;
  KeyedStore& store;
  // Nullopt for a request that is no news of a worker.
  std::function<std::optional<WorkerUpdates>(const HttpRequest&)> decode_updates;
};

class StepAgentDaemon {
 public:
  StepAgentDaemon(EventLoop& loop,
                  const StepCommonSettings& common,
                  const StepAgentSettings& agent,
                  AgentPlatform platform);
  ~StepAgentDaemon();

  // Opens every port of the settings. The error names the address.
  absl::Status Start();

  // Begins a graceful shutdown; the loop stops when it is complete.
  void BeginDrain();

 private:
  absl::StatusOr<std::unique_ptr<HttpServer>> Serve(
      const IpPort& address,
      HttpServer::Handler handler);
  LinkHubEvents MakeHubEvents();
  void OnNews(const HttpRequest& request, const Responder& responder);
  std::string Metrics() const;

  void RecordWorker();
  void Deliver(const RunManagerEvent& event);
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
  RunManager m_keeper;
  RunCounters m_counters;  // of what never reached the keeper
  WakeTimer m_wake;
  MemberAnnouncer m_announcer;
  WorkerAnnouncement m_recorded;  // as last handed to the announcer
  std::unique_ptr<HttpServer> m_news;
  std::unique_ptr<HttpServer> m_metrics;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_STEP_AGENT_DAEMON_H_
