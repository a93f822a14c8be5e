#include "operator_api.h"

#include <utility>

#include "json_document.h"

namespace egretswitch::internal {
namespace {

using nlohmann::json;

constexpr std::string_view kBearer = "Bearer ";
constexpr JsonLimits kNameLimits = {.depth = 2, .values = 8};
constexpr size_t kMaxNameBytes = 128;

HttpResponse Error(int status, std::string_view detail) {
  const json document = {{"error", detail}};
  return {
      .status = status,
      .body = document.dump(-1, ' ', false, json::error_handler_t::replace)};
}

int HttpStatusOf(EditVerdict verdict) {
  switch (verdict) {
    case EditVerdict::kAccepted:
      return 200;
    case EditVerdict::kSuperseded:
      return 409;
    case EditVerdict::kInvalid:
      return 400;
    case EditVerdict::kNotAppended:
    case EditVerdict::kUnknown:
      break;
  }
  return 503;
}

int HttpStatusOf(const absl::Status& status) {
  if (status.ok()) {
    return 200;
  }
  if (absl::IsNotFound(status)) {
    return 404;
  }
  return absl::IsFailedPrecondition(status) ? 409 : 503;
}

absl::StatusOr<std::string> ParseName(std::string_view body) {
  absl::StatusOr<json> document = ParseJson(body, kNameLimits);
  if (!document.ok()) {
    return document.status();
  }
  JsonObjectReader reader(*document, "");
  std::string name = reader.PrintableText("name", 1, kMaxNameBytes);
  if (absl::Status status = reader.Finish(); !status.ok()) {
    return status;
  }
  return name;
}

bool IsOneOf(std::string_view path,
             std::initializer_list<std::string_view> paths) {
  for (const std::string_view candidate : paths) {
    if (candidate == path) {
      return true;
    }
  }
  return false;
}

HttpResponse WrongMethod(std::string_view allowed) {
  HttpResponse response =
      Error(405, "method: allowed here: " + std::string(allowed));
  response.headers.push_back({"Allow", std::string(allowed)});
  return response;
}

}  // namespace

bool EqualInConstantTime(std::string_view presented, std::string_view secret) {
  if (secret.empty()) {
    return false;
  }
  // Steps through what was presented, so that the time depends on that alone.
  unsigned char difference = presented.size() == secret.size() ? 0 : 1;
  for (size_t i = 0; i < presented.size(); ++i) {
    difference |=
        static_cast<unsigned char>(presented[i] ^ secret[i % secret.size()]);
  }
  return difference == 0;
}

HttpResponse OperatorApi::TurnAway(int status, std::string_view detail) {
  return Error(status, detail);
}

bool OperatorApi::IsAuthorized(const HttpRequest& request) const {
  std::string_view presented = request.authorization;
  if (!presented.starts_with(kBearer)) {
    return false;
  }
  presented.remove_prefix(kBearer.size());
  return EqualInConstantTime(presented, m_token);
}

void OperatorApi::Handle(HttpRequest request, Responder responder) {
  if (HandleOpenCall(request, responder)) {
    return;
  }
  if (!IsAuthorized(request)) {
    HttpResponse response =
        Error(401, "Authorization: a valid Bearer token is needed");
    response.headers.push_back({"WWW-Authenticate", "Bearer"});
    responder.Answer(std::move(response));
    return;
  }
  if (request.method == "GET") {
    HandleGet(request, responder);
  } else if (request.method == "POST") {
    HandlePost(request, responder);
  } else {
    responder.Answer(WrongMethod("GET, POST"));
  }
}

bool OperatorApi::HandleOpenCall(const HttpRequest& request,
                                 const Responder& responder) {
  if (request.method != "GET") {
    return false;
  }
  if (request.path == "/healthz") {
    const bool serving = m_gateway->Serving();
    responder.Answer({.status = serving ? 200 : 503,
                      .body = serving ? "serving\n" : "not serving\n",
                      .content_type = "text/plain"});
    return true;
  }
  if (request.path == "/metrics") {
    m_gateway->Metrics([responder](std::string text) {
      responder.Answer({.status = 200,
                        .body = std::move(text),
                        .content_type = "text/plain; version=0.0.4"});
    });
    return true;
  }
  return false;
}

void OperatorApi::HandleGet(const HttpRequest& request,
                            const Responder& responder) {
  if (request.path == "/status") {
    m_gateway->Status([responder](std::string text) {
      responder.Answer({.status = 200, .body = std::move(text)});
    });
  } else if (request.path == "/table") {
    m_gateway->Table([responder](TableView table) {
      responder.AnswerWith([table = std::move(table)]() -> HttpResponse {
        return {.status = 200, .body = TableToJson(table)};
      });
    });
  } else if (IsOneOf(request.path, {"/drain", "/entries/ended"})) {
    responder.Answer(WrongMethod("POST"));
  } else {
    responder.Answer(Error(404, "path: no such call"));
  }
}

void OperatorApi::HandlePost(const HttpRequest& request,
                             const Responder& responder) {
  if (request.path == "/table") {
    EditRow(request.body, responder);
  } else if (request.path == "/drain") {
    m_gateway->Drain([responder] {
      responder.Answer({.status = 202, .body = "{\"draining\":true}"});
    });
  } else if (request.path == "/entries/ended") {
    ReportEnded(request.body, responder);
  } else if (IsOneOf(request.path, {"/status", "/metrics", "/healthz"})) {
    responder.Answer(WrongMethod("GET"));
  } else {
    responder.Answer(Error(404, "path: no such call"));
  }
}

void OperatorApi::EditRow(std::string_view body, const Responder& responder) {
  absl::StatusOr<RowEdited> edit = ParseRowEdit(body);
  if (!edit.ok()) {
    const EditOutcome outcome = {.verdict = EditVerdict::kInvalid,
                                 .detail = std::string(edit.status().message()),
                                 .row = {}};
    responder.Answer({.status = HttpStatusOf(outcome.verdict),
                      .body = EditOutcomeToJson(outcome)});
    return;
  }
  m_gateway->EditRow(*std::move(edit), [responder](EditOutcome outcome) {
    responder.Answer({.status = HttpStatusOf(outcome.verdict),
                      .body = EditOutcomeToJson(outcome)});
  });
}

void OperatorApi::ReportEnded(std::string_view body,
                              const Responder& responder) {
  absl::StatusOr<std::string> name = ParseName(body);
  if (!name.ok()) {
    responder.Answer(Error(400, std::string(name.status().message())));
    return;
  }
  m_gateway->EntryEnded(*std::move(name), [responder](absl::Status status) {
    if (status.ok()) {
      responder.Answer({.status = 200, .body = "{\"ended\":true}"});
      return;
    }
    responder.Answer(
        Error(HttpStatusOf(status), std::string(status.message())));
  });
}

}  // namespace egretswitch::internal
