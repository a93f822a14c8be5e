#include "caller_api.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "internal_assert.h"
#include "job_json.h"

namespace egretswitch::internal {
namespace {

constexpr uint32_t kMsPerSecond = 1000;

// Wait that is advised to a caller that the server itself turned away for want
// of memory.
constexpr uint32_t kOverloadRetryMs = 1000;

// Retry-After counts whole seconds; the exact wait has a header of its own.
void AddRetryHeaders(uint32_t retry_after_ms, HttpResponse* response) {
  const uint32_t seconds = std::max<uint32_t>(
      1, retry_after_ms / kMsPerSecond + (retry_after_ms % kMsPerSecond != 0));
  response->headers.push_back({"Retry-After", std::to_string(seconds)});
  response->headers.push_back(
      {"X-Retry-After-Ms", std::to_string(retry_after_ms)});
}

bool AdvisesRetry(int status) {
  return status == 429 || status == 503;
}

HttpResponse MakeResponse(int status,
                          const JobRefusal& refusal,
                          std::string body) {
  HttpResponse response{.status = status, .body = std::move(body)};
  if (AdvisesRetry(status)) {
    AddRetryHeaders(refusal.retry_after_ms, &response);
  }
  return response;
}

HttpResponse RefuseWithoutKey(int status, const JobRefusal& refusal) {
  return MakeResponse(status, refusal, RefusalToJson(refusal));
}

HttpResponse RefuseInvalid(int status, std::string_view detail) {
  return RefuseWithoutKey(status, {.reason = RefusalReason::kInvalidRequest,
                                   .verdict = RunVerdict::kNotRun,
                                   .detail = std::string(detail)});
}

HttpResponse OutcomeResponse(const SubmissionKey& key,
                             const JobOutcome& outcome) {
  std::string body = OutcomeToJson(key, outcome);
  if (const auto* refusal = std::get_if<JobRefusal>(&outcome)) {
    return MakeResponse(HttpStatusOf(refusal->reason), *refusal,
                        std::move(body));
  }
  return {.status = 200, .body = std::move(body)};
}

// The cancel call did what it was asked to when the job is cancelled, so that
// outcome is no error here.
HttpResponse CancelResponse(const SubmissionKey& key,
                            const JobOutcome& outcome) {
  HttpResponse response = OutcomeResponse(key, outcome);
  const auto* refusal = std::get_if<JobRefusal>(&outcome);
  if (refusal != nullptr && refusal->reason == RefusalReason::kCancelled) {
    response.status = 200;
  }
  return response;
}

// Outcomes can be large: their JSON is made on the connection's thread, not on
// the event loop that calls the gateway's callback.
template <typename MakeOutcomeResponse>
JobGateway::Done AnswerOnConnectionThread(SubmissionKey key,
                                          Responder responder,
                                          MakeOutcomeResponse make) {
  return [key = std::move(key), responder = std::move(responder),
          make](JobOutcome outcome) {
    auto shared = std::make_shared<JobOutcome>(std::move(outcome));
    responder.AnswerWith(
        [key, shared = std::move(shared), make] { return make(key, *shared); });
  };
}

}  // namespace

int HttpStatusOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kInvalidRequest:
    case RefusalReason::kClockOutOfRange:
      return 400;
    case RefusalReason::kUnknownKind:
      return 404;
    case RefusalReason::kIdConflict:
    case RefusalReason::kCancelled:
      return 409;
    case RefusalReason::kTooOld:
    case RefusalReason::kAnswerExpired:
      return 410;
    case RefusalReason::kNoWorkerFits:
      return 422;
    case RefusalReason::kQueueFull:
    case RefusalReason::kTeamQuota:
    case RefusalReason::kDeadlineUnreachable:
      return 429;
    case RefusalReason::kTaskFailed:
    case RefusalReason::kWorkerLost:
    case RefusalReason::kUnknownPast:
      return 502;
    case RefusalReason::kNoOwner:
    case RefusalReason::kOwnerIsolated:
    case RefusalReason::kDraining:
    case RefusalReason::kOverloaded:
      return 503;
    case RefusalReason::kDeadlinePassed:
      return 504;
    case RefusalReason::kNone:
    case RefusalReason::kCount:
      break;
  }
  FailInternalAssert("refusal without a reason", "caller_api");
}

HttpResponse CallerApi::TurnAway(int status, std::string_view detail) {
  if (status != 503) {
    return RefuseInvalid(status, detail);
  }
  return RefuseWithoutKey(status, {.reason = RefusalReason::kOverloaded,
                                   .verdict = RunVerdict::kNotRun,
                                   .retry_after_ms = kOverloadRetryMs,
                                   .detail = std::string(detail)});
}

void CallerApi::Handle(HttpRequest request, Responder responder) {
  const bool submit = request.path == "/v1/jobs";
  const bool cancel = request.path == "/v1/jobs/cancel";
  const bool health = request.path == "/healthz";
  if (!submit && !cancel && !health) {
    AnswerInvalid(
        responder,
        RefuseInvalid(
            404,
            "path: found another, allowed: /v1/jobs, /v1/jobs/cancel, "
            "/healthz"));
    return;
  }
  const std::string_view allowed = health ? "GET" : "POST";
  if (request.method != allowed) {
    HttpResponse response =
        RefuseInvalid(405, "method: found " + request.method +
                               ", allowed: " + std::string(allowed));
    response.headers.push_back({"Allow", std::string(allowed)});
    AnswerInvalid(responder, std::move(response));
    return;
  }
  if (submit) {
    Submit(request.body, responder);
  } else if (cancel) {
    Cancel(request.body, responder);
  } else {
    ReportHealth(responder);
  }
}

void CallerApi::AnswerInvalid(const Responder& responder,
                              HttpResponse response) {
  ++m_invalid_requests;
  responder.Answer(std::move(response));
}

void CallerApi::Submit(std::string_view body, const Responder& responder) {
  absl::StatusOr<Submission> submission = ParseSubmission(body);
  if (!submission.ok()) {
    AnswerInvalid(
        responder,
        RefuseInvalid(400, std::string(submission.status().message())));
    return;
  }
  const CallerToken token = m_gateway->Submit(
      *submission,
      AnswerOnConnectionThread(submission->key, responder, &OutcomeResponse));
  responder.OnGone([gateway = m_gateway, token] { gateway->Gone(token); });
}

void CallerApi::Cancel(std::string_view body, const Responder& responder) {
  absl::StatusOr<SubmissionKey> key = ParseSubmissionKey(body);
  if (!key.ok()) {
    AnswerInvalid(responder,
                  RefuseInvalid(400, std::string(key.status().message())));
    return;
  }
  const CallerToken token = m_gateway->Cancel(
      *key, AnswerOnConnectionThread(*key, responder, &CancelResponse));
  responder.OnGone([gateway = m_gateway, token] { gateway->Gone(token); });
}

void CallerApi::ReportHealth(const Responder& responder) {
  const bool serving = m_gateway->Serving();
  responder.Answer({.status = serving ? 200 : 503,
                    .body = serving ? "serving\n" : "not serving\n",
                    .content_type = "text/plain"});
}

}  // namespace egretswitch::internal
