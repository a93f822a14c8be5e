// The HTTP calls of operators and scrapers.
//
//   GET  /healthz        200 while this process serves, else 503; no token
//   GET  /metrics        text exposition format; no token
//   GET  /status         what this process knows, as JSON
//   GET  /table          the operator table in force here, with row versions
//   POST /table          one edit, answered when its verdict is folded
//   POST /drain          begins a graceful shutdown
//   POST /entries/ended  {"name"}: an operator knows that this entry ended
//
// All but the first two need "Authorization: Bearer TOKEN".
#ifndef EGRETSWITCH_SRC_OPERATOR_API_H_
#define EGRETSWITCH_SRC_OPERATOR_API_H_

#include <functional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "http_server.h"
#include "table_json.h"

namespace egretswitch::internal {

// The way from the HTTP threads to the process's event loop. Every call may
// come from any thread and returns at once; `done` is called once, from any
// thread.
class OperatorGateway {
 public:
  virtual ~OperatorGateway() = default;

  virtual bool Serving() const = 0;
  virtual void Status(std::function<void(std::string json)> done) = 0;
  virtual void Metrics(std::function<void(std::string text)> done) = 0;
  virtual void Table(std::function<void(TableView)> done) = 0;

  // The row is valid. An empty edit_id is for the gateway to fill.
  virtual void EditRow(RowEdited edit,
                       std::function<void(EditOutcome)> done) = 0;

  // `done` is called when the drain has begun.
  virtual void Drain(std::function<void()> done) = 0;

  // NotFound: no such entry. FailedPrecondition: it lives. Unavailable: the
  // log took no record.
  virtual void EntryEnded(std::string name,
                          std::function<void(absl::Status)> done) = 0;
};

// Compares without telling by its run time where the texts differ.
bool EqualInConstantTime(std::string_view presented, std::string_view secret);

class OperatorApi {
 public:
  // With an empty token every call that needs one is refused. `gateway` must
  // outlive the server that calls Handle().
  OperatorApi(OperatorGateway* gateway, std::string token)
      : m_gateway(gateway), m_token(std::move(token)) {}

  void Handle(HttpRequest request, Responder responder);

  // The response to a request that the server itself turns away.
  static HttpResponse TurnAway(int status, std::string_view detail);

 private:
  bool IsAuthorized(const HttpRequest& request) const;
  bool HandleOpenCall(const HttpRequest& request, const Responder& responder);
  void HandleGet(const HttpRequest& request, const Responder& responder);
  void HandlePost(const HttpRequest& request, const Responder& responder);
  void EditRow(std::string_view body, const Responder& responder);
  void ReportEnded(std::string_view body, const Responder& responder);

  OperatorGateway* const m_gateway;
  const std::string m_token;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_OPERATOR_API_H_
