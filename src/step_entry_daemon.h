// Runs a JobDispatcher: connects it to callers, to the links to agents and
// other entries, and to the store. All code runs on the event loop's thread.
//
//   POST /lohu930/5c0e... -> JobArrived -> dispatcher -> AnswerJob -> 200
#ifndef EGRETSWITCH_SRC_STEP_ENTRY_DAEMON_H_
#define EGRETSWITCH_SRC_STEP_ENTRY_DAEMON_H_

#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "caller_codec.h"
#include "cancel_exchange.h"
#include "cancel_search.h"
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

// The parts of the platform that an entry uses; all must outlive the daemon.
struct EntryPlatform {
  const CallerCodec& callers;
  TableSource tables;
};

struct EntryTimes {
  // How long after the start a call waits for the first configuration. Reading
  // it takes some 50 ms, and callers reach an entry that has just started when
  // no other entry of their data centre is ready.
  absl::Duration first_config_timeout = absl::Milliseconds(400);

  // The same where agents keep the tables. They dial an entry that has started
  // within 0.5 s, and the transfer of the tables takes some tenths of a second.
  absl::Duration first_copy_timeout = absl::Seconds(1);

  // The phases of a graceful shutdown, measured from its start.
  // Until then new jobs are accepted, and each connection is closed after its
  // answer. The load balancer takes up to two seconds to notice that this
  // process is not ready. A request sent later than 3 s after SIGTERM must not
  // be cut off, so the entry stops listening before that.
  absl::Duration accept_until = absl::Milliseconds(2800);
  // Open jobs continue until then, within the 6 s that the platform grants for
  // a shutdown; the rest is answered with the current state.
  absl::Duration answer_until = absl::Milliseconds(5500);
  // A drain awaits the first request of a connection for as long as this after
  // it was accepted.
  absl::Duration first_request_timeout = kFirstRequestTimeout;
  // Requests that are still incomplete at this time are cut off.
  absl::Duration cut_off_at = absl::Milliseconds(5800);
};

class StepEntryDaemon {
 public:
  StepEntryDaemon(EventLoop& loop,
                  const StepCommonSettings& common,
                  const StepEntrySettings& entry,
                  EntryPlatform platform,
                  EntryTimes times = {});
  ~StepEntryDaemon();

  // Opens every port of the settings. An error names the address.
  absl::Status Start();

  // Starts a graceful shutdown; the loop stops when it is complete.
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

  // A call that arrived before the first configuration and waits for it.
  struct CallAwaitingConfig {
    HttpRequest request;
    Responder responder;
  };

  void OnCall(HttpRequest request, const Responder& responder);
  void HandleCallsAwaitingConfig();
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
  void OnCallerDisconnected(CallId number, MonoTime noticed_at);
  void OnShow(const HttpRequest& request,
              const JobQueue& queue,
              const Responder& responder);
  void OnCancel(const HttpRequest& request,
                const JobQueue& queue,
                const Responder& responder);
  std::vector<bool> CancelHere(absl::Span<const std::string> jobs);
  void Refuse(const Responder& responder,
              RunCounter counter,
              const std::string& job,
              const std::string& reason);

  DeploymentTablesEvents MakeTablesEvents();
  void OnTablesChanged();
  void SelectLinks();
  void SelectLinksPeriodically();
  void OnLinkUp(const Hello& peer);
  void OnMessage(const std::string& name,
                 uint64_t incarnation,
                 Message message);

  void Deliver(const JobDispatcherEvent& event);
  void DeliverCancel(const CancelEvent& event);
  void DeliverToExchange(const CancelExchangeEvent& event);
  void PerformAll(const JobDispatcherActions& actions);
  void Perform(const AnswerCancel& answer);
  void Perform(const MergeCancelledJobs& merge);
  void Perform(const CancelMemoryComplete& complete);
  void Perform(const AnswerJob& answer);
  void Perform(const SendRunMessage& send);
  void Perform(const RedialPeer& dial);
  void Perform(const CheckCallers& check);
  void Perform(const NoteStateChange& change);

  absl::Duration FirstConfigTimeout() const {
    return m_common.keep_tables_at_agents ? m_times.first_copy_timeout
                                          : m_times.first_config_timeout;
  }
  bool Ready() const;
  void LogReadinessChange();
  std::string Metrics() const;
  void AddEvacuations(MetricsText& text) const;
  bool NoAnswerPending() const;
  void StopWhenIdle();

  EventLoop& m_loop;
  const StepCommonSettings m_common;
  const StepEntrySettings m_settings;
  const EntryPlatform m_platform;
  const EntryTimes m_times;
  const Hello m_self;
  const uint64_t m_seed;
  LinkHub m_hub;
  JobDispatcher m_dispatcher;
  CancelSearch m_cancel_search;
  CancelExchange m_cancel_exchange;
  LinkSelection m_link_selection;
  WakeTimer m_wake;
  WakeTimer m_cancel_wake;
  WakeTimer m_cancel_exchange_wake;
  MemberAnnouncer m_announcer;
  DeploymentTables m_tables;
  RunCounters m_counters;  // of decisions made in this class
  LatencyHistogram m_latency;
  absl::flat_hash_map<CallId, OpenCall> m_calls;
  absl::flat_hash_map<CallId, Responder> m_cancel_calls;
  std::vector<CallAwaitingConfig> m_calls_awaiting_config;
  size_t m_calls_awaiting_confirmation = 0;  // for a fresh read of the store
  CallId m_last_call = 0;
  MonoTime m_started_at = absl::ZeroDuration();
  bool m_draining = false;
  bool m_refusing_jobs = false;  // last phase of a drain: no new jobs
  MonoTime m_drain_began = absl::ZeroDuration();
  bool m_was_idle = false;  // at the previous idle check of a drain
  bool m_ready_logged = false;
  std::unique_ptr<HttpServer> m_callers;
  std::unique_ptr<HttpServer> m_ready;
  std::unique_ptr<HttpServer> m_metrics;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_STEP_ENTRY_DAEMON_H_
