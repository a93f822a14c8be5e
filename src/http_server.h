// An HTTP server for requests that are answered later, from any thread, while
// no thread waits for them.
//
//   HttpServer::Create(options, [](HttpRequest request, Responder responder) {
//     queue.Push({request.body, responder});      // returns at once
//   });
//   ... later, elsewhere: responder.Answer({.status = 200, .body = "done"});
#ifndef EGRETSWITCH_SRC_HTTP_SERVER_H_
#define EGRETSWITCH_SRC_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "event_loop.h"
#include "http_header.h"

namespace egretswitch::internal {

struct HttpRequest {
  std::string method;
  std::string path;  // without the query
  std::string authorization;
  std::vector<HttpHeader> headers;  // those that the options name, if present
  std::string body;
  MonoTime whole_at = absl::ZeroDuration();  // when its last byte was read
};

// The value of `name` among the headers; empty when it is not there.
std::string_view FindHeader(const HttpRequest& request, std::string_view name);

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<HttpHeader> headers = {};
};

class HttpExchange;

// Answers one request, once; later answers, and answers to a caller that went
// away, have no effect. Thread-safe and cheap to copy. When the last copy goes
// without an answer, the caller gets status 500.
class Responder {
 public:
  void Answer(HttpResponse response) const;

  // Like Answer(), but `make` runs on the connection's own thread, and not at
  // all when the caller went away.
  void AnswerWith(std::function<HttpResponse()> make) const;

  // Calls `on_gone` once, perhaps from another thread, if the caller goes away
  // before the answer; at once when it has gone already.
  void OnGone(std::function<void()> on_gone) const;

  // Whether the caller's end of input is here already. Asks the connection, so
  // that an end which came right behind the request is seen.
  bool CallerHasLeft() const;

 private:
  friend class HttpExchange;
  class Guard;
  explicit Responder(std::shared_ptr<HttpExchange> exchange);

  std::shared_ptr<Guard> m_guard;
};

// How long a new connection is taken to be about to send its first request.
// Longer than the initial retransmission timeout of TCP, 1 s, since the first
// packet may be lost.
inline constexpr absl::Duration kFirstRequestTimeout = absl::Seconds(2);

struct HttpServerOptions {
  std::string address;  // "127.0.0.1:8080" or "[::1]:8080"; port 0: any
  uint32_t threads = 2;
  uint32_t max_connections = 4096;
  size_t max_body_bytes = 4u << 20;
  // All bodies that are being received or handled, together.
  size_t max_total_body_bytes = 256u << 20;
  // Silence after which a connection is closed, unless it waits for its answer.
  absl::Duration idle_timeout = absl::Seconds(10);
  absl::Duration first_request_timeout = kFirstRequestTimeout;
  // Serves on this loop, without a thread of its own: a request then costs no
  // switch between threads. Null: on `threads` threads.
  EventLoop* loop = nullptr;
  std::vector<std::string> wanted_headers = {};
};

class HttpServer {
 public:
  // Called on a server thread; must not block.
  using Handler = std::function<void(HttpRequest, Responder)>;
  // Makes the response to a request that the server itself turns away.
  using ErrorResponse = std::function<HttpResponse(int, std::string_view)>;

  // Starts to listen. The error names the address and why it failed.
  static absl::StatusOr<std::unique_ptr<HttpServer>> Create(
      HttpServerOptions options,
      Handler handler,
      ErrorResponse error_response);

  // Cuts off every request that is still open. Handlers and their callbacks
  // are not called afterwards.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // From now on each connection is closed after its next answer, so that its
  // caller opens the next one, perhaps elsewhere.
  void CloseAfterAnswers();

  // The same, and takes no new connections. Those that the kernel has accepted
  // are served.
  void StopListening();

  // Whether nothing is left to answer: no request is open, whole or with a part
  // of its body, no connection holds bytes that are not read yet, and no
  // connection accepted less than `first_request_timeout` ago has yet to send
  // its first request.
  bool Quiet() const;

  // Waits until Quiet(); false when `timeout` passes first. Only with threads
  // of the server's own.
  bool WaitUntilIdle(absl::Duration timeout);

  size_t open_requests() const;

  // Open connections that have not carried a request.
  size_t unused_connections() const;

  // Requests that the server itself answered with an error, so far.
  uint64_t turned_away_requests() const;

  uint16_t port() const;

 private:
  friend class HttpExchange;
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_HTTP_SERVER_H_
