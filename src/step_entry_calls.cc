// Handles the calls of an entry: a call waits for the first configuration, is
// passed to the dispatcher, or is answered at once.
//
//   POST /checks/5c0e...   -> JobArrived
//   POST /nowhere/5c0e...  -> one more read of the store, then 404 or 503
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "duration_text.h"
#include "json_error.h"
#include "logging.h"
#include "step_entry_daemon.h"

namespace egretswitch::internal {
namespace {

// Limits the calls that wait for the first configuration, and separately those
// that wait for the store to confirm the current one.
constexpr size_t kMaxCallsAwaitingConfig = 256;

constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kBadRequest = 400;
constexpr int kMethodNotAllowed = 405;

}  // namespace

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

void StepEntryDaemon::HandleCallsAwaitingConfig() {
  for (CallAwaitingConfig& call : std::exchange(m_calls_awaiting_config, {})) {
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
    if (EventLoop::MonoNow() - m_started_at >= FirstConfigTimeout()) {
      Refuse(responder, RunCounter::kJobsRefusedNoConfig, request.path,
             "no configuration yet");
    } else if (m_calls_awaiting_config.size() < kMaxCallsAwaitingConfig) {
      m_calls_awaiting_config.push_back({std::move(request), responder});
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

// A caller treats "no such queue" as permanent, so the answer must not be based
// on an outdated configuration: the store is read again first.
void StepEntryDaemon::OnUnknownQueue(HttpRequest request,
                                     const Responder& responder) {
  if (m_calls_awaiting_confirmation >= kMaxCallsAwaitingConfig) {
    Refuse(responder, RunCounter::kJobsRefusedUnconfirmed, request.path,
           "too many calls wait for the configuration to be confirmed");
    return;
  }
  ++m_calls_awaiting_confirmation;
  m_tables.ConfirmConfig(
      [this, request = std::move(request), responder](bool confirmed) {
        --m_calls_awaiting_confirmation;
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
      });
}

void StepEntryDaemon::RefuseUnknownQueue(const HttpRequest& request,
                                         const CallerRequest& call,
                                         const Responder& responder) {
  m_counters.Add(RunCounter::kJobsNoQueue);
  const absl::Duration unconfirmed =
      EventLoop::MonoNow() - m_tables.config_confirmed_at();
  LogStateChange(
      {"no such queue",
       {{"host", call.host},
        {"path", request.path},
        {"config", absl::StrCat(m_tables.config().version)},
        {"newest_named", absl::StrCat(m_tables.NewestPeerConfigVersion())},
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
      OnCancel(request, queue, responder);
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
  if (m_refusing_jobs) {
    Refuse(responder, RunCounter::kJobsRefusedDraining, id, "shutting down");
    return;
  }
  const MonoTime now = EventLoop::MonoNow();
  const absl::Duration waited = now - request.whole_at;
  if (responder.CallerHasLeft()) {
    m_counters.Add(RunCounter::kJobsLeftBeforeTaken);
    LogStateChange({"caller left before its job was taken",
                    {{"job", id}, {"waited_ms", MillisecondsText(waited)}}});
    return;
  }
  if (waited >= call.caller_timeout) {
    Refuse(responder, RunCounter::kJobsTimedOut, id,
           "its deadline passed while it waited");
    return;
  }
  const CallId number = ++m_last_call;
  responder.OnGone([this, number] {
    // May run on another thread.
    m_loop.Post([this, number, noticed_at = EventLoop::MonoNow()] {
      OnCallerDisconnected(number, noticed_at);
    });
  });
  m_calls.emplace(number, OpenCall{responder, id, now});
  Deliver(JobArrived{.call = number,
                     .job = *std::move(job),
                     .queue = queue,
                     .caller_timeout = call.caller_timeout,
                     .waited = waited});
}

void StepEntryDaemon::OnCallerDisconnected(CallId number, MonoTime noticed_at) {
  const auto call = m_calls.find(number);
  if (call == m_calls.end()) {
    return;  // the job has been answered already
  }
  LogStateChange(
      {"caller left",
       {{"job", call->second.job},
        {"after_ms", MillisecondsText(noticed_at - call->second.since)},
        {"handled_ms", MillisecondsText(EventLoop::MonoNow() - noticed_at)}}});
  m_calls.erase(call);
  Deliver(CallerLeft{number});
}

void StepEntryDaemon::Perform(const CheckCallers&) {
  std::vector<CallId> left;
  for (const auto& [number, call] : m_calls) {
    if (call.responder.CallerHasLeft()) {
      left.push_back(number);
    }
  }
  for (const CallId number : left) {
    OnCallerDisconnected(number, EventLoop::MonoNow());
  }
  Deliver(CallersChecked{});
}

void StepEntryDaemon::OnShow(const HttpRequest& request,
                             const JobQueue& queue,
                             const Responder& responder) {
  if (request.path.size() > queue.path_prefix.size()) {
    responder.Answer(JsonError(kGone, "no such job"));
    return;
  }
  responder.Answer(m_platform.callers.EncodeWaitingCount(
      m_dispatcher.JobsNotStarted(queue.name)));
}

}  // namespace egretswitch::internal
