#include "http_server.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <iterator>
#include <mutex>
#include <thread>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "http_exchange.h"
#include "open_connections.h"

namespace egretswitch::internal {
namespace {

// Per connection, for headers and the piece of the body that is in hand.
constexpr size_t kConnectionMemoryBytes = 16 * 1024;

// Between two looks for unread bytes.
constexpr std::chrono::milliseconds kLookAgain(5);

// A numeric address in the form that the system calls want.
struct ListenAddress {
  sockaddr_storage storage{};
  bool ipv6 = false;
};

absl::StatusOr<ListenAddress> ParseListenAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  uint32_t port = 0;
  ListenAddress address;
  if (colon != std::string::npos &&
      absl::SimpleAtoi(text.substr(colon + 1), &port) && port <= 65535) {
    std::string host = text.substr(0, colon);
    auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
    if (inet_pton(AF_INET, host.c_str(), &v4->sin_addr) == 1) {
      v4->sin_family = AF_INET;
      v4->sin_port = htons(static_cast<uint16_t>(port));
      return address;
    }
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
      host = host.substr(1, host.size() - 2);
      auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
      if (inet_pton(AF_INET6, host.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(static_cast<uint16_t>(port));
        address.ipv6 = true;
        return address;
      }
    }
  }
  return absl::InvalidArgumentError(absl::StrCat(
      "listen address: found \"", text,
      "\", allowed: IP number and port, for example 127.0.0.1:8080"));
}

// Lets no new handshake begin: closing a listener resets what has been accepted
// since the last accept(). The client asks anew after a second and is refused.
// A kernel without filters still has a working listener.
void RefuseHandshakes(int listener) {
  constexpr uint32_t kTcpFlagsOffset = 13;
  constexpr uint32_t kSyn = 0x02;
  constexpr uint32_t kWhole = 0xffffffff;
  sock_filter program[] = {
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kTcpFlagsOffset),
      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kSyn, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, kWhole),
  };
  const sock_fprog filter = {.len = std::size(program), .filter = program};
  ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
}

int ConnectionFd(MHD_Connection* connection) {
  return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

// Keeps the exchange alive until the answer, and answers for a handler that
// forgot to.
HttpResponse UnansweredResponse() {
  return {.status = 500, .body = "{\"error\":\"internal error\"}"};
}

}  // namespace

class Responder::Guard {
 public:
  explicit Guard(std::shared_ptr<HttpExchange> exchange)
      : m_exchange(std::move(exchange)) {}
  ~Guard() { m_exchange->Answer(&UnansweredResponse); }
  Guard(const Guard&) = delete;
  Guard& operator=(const Guard&) = delete;

  HttpExchange& exchange() const { return *m_exchange; }

 private:
  const std::shared_ptr<HttpExchange> m_exchange;
};

Responder::Responder(std::shared_ptr<HttpExchange> exchange)
    : m_guard(std::make_shared<Guard>(std::move(exchange))) {}

void Responder::Answer(HttpResponse response) const {
  auto shared = std::make_shared<HttpResponse>(std::move(response));
  AnswerWith([shared = std::move(shared)] { return std::move(*shared); });
}

void Responder::AnswerWith(std::function<HttpResponse()> make) const {
  m_guard->exchange().Answer(std::move(make));
}

void Responder::OnGone(std::function<void()> on_gone) const {
  m_guard->exchange().SetOnGone(std::move(on_gone));
}

bool Responder::CallerHasLeft() const {
  return m_guard->exchange().CallerHasLeft();
}

class HttpServer::Impl {
 public:
  Impl(HttpServerOptions options, Handler handler, ErrorResponse error) {
    m_shared.options = std::move(options);
    m_shared.handler = std::move(handler);
    m_shared.error_response = std::move(error);
  }
  ~Impl() { Stop(); }

  absl::Status Start();
  void CloseAfterAnswers() { m_shared.draining = true; }
  void StopListening();
  bool Quiet() const;
  bool WaitUntilIdle(absl::Duration timeout);
  size_t open_requests() const;
  size_t unused_connections() const { return m_connections.unused(); }
  uint64_t turned_away_requests() const { return m_shared.turned_away; }
  uint16_t port() const { return m_port; }

 private:
  static MHD_Result Access(void* self,
                           MHD_Connection* connection,
                           const char* url,
                           const char* method,
                           const char* version,
                           const char* data,
                           size_t* data_size,
                           void** slot);
  static void Completed(void* self,
                        MHD_Connection* connection,
                        void** slot,
                        MHD_RequestTerminationCode code);

  static void NoteConnection(void* self,
                             MHD_Connection* connection,
                             void** slot,
                             MHD_ConnectionNotificationCode code);

  std::shared_ptr<HttpExchange>* Open(MHD_Connection* connection);
  void TakeWaitingConnections(int listener);
  void ServeOnLoop();
  void RunOnce();
  void RunAtTurnEnd();
  void Stop();

  ExchangeShared m_shared;
  OpenConnections m_connections;
  MHD_Daemon* m_daemon = nullptr;
  uint16_t m_port = 0;
  std::atomic<bool> m_listening_stopped{false};
  int m_epoll = -1;  // the library's, watched by the loop
  EventLoop::TimerId m_timer = 0;
  bool m_run_due = false;
  // Its end tells callbacks of the loop that the server is gone.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  mutable std::mutex m_mutex;      // guards m_open
  std::condition_variable m_idle;  // m_open became empty
  absl::flat_hash_map<HttpExchange*, std::weak_ptr<HttpExchange>> m_open;
};

// With a loop the library's own epoll descriptor is watched: it becomes ready
// when any connection does. A connection that is resumed does not wait for
// that: the library runs at the end of the same turn, and the answers of one
// turn leave together.
void HttpServer::Impl::ServeOnLoop() {
  EventLoop* const loop = m_shared.options.loop;
  const int epoll =
      MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  loop->Watch(epoll, EPOLLIN, [this](uint32_t) { RunOnce(); });
  m_epoll = epoll;
  m_shared.on_resumed = [this, loop, owner = std::this_thread::get_id(),
                         weak = std::weak_ptr(m_alive)] {
    const auto run = [this, weak] {
      if (!weak.expired()) {
        RunAtTurnEnd();
      }
    };
    if (std::this_thread::get_id() == owner) {
      run();
    } else {
      loop->Post(run);
    }
  };
}

void HttpServer::Impl::RunAtTurnEnd() {
  if (std::exchange(m_run_due, true)) {
    return;
  }
  m_shared.options.loop->AtTurnEnd([this, weak = std::weak_ptr(m_alive)] {
    if (!weak.expired()) {
      m_run_due = false;
      RunOnce();
    }
  });
}

void HttpServer::Impl::RunOnce() {
  MHD_run(m_daemon);
  EventLoop& loop = *m_shared.options.loop;
  loop.Cancel(m_timer);
  m_timer = 0;
  MHD_UNSIGNED_LONG_LONG wait_ms = 0;
  if (MHD_get_timeout(m_daemon, &wait_ms) == MHD_YES) {
    m_timer = loop.RunAfter(absl::Milliseconds(wait_ms), [this] {
      m_timer = 0;
      RunOnce();
    });
  }
}

absl::Status HttpServer::Impl::Start() {
  const HttpServerOptions& options = m_shared.options;
  absl::StatusOr<ListenAddress> address = ParseListenAddress(options.address);
  if (!address.ok()) {
    return address.status();
  }
  unsigned int flags = MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
  flags |=
      options.loop != nullptr ? MHD_USE_EPOLL : MHD_USE_EPOLL_INTERNAL_THREAD;
  if (address->ipv6) {
    flags |= MHD_USE_IPv6;
  }
  const auto idle_seconds = static_cast<unsigned int>(
      absl::ToInt64Seconds(absl::Ceil(options.idle_timeout, absl::Seconds(1))));
  // A pool of one is not allowed: the library then wants plain threading.
  const unsigned int pool =
      options.threads > 1 && options.loop == nullptr ? options.threads : 0;
  m_daemon = MHD_start_daemon(
      flags, 0, nullptr, nullptr, &Impl::Access, this, MHD_OPTION_SOCK_ADDR,
      reinterpret_cast<sockaddr*>(&address->storage),
      MHD_OPTION_NOTIFY_COMPLETED, &Impl::Completed, this,
      MHD_OPTION_NOTIFY_CONNECTION, &Impl::NoteConnection, this,
      MHD_OPTION_THREAD_POOL_SIZE, pool, MHD_OPTION_CONNECTION_LIMIT,
      static_cast<unsigned int>(options.max_connections),
      MHD_OPTION_CONNECTION_TIMEOUT, idle_seconds,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemoryBytes,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
  if (m_daemon == nullptr) {
    return absl::UnavailableError(absl::StrCat(
        "cannot listen on ", options.address, ": ", std::strerror(errno)));
  }
  m_port = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  if (options.loop != nullptr) {
    ServeOnLoop();
  }
  return absl::OkStatus();
}

MHD_Result HttpServer::Impl::Access(void* self,
                                    MHD_Connection* connection,
                                    const char* url,
                                    const char* method,
                                    const char* /*version*/,
                                    const char* data,
                                    size_t* data_size,
                                    void** slot) {
  auto* impl = static_cast<Impl*>(self);
  auto* exchange = static_cast<std::shared_ptr<HttpExchange>*>(*slot);
  if (exchange == nullptr) {
    exchange = impl->Open(connection);
    *slot = exchange;
    return (*exchange)->Begin(method, url);
  }
  if (*data_size > 0) {
    const std::string_view piece(data, *data_size);
    *data_size = 0;
    return (*exchange)->Receive(piece);
  }
  return (*exchange)->Proceed();
}

std::shared_ptr<HttpExchange>* HttpServer::Impl::Open(
    MHD_Connection* connection) {
  auto exchange = std::make_shared<HttpExchange>(&m_shared, connection);
  {
    const std::lock_guard lock(m_mutex);
    m_open.emplace(exchange.get(), exchange);
  }
  m_connections.RequestBegan(ConnectionFd(connection));
  return new std::shared_ptr<HttpExchange>(std::move(exchange));
}

void HttpServer::Impl::Completed(void* self,
                                 MHD_Connection* /*connection*/,
                                 void** slot,
                                 MHD_RequestTerminationCode /*code*/) {
  auto* impl = static_cast<Impl*>(self);
  const std::unique_ptr<std::shared_ptr<HttpExchange>> exchange(
      static_cast<std::shared_ptr<HttpExchange>*>(*slot));
  *slot = nullptr;
  if (exchange == nullptr) {
    return;
  }
  (*exchange)->End();
  const std::lock_guard lock(impl->m_mutex);
  impl->m_open.erase(exchange->get());
  if (impl->m_open.empty()) {
    impl->m_idle.notify_all();
  }
}

void HttpServer::Impl::NoteConnection(void* self,
                                      MHD_Connection* connection,
                                      void** /*slot*/,
                                      MHD_ConnectionNotificationCode code) {
  auto* impl = static_cast<Impl*>(self);
  const int fd = ConnectionFd(connection);
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    impl->m_connections.Opened(fd, EventLoop::MonoNow());
  } else {
    impl->m_connections.Closed(fd);
  }
}

void HttpServer::Impl::StopListening() {
  m_shared.draining = true;
  if (m_listening_stopped.exchange(true)) {
    return;
  }
  const MHD_socket listener = MHD_quiesce_daemon(m_daemon);
  if (listener != MHD_INVALID_SOCKET) {
    RefuseHandshakes(listener);
    TakeWaitingConnections(listener);
    close(listener);
  }
}

// Those that the library has not taken from the kernel yet.
void HttpServer::Impl::TakeWaitingConnections(int listener) {
  while (true) {
    sockaddr_storage peer{};
    socklen_t size = sizeof(peer);
    const int fd = ::accept4(listener, reinterpret_cast<sockaddr*>(&peer),
                             &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0 && errno != ECONNABORTED && errno != EINTR) {
      break;
    }
    if (fd >= 0) {
      // The library closes what it can't take.
      MHD_add_connection(m_daemon, fd, reinterpret_cast<sockaddr*>(&peer),
                         size);
    }
  }
  if (m_shared.options.loop != nullptr) {
    RunAtTurnEnd();
  }
}

// A connection that has carried a request and is idle does not count: callers
// keep such connections for long, and HTTP/1.1 lets either side end them.
bool HttpServer::Impl::Quiet() const {
  const MonoTime oldest_awaited =
      EventLoop::MonoNow() - m_shared.options.first_request_timeout;
  return open_requests() == 0 && !m_connections.AnyUnread() &&
         !m_connections.AnyUnusedSince(oldest_awaited);
}

bool HttpServer::Impl::WaitUntilIdle(absl::Duration timeout) {
  const auto end =
      std::chrono::steady_clock::now() + absl::ToChronoNanoseconds(timeout);
  while (!Quiet()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::unique_lock lock(m_mutex);
    m_idle.wait_for(lock, kLookAgain);
  }
  return true;
}

size_t HttpServer::Impl::open_requests() const {
  const std::lock_guard lock(m_mutex);
  return m_open.size();
}

// The library ends the process when it is stopped with a suspended connection,
// so all of them are resumed first; `stopping` keeps others from suspending.
void HttpServer::Impl::Stop() {
  if (m_daemon == nullptr) {
    return;
  }
  m_shared.stopping = true;
  std::vector<std::shared_ptr<HttpExchange>> open;
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& [raw, weak] : m_open) {
      if (auto exchange = weak.lock()) {
        open.push_back(std::move(exchange));
      }
    }
  }
  for (const auto& exchange : open) {
    exchange->BecomeGone();
  }
  open.clear();
  if (m_epoll >= 0) {
    m_alive.reset();
    m_shared.options.loop->Unwatch(m_epoll);
    m_shared.options.loop->Cancel(m_timer);
    // Lets the library see the resumed connections before it stops.
    MHD_run(m_daemon);
  }
  MHD_stop_daemon(m_daemon);
  m_daemon = nullptr;
}

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::Create(
    HttpServerOptions options,
    Handler handler,
    ErrorResponse error_response) {
  auto impl = std::make_unique<Impl>(std::move(options), std::move(handler),
                                     std::move(error_response));
  if (absl::Status status = impl->Start(); !status.ok()) {
    return status;
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

HttpServer::~HttpServer() = default;

void HttpServer::CloseAfterAnswers() {
  m_impl->CloseAfterAnswers();
}

void HttpServer::StopListening() {
  m_impl->StopListening();
}

bool HttpServer::Quiet() const {
  return m_impl->Quiet();
}

bool HttpServer::WaitUntilIdle(absl::Duration timeout) {
  return m_impl->WaitUntilIdle(timeout);
}

size_t HttpServer::open_requests() const {
  return m_impl->open_requests();
}

size_t HttpServer::unused_connections() const {
  return m_impl->unused_connections();
}

uint64_t HttpServer::turned_away_requests() const {
  return m_impl->turned_away_requests();
}

std::string_view FindHeader(const HttpRequest& request, std::string_view name) {
  for (const HttpHeader& header : request.headers) {
    if (header.name == name) {
      return header.value;
    }
  }
  return {};
}

uint16_t HttpServer::port() const {
  return m_impl->port();
}

}  // namespace egretswitch::internal
