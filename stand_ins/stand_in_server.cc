#include "stand_in_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <cstring>
#include <utility>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace egretswitch::stand_ins {
namespace {

constexpr size_t kMaxBodyBytes = 16u << 20;

MHD_Result QueueReply(MHD_Connection* connection,
                      int status,
                      const std::string& body) {
  MHD_Response* response = MHD_create_response_from_buffer(
      body.size(), const_cast<char*>(body.data()), MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                          "application/json");
  const MHD_Result result =
      MHD_queue_response(connection, static_cast<unsigned>(status), response);
  MHD_destroy_response(response);
  return result;
}

MHD_Result CollectQuery(void* closure,
                        MHD_ValueKind,
                        const char* key,
                        const char* value) {
  auto* request = static_cast<HttpRequest*>(closure);
  request->query[key] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result CollectHeader(void* closure,
                         MHD_ValueKind,
                         const char* key,
                         const char* value) {
  auto* request = static_cast<HttpRequest*>(closure);
  request->headers[absl::AsciiStrToLower(key)] = value == nullptr ? "" : value;
  return MHD_YES;
}

}  // namespace

uint64_t HttpRequest::QueryNumber(std::string_view name,
                                  uint64_t fallback) const {
  uint64_t value = 0;
  return absl::SimpleAtoi(QueryText(name), &value) ? value : fallback;
}

std::string HttpRequest::QueryText(std::string_view name) const {
  const auto it = query.find(name);
  return it == query.end() ? "" : it->second;
}

HttpReply::HttpReply(MHD_Connection* connection) : m_connection(connection) {}

void HttpReply::Send(int status, std::string body) {
  Settle(State::kAnswered, status, std::move(body));
}

void HttpReply::Drop() {
  Settle(State::kDropped, 0, "");
}

void HttpReply::Settle(State state, int status, std::string body) {
  const std::lock_guard lock(m_mutex);
  if (m_state != State::kOpen) {
    return;
  }
  m_state = state;
  m_status = status;
  m_body = std::move(body);
  if (m_suspended) {
    m_suspended = false;
    MHD_resume_connection(m_connection);
  }
}

// One request from its first line to the end of its reply.
struct HttpServer::Exchange {
  HttpRequest request;
  bool too_large = false;
  std::shared_ptr<HttpReply> reply;
};

// The functions that libmicrohttpd calls on the server's thread.
struct HttpServer::Callbacks {
  static MHD_Result OnRequest(void* closure,
                              MHD_Connection* connection,
                              const char* url,
                              const char* method,
                              const char*,
                              const char* upload,
                              size_t* upload_size,
                              void** exchange_slot) {
    auto* server = static_cast<HttpServer*>(closure);
    if (*exchange_slot == nullptr) {
      auto* exchange = new Exchange;
      exchange->request.method = method;
      exchange->request.path = url;
      *exchange_slot = exchange;
      return MHD_YES;
    }
    auto* exchange = static_cast<Exchange*>(*exchange_slot);
    if (*upload_size > 0) {
      TakeUpload(exchange, upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
    if (exchange->too_large) {
      return QueueReply(connection, MHD_HTTP_CONTENT_TOO_LARGE, "{}");
    }
    if (exchange->reply == nullptr) {
      Dispatch(server, exchange, connection);
    }
    return Reply(exchange->reply.get(), connection);
  }

  static void TakeUpload(Exchange* exchange, const char* data, size_t size) {
    if (exchange->request.body.size() + size > kMaxBodyBytes) {
      exchange->too_large = true;
      return;
    }
    exchange->request.body.append(data, size);
  }

  static void Dispatch(HttpServer* server,
                       Exchange* exchange,
                       MHD_Connection* connection) {
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, CollectQuery,
                              &exchange->request);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, CollectHeader,
                              &exchange->request);
    exchange->reply = std::make_shared<HttpReply>(connection);
    if (server->Remember(exchange->reply)) {
      server->m_handler(exchange->request, exchange->reply);
    } else {
      exchange->reply->Send(MHD_HTTP_SERVICE_UNAVAILABLE,
                            "{\"error\":\"stopping\"}");
    }
  }

  // Sends what is known, or suspends the connection until Settle() resumes it
  // and libmicrohttpd asks again.
  static MHD_Result Reply(HttpReply* reply, MHD_Connection* connection) {
    const std::lock_guard lock(reply->m_mutex);
    switch (reply->m_state) {
      case HttpReply::State::kOpen:
        reply->m_suspended = true;
        MHD_suspend_connection(connection);
        return MHD_YES;
      case HttpReply::State::kAnswered:
        return QueueReply(connection, reply->m_status, reply->m_body);
      case HttpReply::State::kDropped:
      case HttpReply::State::kGone:
        break;
    }
    return MHD_NO;
  }

  static void OnCompleted(void* closure,
                          MHD_Connection*,
                          void** exchange_slot,
                          MHD_RequestTerminationCode) {
    auto* server = static_cast<HttpServer*>(closure);
    auto* exchange = static_cast<Exchange*>(*exchange_slot);
    if (exchange == nullptr) {
      return;
    }
    if (exchange->reply != nullptr) {
      exchange->reply->Settle(HttpReply::State::kGone, 0, "");
      server->Forget(exchange->reply);
    }
    delete exchange;
    *exchange_slot = nullptr;
  }
};

HttpServer::~HttpServer() {
  Stop();
}

absl::Status HttpServer::Start(const HttpServerOptions& options,
                               Handler handler) {
  sockaddr_in address;
  std::memset(&address, 0, sizeof(address));
  address.sin_family = AF_INET;
  address.sin_port = htons(options.port);
  if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1) {
    return absl::InvalidArgumentError(absl::StrCat(
        "address: found ", options.address, ", allowed a numeric IPv4 one"));
  }
  m_handler = std::move(handler);
  m_daemon = MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, options.port,
      nullptr, nullptr, &Callbacks::OnRequest, this, MHD_OPTION_SOCK_ADDR,
      reinterpret_cast<sockaddr*>(&address), MHD_OPTION_CONNECTION_LIMIT,
      options.connections, MHD_OPTION_NOTIFY_COMPLETED, &Callbacks::OnCompleted,
      this, MHD_OPTION_CONNECTION_MEMORY_LIMIT, size_t{64} << 10,
      MHD_OPTION_END);
  if (m_daemon == nullptr) {
    return absl::UnavailableError(
        absl::StrCat("cannot listen on ", options.address, ":", options.port));
  }
  m_port = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  return absl::OkStatus();
}

// A suspended connection would keep MHD_stop_daemon from ending. An open
// request may have taken effect, so its connection ends without a reply.
void HttpServer::Stop() {
  if (m_daemon == nullptr) {
    return;
  }
  std::vector<std::shared_ptr<HttpReply>> open;
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    open.assign(m_open.begin(), m_open.end());
  }
  for (const auto& reply : open) {
    reply->Drop();
  }
  MHD_stop_daemon(m_daemon);
  m_daemon = nullptr;
}

bool HttpServer::Remember(const std::shared_ptr<HttpReply>& reply) {
  const std::lock_guard lock(m_mutex);
  if (!m_stopping) {
    m_open.insert(reply);
  }
  return !m_stopping;
}

void HttpServer::Forget(const std::shared_ptr<HttpReply>& reply) {
  const std::lock_guard lock(m_mutex);
  m_open.erase(reply);
}

}  // namespace egretswitch::stand_ins
