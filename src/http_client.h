// HTTP calls by libcurl on an EventLoop, with connections kept open.
//
//   HttpClient http(loop);
//   http.Send({.method = HttpMethod::kGet, .url = "http://127.0.0.1:7900/x"},
//             [](HttpCallResult result) { ... });
//
// A call that failed says whether the server may have acted on it. A call is
// sent at most once: libcurl's own second try on a fresh connection is cut off.
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
  absl::Duration timeout = absl::Seconds(5);  // until the whole answer is here
  // When finite, `timeout` only counts until the answer's body begins, and this
  // is the longest pause within it: for bodies that a narrow link takes long to
  // carry.
  absl::Duration body_idle_timeout = absl::InfiniteDuration();
};

// What is known of a call that has no response.
enum class HttpFailure : uint8_t {
  kNone = 0,  // there is a response
  kRefused,   // the host refused the connection: certainly not done
  kNotSent,   // no connection, or lost before sending: certainly not done
  kLost,      // the connection ended after sending: may have been done
  kTimeout,   // no reply in time after sending: may have been done
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
  // Calls under way are dropped; their callbacks never run.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // The callback runs in a later turn of the loop, never within Send(). It must
  // not destroy this client.
  void Send(HttpCall call, Callback callback);

  size_t calls_in_flight() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// `text` with everything but unreserved characters as %XX, for a query value.
std::string EscapeQueryValue(std::string_view text);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_HTTP_CLIENT_H_
