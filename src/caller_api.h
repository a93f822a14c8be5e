// The HTTP calls of callers, mapped to the entry's events.
//
//   POST /v1/jobs         submission -> its whole outcome, when it is final
//   POST /v1/jobs/cancel  {"team","id"} -> what became of the job
//   GET  /healthz         200 while this entry serves, else 503
//
// docs/CALLERS.md describes each for callers.
#ifndef EGRETSWITCH_SRC_CALLER_API_H_
#define EGRETSWITCH_SRC_CALLER_API_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string_view>

#include "http_server.h"
#include "node_events.h"
#include "outcome.h"
#include "submission.h"

namespace egretswitch::internal {

// The way from the HTTP threads to the node's event loop. Every call may come
// from any thread and returns at once.
class JobGateway {
 public:
  // Called once, from any thread, with the outcome of AnswerCaller.
  using Done = std::function<void(JobOutcome)>;

  virtual ~JobGateway() = default;

  // Whether the balancer should send callers here.
  virtual bool Serving() const = 0;

  // Posts CallerSubmitted, or CallerCancelled, under a new token.
  virtual CallerToken Submit(Submission submission, Done done) = 0;
  virtual CallerToken Cancel(SubmissionKey key, Done done) = 0;

  // Posts CallerGone; `done` of that token need not be called any more.
  virtual void Gone(CallerToken token) = 0;
};

// Status code of a refusal.
int HttpStatusOf(RefusalReason reason);

class CallerApi {
 public:
  // `gateway` must outlive the server that calls Handle().
  explicit CallerApi(JobGateway* gateway) : m_gateway(gateway) {}

  void Handle(HttpRequest request, Responder responder);

  // Requests refused here as invalid, which the node never saw.
  uint64_t invalid_requests() const { return m_invalid_requests; }

  // The response to a request that the server itself turns away.
  static HttpResponse TurnAway(int status, std::string_view detail);

 private:
  void Submit(std::string_view body, const Responder& responder);
  void Cancel(std::string_view body, const Responder& responder);
  void ReportHealth(const Responder& responder);
  void AnswerInvalid(const Responder& responder, HttpResponse response);

  JobGateway* const m_gateway;
  std::atomic<uint64_t> m_invalid_requests = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CALLER_API_H_
