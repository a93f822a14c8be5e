// One request on its way through the server: its body while it arrives, the
// wait for its answer, and the answer.
//
//   receiving -> handling -> waiting -> answered      the usual way
//                         \-> answered                answered by the handler
//                             waiting -> gone         the caller went away
#ifndef EGRETSWITCH_SRC_HTTP_EXCHANGE_H_
#define EGRETSWITCH_SRC_HTTP_EXCHANGE_H_

#include <microhttpd.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "disconnect_watcher.h"
#include "http_server.h"

namespace egretswitch::internal {

// What all exchanges of a server share.
struct ExchangeShared {
  HttpServerOptions options;
  HttpServer::Handler handler;
  HttpServer::ErrorResponse error_response;
  DisconnectWatcher watcher;
  std::atomic<size_t> body_bytes{0};
  std::atomic<uint64_t> turned_away{0};
  // Called after a connection was resumed, from any thread; may be unset.
  std::function<void()> on_resumed;
  std::atomic<bool> draining{false};
  std::atomic<bool> stopping{false};
};

class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  HttpExchange(ExchangeShared* shared, MHD_Connection* connection);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  // The three calls of the library, all on the connection's thread: the header
  // is complete, a piece of the body came, and the body is complete or the
  // connection has been resumed.
  MHD_Result Begin(const char* method, const char* path);
  MHD_Result Receive(std::string_view piece);
  MHD_Result Proceed();

  // The library is done with the request; the connection must not be touched.
  void End();

  // From any thread.
  void Answer(std::function<HttpResponse()> make);
  void SetOnGone(std::function<void()> on_gone);
  void BecomeGone();
  bool CallerHasLeft();

 private:
  enum class Stage : uint8_t {
    kReceiving,
    kHandling,
    kWaiting,
    kAnswered,
    kGone,
    kEnded
  };

  MHD_Result Handle();
  void ResumeLocked();
  MHD_Result SendAnswer();
  MHD_Result Send(HttpResponse response);
  bool ReserveBody(size_t bytes);

  ExchangeShared* const m_shared;
  MHD_Connection* const m_connection;
  const int m_fd;

  // Of the connection's thread only.
  HttpRequest m_request;
  size_t m_received = 0;
  size_t m_reserved = 0;
  int m_error_status = 0;
  std::string m_error;

  std::mutex m_mutex;  // guards all that follows
  Stage m_stage = Stage::kReceiving;
  std::function<HttpResponse()> m_make;
  std::function<void()> m_on_gone;
  bool m_caller_left = false;  // before the answer
  uint64_t m_watch = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_HTTP_EXCHANGE_H_
