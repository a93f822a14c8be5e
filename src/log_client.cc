#include "log_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "record_codec.h"

namespace egretswitch::internal {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;

std::string FailureText(const HttpCallResult& result) {
  if (result.failure != HttpFailure::kNone) {
    return absl::StrCat("log service: ",
                        std::string(HttpFailureName(result.failure)));
  }
  return absl::StrCat("log service: HTTP status ", result.status);
}

// Operators also publish to the stream, so a record that can't be decoded must
// not stop the replay.
LogEntry DecodeEntry(uint64_t offset, const std::string& data) {
  absl::StatusOr<LogRecord> record = DecodeRecord(data);
  if (record.ok()) {
    return {offset, *std::move(record)};
  }
  return {offset, {"", Unreadable{std::string(record.status().message())}}};
}

absl::StatusOr<LogPage> ParsePage(const std::string& body) {
  try {
    const Json json = Json::parse(body);
    LogPage page;
    page.first_kept = json.at("first_kept").get<uint64_t>();
    page.head = json.at("head").get<uint64_t>();
    for (const Json& record : json.at("records")) {
      page.entries.push_back(
          DecodeEntry(record.at("offset").get<uint64_t>(),
                      record.at("data").get_ref<const std::string&>()));
    }
    return page;
  } catch (const Json::exception& error) {
    return absl::DataLossError(
        absl::StrCat("log service: page is malformed: ", error.what()));
  }
}

absl::StatusOr<LogPage> PageOf(const HttpCallResult& result) {
  if (result.failure != HttpFailure::kNone || result.status != kOk) {
    return absl::UnavailableError(FailureText(result));
  }
  return ParsePage(result.body);
}

// A status other than 200 means that nothing was written (docs/PLATFORM.md). A
// 200 with a malformed body leaves it unknown.
AppendOutcome AppendOutcomeOf(const HttpCallResult& result) {
  if (result.failure != HttpFailure::kNone) {
    const bool may = result.failure == HttpFailure::kLost ||
                     result.failure == HttpFailure::kTimeout;
    return AppendFailed{may, FailureText(result)};
  }
  if (result.status != kOk) {
    return AppendFailed{false, FailureText(result)};
  }
  const Json json = Json::parse(result.body, nullptr, false);
  if (!json.is_object() || !json.contains("offset") ||
      !json["offset"].is_number_unsigned()) {
    return AppendFailed{true, "log service: reply is malformed"};
  }
  return RecordAppended{json["offset"].get<uint64_t>()};
}

}  // namespace

LogClient::LogClient(EventLoop& loop, LogClientOptions options)
    : m_options(std::move(options)),
      m_records_url(absl::StrCat("http://",
                                 m_options.address,
                                 "/streams/",
                                 m_options.stream,
                                 "/records")),
      m_http(loop) {}

void LogClient::Read(uint64_t from,
                     absl::Duration wait,
                     ReadCallback callback) {
  const int64_t wait_ms = std::max<int64_t>(0, absl::ToInt64Milliseconds(wait));
  HttpCall call;
  call.url = absl::StrCat(m_records_url, "?from=", from,
                          "&max=", m_options.max_records, "&wait_ms=", wait_ms);
  call.timeout = wait + m_options.call_timeout;
  m_http.Send(std::move(call),
              [callback = std::move(callback)](HttpCallResult result) {
                callback(PageOf(result));
              });
}

void LogClient::Append(const LogRecord& record, AppendCallback callback) {
  HttpCall call;
  call.method = HttpMethod::kPost;
  call.url = m_records_url;
  call.body = EncodeRecord(record);
  call.timeout = m_options.call_timeout;
  m_http.Send(std::move(call),
              [callback = std::move(callback)](HttpCallResult result) {
                callback(AppendOutcomeOf(result));
              });
}

}  // namespace egretswitch::internal
