#include "http_exchange.h"

#include <poll.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace egretswitch::internal {
namespace {

// A body over the limit is read and dropped up to this many times the limit,
// so that a caller that sends everything first still sees the 413. Beyond that
// the connection is cut.
constexpr size_t kDroppedBodyFactor = 4;

constexpr int kPayloadTooLarge = 413;
constexpr int kServiceUnavailable = 503;

std::string HeaderValue(MHD_Connection* connection, const char* name) {
  const char* value =
      MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
  return value == nullptr ? std::string() : std::string(value);
}

void FreeBody(void* body) {
  delete static_cast<std::string*>(body);
}

// Hands the body over without copying it.
MHD_Response* MakeResponse(HttpResponse response) {
  auto body = std::make_unique<std::string>(std::move(response.body));
  MHD_Response* result = MHD_create_response_from_buffer_with_free_callback_cls(
      body->size(), body->data(), &FreeBody, body.get());
  if (result == nullptr) {
    return nullptr;
  }
  body.release();
  MHD_add_response_header(result, "Content-Type",
                          response.content_type.c_str());
  for (const HttpHeader& header : response.headers) {
    MHD_add_response_header(result, header.name.c_str(), header.value.c_str());
  }
  return result;
}

}  // namespace

HttpExchange::HttpExchange(ExchangeShared* shared, MHD_Connection* connection)
    : m_shared(shared),
      m_connection(connection),
      m_fd(
          MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
              ->connect_fd) {}

HttpExchange::~HttpExchange() = default;

MHD_Result HttpExchange::Begin(const char* method, const char* path) {
  m_request.method = method;
  m_request.path = path;
  m_request.authorization = HeaderValue(m_connection, "Authorization");
  for (const std::string& name : m_shared->options.wanted_headers) {
    std::string value = HeaderValue(m_connection, name.c_str());
    if (!value.empty()) {
      m_request.headers.push_back({name, std::move(value)});
    }
  }
  const std::string length = HeaderValue(m_connection, "Content-Length");
  const uint64_t announced = std::strtoull(length.c_str(), nullptr, 10);
  if (announced <= m_shared->options.max_body_bytes) {
    return MHD_YES;
  }
  m_error_status = kPayloadTooLarge;
  m_error = "body: found " + std::to_string(announced) +
            " bytes, allowed: at most " +
            std::to_string(m_shared->options.max_body_bytes);
  // A caller that waits for "100 Continue" can be told before it sends.
  const bool asks_first = !HeaderValue(m_connection, "Expect").empty();
  const bool hopeless =
      announced > m_shared->options.max_body_bytes * kDroppedBodyFactor;
  return asks_first || hopeless ? SendAnswer() : MHD_YES;
}

MHD_Result HttpExchange::Receive(std::string_view piece) {
  const size_t limit = m_shared->options.max_body_bytes;
  m_received += piece.size();
  if (m_received > limit * kDroppedBodyFactor) {
    return MHD_NO;
  }
  if (m_error_status == 0 && m_received > limit) {
    m_error_status = kPayloadTooLarge;
    m_error = "body: found more than allowed: at most " + std::to_string(limit);
  }
  if (m_error_status == 0 && !ReserveBody(piece.size())) {
    m_error_status = kServiceUnavailable;
    m_error = "too many request bytes in hand";
  }
  if (m_error_status != 0) {
    m_request.body = std::string();
    return MHD_YES;
  }
  m_request.body.append(piece);
  return MHD_YES;
}

bool HttpExchange::ReserveBody(size_t bytes) {
  const size_t before = m_shared->body_bytes.fetch_add(bytes);
  m_reserved += bytes;
  return before + bytes <= m_shared->options.max_total_body_bytes;
}

MHD_Result HttpExchange::Proceed() {
  bool first = false;
  {
    const std::lock_guard lock(m_mutex);
    if (m_stage == Stage::kGone) {
      return MHD_NO;
    }
    first = m_stage == Stage::kReceiving;
    if (first) {
      m_stage = Stage::kHandling;
    }
  }
  if (first && m_error_status == 0) {
    return Handle();
  }
  return SendAnswer();
}

MHD_Result HttpExchange::Handle() {
  m_request.whole_at = EventLoop::MonoNow();
  m_shared->handler(std::move(m_request), Responder(shared_from_this()));
  {
    const std::lock_guard lock(m_mutex);
    if (m_stage == Stage::kGone || m_shared->stopping) {
      return MHD_NO;
    }
    if (m_stage == Stage::kHandling) {
      m_stage = Stage::kWaiting;
      MHD_suspend_connection(m_connection);
      m_watch = m_shared->watcher.Watch(m_fd, [weak = weak_from_this()] {
        if (const auto exchange = weak.lock()) {
          exchange->BecomeGone();
        }
      });
      return MHD_YES;
    }
  }
  return SendAnswer();
}

void HttpExchange::ResumeLocked() {
  // The library may close the descriptor as soon as it is resumed.
  m_shared->watcher.Unwatch(m_watch);
  MHD_resume_connection(m_connection);
  if (m_shared->on_resumed) {
    m_shared->on_resumed();
  }
}

void HttpExchange::Answer(std::function<HttpResponse()> make) {
  std::function<void()> dropped;
  const std::lock_guard lock(m_mutex);
  if (m_stage != Stage::kHandling && m_stage != Stage::kWaiting) {
    return;
  }
  const bool waiting = m_stage == Stage::kWaiting;
  m_make = std::move(make);
  dropped = std::move(m_on_gone);
  m_stage = Stage::kAnswered;
  if (waiting) {
    ResumeLocked();
  }
}

void HttpExchange::SetOnGone(std::function<void()> on_gone) {
  {
    const std::lock_guard lock(m_mutex);
    if (m_stage == Stage::kHandling || m_stage == Stage::kWaiting) {
      m_on_gone = std::move(on_gone);
      return;
    }
    if (!m_caller_left) {
      return;
    }
  }
  on_gone();
}

void HttpExchange::BecomeGone() {
  std::function<void()> on_gone;
  {
    const std::lock_guard lock(m_mutex);
    if (m_stage != Stage::kHandling && m_stage != Stage::kWaiting) {
      return;
    }
    const bool waiting = m_stage == Stage::kWaiting;
    m_stage = Stage::kGone;
    m_caller_left = true;
    on_gone = std::move(m_on_gone);
    m_on_gone = nullptr;
    if (waiting) {
      ResumeLocked();
    }
  }
  if (on_gone) {
    on_gone();
  }
}

// The descriptor is open in these two stages: the library closes it after
// End() only.
bool HttpExchange::CallerHasLeft() {
  const std::lock_guard lock(m_mutex);
  if (m_stage != Stage::kHandling && m_stage != Stage::kWaiting) {
    return m_caller_left;
  }
  pollfd peer = {.fd = m_fd, .events = POLLRDHUP, .revents = 0};
  return ::poll(&peer, 1, 0) > 0;
}

void HttpExchange::End() {
  m_shared->body_bytes.fetch_sub(std::exchange(m_reserved, 0));
  std::function<HttpResponse()> make;
  const std::lock_guard lock(m_mutex);
  m_stage = Stage::kEnded;
  make = std::move(m_make);
}

MHD_Result HttpExchange::SendAnswer() {
  if (m_error_status != 0) {
    ++m_shared->turned_away;
    return Send(m_shared->error_response(m_error_status, m_error));
  }
  std::function<HttpResponse()> make;
  {
    const std::lock_guard lock(m_mutex);
    make = std::move(m_make);
  }
  return make ? Send(make()) : MHD_NO;
}

MHD_Result HttpExchange::Send(HttpResponse response) {
  const auto status = static_cast<unsigned int>(response.status);
  MHD_Response* made = MakeResponse(std::move(response));
  if (made == nullptr) {
    return MHD_NO;
  }
  if (m_shared->draining) {
    MHD_add_response_header(made, "Connection", "close");
  }
  const MHD_Result result = MHD_queue_response(m_connection, status, made);
  MHD_destroy_response(made);
  return result;
}

}  // namespace egretswitch::internal
