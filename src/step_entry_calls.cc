// What becomes of a call: it waits for the first configuration, is handed to
// the dispatcher, or is answered at once.
//
//   POST /checks/5c0e...   -> JobArrived
//   POST /nowhere/5c0e...  -> one more read of the store, then 404 or 503
#include <utility>

#include "absl/strings/str_cat.h"
#include "duration_text.h"
#include "json_error.h"
#include "logging.h"
#include "step_entry_daemon.h"

namespace egretswitch::internal {
namespace {

// That wait for the first configuration, or for a newer one.
constexpr size_t kMaxEarlyCalls = 256;

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
    // From another thread.
    m_loop.Post([this, number, heard_at = EventLoop::MonoNow()] {
      OnCallerGone(number, heard_at);
    });
  });
  m_calls.emplace(number, OpenCall{responder, id, now});
  Deliver(JobArrived{.call = number,
                     .job = *std::move(job),
                     .queue = queue,
                     .caller_timeout = call.caller_timeout,
                     .waited = waited});
}

void StepEntryDaemon::OnCallerGone(CallId number, MonoTime heard_at) {
  const auto call = m_calls.find(number);
  if (call == m_calls.end()) {
    return;  // its answer was on its way
  }
  LogStateChange(
      {"caller left",
       {{"job", call->second.job},
        {"after_ms", MillisecondsText(heard_at - call->second.since)},
        {"handled_ms", MillisecondsText(EventLoop::MonoNow() - heard_at)}}});
  m_calls.erase(call);
  Deliver(CallerLeft{number});
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
