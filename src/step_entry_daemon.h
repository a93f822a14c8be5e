// The shell around a JobDispatcher: callers, links to agents and other entries,
// the store. Everything happens on the event loop's thread.
//
//   POST /lohu930/5c0e... -> JobArrived -> dispatcher -> AnswerJob -> 200
#ifndef EGRETSWITCH_SRC_STEP_ENTRY_DAEMON_H_
#define EGRETSWITCH_SRC_STEP_ENTRY_DAEMON_H_

#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "caller_codec.h"
#include "deployment_tables.h"
#include "event_loop.h"
#include "http_server.h"
#include "job_dispatcher.h"
#include "latency_histogram.h"
#include "link_hub.h"
#include "link_selection.h"
#include "member_announcer.h"
#include "metrics_text.h"
#include "step_settings.h"
#include "wake_timer.h"

namespace egretswitch::internal {

// The platform, as an entry needs it; all must outlive the daemon.
struct EntryPlatform {
  const CallerCodec& callers;
  TableSource tables;
};

struct EntryTimes {
  // Calls that come before the first configuration wait so long for it after
  // the start. Reading it takes some 50 ms, and callers reach an entry that has
  // just started when no other one of their data centre is ready.
  absl::Duration config_patience = absl::Milliseconds(400);

  // The parts of a graceful shutdown, counted from its begin.
  // Callers are served as before, each connection closed after its answer: the
  // balancer takes up to two seconds to notice that this process is not ready,
  // and what is sent later than 3 s after SIGTERM must not be cut off.
  absl::Duration serve = absl::Milliseconds(2800);
  // What is in hand gets the rest of the 6 s that the platform grants, then it
  // is answered as it stands.
  absl::Duration finish = absl::Milliseconds(5500);
  // A request of which only a part has come by now is cut off.
  absl::Duration end = absl::Milliseconds(5800);
};

class StepEntryDaemon {
 public:
  StepEntryDaemon(EventLoop& loop,
                  const StepCommonSettings& common,
                  const StepEntrySettings& entry,
                  EntryPlatform platform,
                  EntryTimes times = {});
  ~StepEntryDaemon();

  // Opens every port of the settings. The error names the address.
  absl::Status Start();

  // Begins a graceful shutdown; the loop stops when it is complete.
  void BeginDrain();

 private:
  struct OpenCall {
    Responder responder;
    std::string job;
    MonoTime since = absl::ZeroDuration();
  };

  absl::StatusOr<std::unique_ptr<HttpServer>> Listen(
      const IpPort& address,
      HttpServer::Handler handler);
  LinkHubEvents MakeHubEvents();

  // A call that came before the first configuration, and waits for it.
  struct EarlyCall {
    HttpRequest request;
    Responder responder;
  };

  void OnCall(HttpRequest request, const Responder& responder);
  void AnswerEarlyCalls();
  void OnUnknownQueue(HttpRequest request, const Responder& responder);
  void RefuseUnknownQueue(const HttpRequest& request,
                          const CallerRequest& call,
                          const Responder& responder);
  void Serve(const HttpRequest& request,
             const CallerRequest& call,
             const JobQueue& queue,
             const Responder& responder);
  void OnSubmit(const HttpRequest& request,
                const CallerRequest& call,
                const JobQueue& queue,
                const Responder& responder);
  void OnCallerGone(CallId number, MonoTime heard_at);
  void OnShow(const HttpRequest& request,
              const JobQueue& queue,
              const Responder& responder);
  void Refuse(const Responder& responder,
              RunCounter counter,
              const std::string& job,
              const std::string& reason);

  DeploymentTablesEvents MakeTablesEvents();
  void OnTablesChanged();
  void SelectLinks();
  void SelectLinksAgainAndAgain();
  void OnLinkUp(const Hello& peer);
  void OnMessage(const std::string& name,
                 uint64_t incarnation,
                 Message message);

  void Deliver(const JobDispatcherEvent& event);
  void PerformAll(const JobDispatcherActions& actions);
  void Perform(const AnswerJob& answer);
  void Perform(const SendRunMessage& send);
  void Perform(const RedialPeer& dial);
  void Perform(const NoteStateChange& change);

  bool Ready() const;
  void NoteReadiness();
  std::string Metrics() const;
  void AddEvacuations(MetricsText& text) const;
  bool NothingToAnswer() const;
  void StopWhenQuiet();

  EventLoop& m_loop;
  const StepCommonSettings m_common;
  const StepEntrySettings m_settings;
  const EntryPlatform m_platform;
  const EntryTimes m_times;
  const Hello m_self;
  const uint64_t m_seed;
  LinkHub m_hub;
  JobDispatcher m_dispatcher;
  LinkSelection m_link_selection;
  WakeTimer m_wake;
  MemberAnnouncer m_announcer;
  DeploymentTables m_tables;
  RunCounters m_counters;  // of the shell's own decisions
  LatencyHistogram m_latency;
  absl::flat_hash_map<CallId, OpenCall> m_calls;
  std::vector<EarlyCall> m_early_calls;
  size_t m_unknown_queues = 0;  // calls that wait for a newer configuration
  CallId m_last_call = 0;
  MonoTime m_started_at = absl::ZeroDuration();
  bool m_draining = false;
  bool m_refusing = false;  // the last part of a drain: no new jobs
  MonoTime m_drain_began = absl::ZeroDuration();
  bool m_was_quiet = false;  // at the latest look of a drain
  bool m_ready_told = false;
  std::unique_ptr<HttpServer> m_callers;
  std::unique_ptr<HttpServer> m_ready;
  std::unique_ptr<HttpServer> m_metrics;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_STEP_ENTRY_DAEMON_H_
