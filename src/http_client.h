// Asynchronous HTTP calls with libcurl on an EventLoop, over persistent
// connections.
//
//   HttpClient http(loop);
//   http.Send({.method = HttpMethod::kGet, .url = "http://127.0.0.1:7900/x"},
//             [](HttpCallResult result) { ... });
//
// The result of a failed call states whether the server may have processed it.
// A request body is sent at most once: libcurl's own retry on a new connection
// is prevented.
#ifndef EGRETSWITCH_SRC_HTTP_CLIENT_H_
#define EGRETSWITCH_SRC_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "event_loop.h"
#include "http_header.h"

namespace egretswitch::internal {

enum class HttpMethod : uint8_t { kGet = 0, kPost, kPut };

struct HttpCall {
  HttpMethod method = HttpMethod::kGet;
  std::string url;
  std::string body;  // JSON unless `content_type` says otherwise; not with kGet
  std::string content_type = "application/json";
  std::vector<HttpHeader> headers = {};
  absl::Duration timeout = absl::Seconds(5);  // until the response is complete
  // When finite, `timeout` only bounds the time until the response body begins,
  // and this bounds each pause within the body. It is meant for bodies that
  // take long to arrive over a slow link.
  absl::Duration body_idle_timeout = absl::InfiniteDuration();
};

// Why a call has no response, and whether the server may have processed it.
enum class HttpFailure : uint8_t {
  kNone = 0,  // the call has a response
  kRefused,   // connection refused: not processed
  kNotSent,   // no connection, or lost before sending: not processed
  kLost,      // connection lost after sending: may have been processed
  kTimeout,   // no response in time after sending: may have been processed
};

// "none", "refused", "not_sent", "lost" or "timeout".
std::string_view HttpFailureName(HttpFailure failure);

struct HttpCallResult {
  HttpFailure failure = HttpFailure::kNone;
  int status = 0;
  std::string body;
};

class HttpClient {
 public:
  using Callback = std::function<void(HttpCallResult)>;

  explicit HttpClient(EventLoop& loop);
  // Drops the calls in flight without running their callbacks.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Runs the callback in a later iteration of the loop, never within Send().
  // The callback must not destroy this client.
  void Send(HttpCall call, Callback callback);

  size_t calls_in_flight() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// Percent-encodes all but the unreserved characters, for a query value.
std::string EscapeQueryValue(std::string_view text);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_HTTP_CLIENT_H_
