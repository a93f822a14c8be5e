#include "log_service.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace egretswitch::stand_ins {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view kStreamsPrefix = "/streams/";
constexpr std::string_view kRecordsSuffix = "/records";
constexpr uint64_t kMaxPage = 1000;
constexpr uint64_t kMaxWaitMs = 30'000;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kInsufficientStorage = 507;

// "/streams/NAME/records" -> "NAME", "" for any other path.
std::string StreamOf(std::string_view path) {
  const size_t affixes = kStreamsPrefix.size() + kRecordsSuffix.size();
  if (path.size() <= affixes ||
      path.substr(0, kStreamsPrefix.size()) != kStreamsPrefix ||
      path.substr(path.size() - kRecordsSuffix.size()) != kRecordsSuffix) {
    return "";
  }
  return std::string(path.substr(kStreamsPrefix.size(), path.size() - affixes));
}

std::string ErrorBody(const std::string& error) {
  return Json{{"error", error}}.dump();
}

std::string PageBody(const StreamPage& page) {
  Json records = Json::array();
  for (const StoredRecord& record : page.records) {
    records.push_back({{"offset", record.offset}, {"data", record.data}});
  }
  const Json body = {{"first_kept", page.first_kept},
                     {"head", page.head},
                     {"records", std::move(records)}};
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

LogService::LogService(LogServiceOptions options)
    : m_options(std::move(options)),
      m_streams(m_options.retention),
      m_permits(m_options.appends_per_second),
      m_permits_at(SteadyClock::now()),
      m_timers(std::make_unique<TimerThread>()) {}

LogService::~LogService() {
  m_server.Stop();
  m_timers.reset();
}

absl::Status LogService::Start() {
  return m_server.Start(m_options.http,
                        [this](const HttpRequest& request, ReplyPtr reply) {
                          Handle(request, reply);
                        });
}

void LogService::Handle(const HttpRequest& request, const ReplyPtr& reply) {
  if (request.path == "/control" && request.method == "POST") {
    return HandleControl(request, reply);
  }
  const std::string stream = StreamOf(request.path);
  {
    const std::lock_guard lock(m_mutex);
    if (CurrentMode() == Mode::kDown) {
      return reply->Send(kUnavailable, ErrorBody("down"));
    }
  }
  if (!stream.empty() && request.method == "POST") {
    return HandleAppend(stream, request, reply);
  }
  if (!stream.empty() && request.method == "GET") {
    return HandleRead(stream, request, reply);
  }
  reply->Send(kNotFound, ErrorBody("no such resource"));
}

void LogService::HandleControl(const HttpRequest& request,
                               const ReplyPtr& reply) {
  const Json json = Json::parse(request.body, nullptr, false);
  static const std::map<std::string, Mode> kModes = {
      {"up", Mode::kUp},
      {"down", Mode::kDown},
      {"slow", Mode::kSlow},
      {"lose_replies", Mode::kLoseReplies}};
  try {
    const auto mode = kModes.find(json.at("mode").get<std::string>());
    if (mode == kModes.end()) {
      return reply->Send(
          kBadRequest, ErrorBody("mode: allowed up, down, slow, lose_replies"));
    }
    const milliseconds delay(json.value("delay_ms", uint32_t{0}));
    const milliseconds duration(json.value("for_ms", uint32_t{0}));
    const std::lock_guard lock(m_mutex);
    m_mode = mode->second;
    m_slow_delay = delay;
    m_mode_until = duration.count() == 0 ? SteadyClock::time_point::max()
                                         : SteadyClock::now() + duration;
    if (m_mode == Mode::kDown) {
      FailWaiting();
    }
  } catch (const Json::exception& error) {
    return reply->Send(kBadRequest, ErrorBody(error.what()));
  }
  reply->Send(kOk, "{}");
}

void LogService::HandleAppend(const std::string& stream,
                              const HttpRequest& request,
                              const ReplyPtr& reply) {
  milliseconds delay = m_options.append_delay;
  {
    const std::lock_guard lock(m_mutex);
    if (!TakeAppendPermit()) {
      return reply->Send(kTooManyRequests, ErrorBody("append rate"));
    }
    if (CurrentMode() == Mode::kSlow) {
      delay += m_slow_delay;
    }
  }
  m_timers->RunAt(SteadyClock::now() + delay,
                  [this, stream, data = request.body, reply] {
                    FinishAppend(stream, data, reply);
                  });
}

// The record takes effect here, at the end of the delay, as a synced write
// would; a log that went down meanwhile has not written it.
void LogService::FinishAppend(const std::string& stream,
                              const std::string& data,
                              const ReplyPtr& reply) {
  const std::lock_guard lock(m_mutex);
  const Mode mode = CurrentMode();
  if (mode == Mode::kDown) {
    return reply->Send(kUnavailable, ErrorBody("down"));
  }
  const auto offset = m_streams.Append(stream, data, SteadyClock::now());
  if (!offset.has_value()) {
    return reply->Send(kInsufficientStorage, ErrorBody("too many streams"));
  }
  AnswerWaiting(stream);
  if (mode == Mode::kLoseReplies) {
    return reply->Drop();
  }
  reply->Send(kOk, Json{{"offset", *offset}}.dump());
}

void LogService::HandleRead(const std::string& stream,
                            const HttpRequest& request,
                            const ReplyPtr& reply) {
  ReadRequest read{stream, request.QueryNumber("from", 0),
                   std::min(request.QueryNumber("max", kMaxPage), kMaxPage),
                   reply};
  const milliseconds wait(
      std::min(request.QueryNumber("wait_ms", 0), kMaxWaitMs));
  milliseconds delay(0);
  {
    const std::lock_guard lock(m_mutex);
    if (CurrentMode() == Mode::kSlow) {
      delay = m_slow_delay;
    }
  }
  if (delay.count() == 0) {
    return StartRead(std::move(read), wait);
  }
  m_timers->RunAt(
      SteadyClock::now() + delay,
      [this, read = std::move(read), wait] { StartRead(read, wait); });
}

// Answers now when there is something to tell; else parks the read until a
// record comes or `wait` has passed.
void LogService::StartRead(ReadRequest read, milliseconds wait) {
  uint64_t sequence = 0;
  {
    const std::lock_guard lock(m_mutex);
    if (CurrentMode() == Mode::kDown) {
      return read.reply->Send(kUnavailable, ErrorBody("down"));
    }
    if (AnswerRead(read, /*at_once=*/wait.count() == 0)) {
      return;
    }
    sequence = m_next_wait++;
    m_waiting.emplace(sequence, std::move(read));
  }
  m_timers->RunAt(SteadyClock::now() + wait,
                  [this, sequence] { EndWait(sequence); });
}

void LogService::EndWait(uint64_t sequence) {
  const std::lock_guard lock(m_mutex);
  const auto it = m_waiting.find(sequence);
  if (it == m_waiting.end()) {
    return;
  }
  AnswerRead(it->second, /*at_once=*/true);
  m_waiting.erase(it);
}

LogService::Mode LogService::CurrentMode() {
  if (SteadyClock::now() >= m_mode_until) {
    m_mode = Mode::kUp;
    m_mode_until = SteadyClock::time_point::max();
  }
  return m_mode;
}

// Token bucket that holds one second's appends.
bool LogService::TakeAppendPermit() {
  const SteadyClock::time_point now = SteadyClock::now();
  const std::chrono::duration<double> passed = now - m_permits_at;
  const double rate = m_options.appends_per_second;
  m_permits = std::min(rate, m_permits + passed.count() * rate);
  m_permits_at = now;
  if (m_permits < 1) {
    return false;
  }
  m_permits -= 1;
  return true;
}

// False when there is nothing to tell yet and the read may wait.
bool LogService::AnswerRead(const ReadRequest& read, bool at_once) {
  const StreamPage page = m_streams.Read(read.stream, read.from, read.max);
  const bool lost_records = read.from < page.first_kept;
  if (page.records.empty() && !lost_records && !at_once) {
    return false;
  }
  read.reply->Send(kOk, PageBody(page));
  return true;
}

void LogService::AnswerWaiting(const std::string& stream) {
  std::erase_if(m_waiting, [this, &stream](const auto& item) {
    return item.second.stream == stream &&
           AnswerRead(item.second, /*at_once=*/false);
  });
}

void LogService::FailWaiting() {
  for (const auto& [sequence, read] : m_waiting) {
    read.reply->Send(kUnavailable, ErrorBody("down"));
  }
  m_waiting.clear();
}

}  // namespace egretswitch::stand_ins
