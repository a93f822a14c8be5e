// A small HTTP server for the stand-ins: one thread, replies at once or later.
//
//   HttpServer server;
//   server.Start({"127.0.0.1", 0, 64}, [](const HttpRequest& request,
//                                         std::shared_ptr<HttpReply> reply) {
//     reply->Send(200, "{}");      // now, or from any thread later
//   });
#ifndef EGRETSWITCH_STAND_INS_STAND_IN_SERVER_H_
#define EGRETSWITCH_STAND_INS_STAND_IN_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

#include "absl/status/status.h"

struct MHD_Connection;
struct MHD_Daemon;

namespace egretswitch::stand_ins {

struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string, std::less<>> query;
  std::map<std::string, std::string, std::less<>> headers;  // by small letters
  std::string body;

  // Query value `name` as a number, or `fallback` when absent or malformed.
  uint64_t QueryNumber(std::string_view name, uint64_t fallback) const;
  // Query value `name`, "" when absent.
  std::string QueryText(std::string_view name) const;
};

// The open reply to one request. Only the first answer counts.
class HttpReply {
 public:
  explicit HttpReply(MHD_Connection* connection);

  void Send(int status, std::string body);
  // Ends the connection without a word.
  void Drop();

 private:
  friend class HttpServer;
  enum class State { kOpen, kAnswered, kDropped, kGone };

  void Settle(State state, int status, std::string body);

  std::mutex m_mutex;
  MHD_Connection* const m_connection;
  State m_state = State::kOpen;
  bool m_suspended = false;
  int m_status = 0;
  std::string m_body;
};

struct HttpServerOptions {
  std::string address = "127.0.0.1";  // numeric
  uint16_t port = 0;                  // 0: any free one
  uint32_t connections = 64;
};

class HttpServer {
 public:
  using Handler =
      std::function<void(const HttpRequest&, std::shared_ptr<HttpReply>)>;

  HttpServer() = default;
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  absl::Status Start(const HttpServerOptions& options, Handler handler);
  // Closes all connections; an open request gets no reply.
  void Stop();

  uint16_t port() const { return m_port; }

 private:
  friend class HttpReply;
  struct Exchange;
  struct Callbacks;

  // False once Stop() has begun: the request must not be handled.
  bool Remember(const std::shared_ptr<HttpReply>& reply);
  void Forget(const std::shared_ptr<HttpReply>& reply);

  Handler m_handler;
  MHD_Daemon* m_daemon = nullptr;
  uint16_t m_port = 0;
  std::mutex m_mutex;
  bool m_stopping = false;
  std::set<std::shared_ptr<HttpReply>> m_open;
};

}  // namespace egretswitch::stand_ins

#endif  // EGRETSWITCH_STAND_INS_STAND_IN_SERVER_H_
