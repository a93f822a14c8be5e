#include "ctl_client.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "secret_file.h"

namespace egretswitch::internal {
namespace {

constexpr absl::Duration kDefaultTimeout = absl::Seconds(10);
constexpr size_t kMaxFileBytes = 64u << 20;
constexpr size_t kMaxShownBytes = 500;
constexpr int kUnauthorized = 401;

absl::StatusOr<std::string> ReadToken(const std::string& path) {
  if (path.empty()) {
    return absl::InvalidArgumentError(
        "--token-file: found nothing, allowed the file with the operators' "
        "token");
  }
  auto token = ReadSecretFile(path);
  if (!token || !IsSecretText(*token)) {
    return absl::InvalidArgumentError(
        absl::StrCat("--token-file: found \"", path,
                     "\", allowed a readable file whose first line is the "
                     "token, in printable ASCII without spaces"));
  }
  return *std::move(token);
}

}  // namespace

absl::StatusOr<CtlClient> CtlClient::Create(CtlApi api,
                                            const CtlArguments& arguments,
                                            const CtlWorld& world) {
  const bool for_operators = api == CtlApi::kOperators;
  if (arguments.entries.empty()) {
    return absl::InvalidArgumentError(
        absl::StrCat("--entry: found nothing, allowed an entry's address for ",
                     for_operators ? "operators, such as 127.0.0.1:7201"
                                   : "callers, such as 127.0.0.1:8001"));
  }
  CtlClient client;
  if (for_operators) {
    auto token = ReadToken(arguments.token_file);
    if (!token.ok()) {
      return token.status();
    }
    client.m_token = *std::move(token);
  }
  client.m_entries = arguments.entries;
  client.m_timeout = arguments.timeout.value_or(kDefaultTimeout);
  client.m_send = world.send;
  return client;
}

absl::StatusOr<CtlResponse> CtlClient::Call(std::string_view method,
                                            std::string_view path,
                                            std::string_view body) const {
  absl::Status last;
  for (const std::string& entry : m_entries) {
    auto response = CallAt(entry, method, path, body);
    if (response.ok() || !absl::IsUnavailable(response.status())) {
      return response;
    }
    last = response.status();
  }
  return last;
}

absl::StatusOr<CtlResponse> CtlClient::CallAt(std::string_view entry,
                                              std::string_view method,
                                              std::string_view path,
                                              std::string_view body) const {
  const CtlRequest request = {.method = std::string(method),
                              .url = std::string(entry) + std::string(path),
                              .body = std::string(body),
                              .token = m_token,
                              .timeout = m_timeout};
  auto response = m_send(request);
  if (response.ok() && response->status == kUnauthorized) {
    return absl::UnauthenticatedError(
        absl::StrCat(request.url, ": ", ErrorTextOf(*response)));
  }
  return response;
}

absl::StatusOr<std::string> ReadInputFile(std::string_view path) {
  std::ifstream in{std::string(path), std::ios::binary};
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in.is_open() || in.bad()) {
    return absl::InvalidArgumentError(
        absl::StrCat(std::string(path), ": found no file that can be read"));
  }
  if (text.size() > kMaxFileBytes) {
    return absl::InvalidArgumentError(
        absl::StrCat(std::string(path), ": found ", text.size(),
                     " bytes, allowed up to ", kMaxFileBytes));
  }
  return text;
}

std::string ErrorTextOf(const CtlResponse& response) {
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  for (const char* name : {"error", "detail"}) {
    if (body.is_object() && body.contains(name) && body[name].is_string()) {
      return body[name].get<std::string>();
    }
  }
  return absl::StrCat("status ", response.status, ": ",
                      response.body.substr(0, kMaxShownBytes));
}

bool IsSuccess(const CtlResponse& response) {
  return response.status >= 200 && response.status < 300;
}

}  // namespace egretswitch::internal
