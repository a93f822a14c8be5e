// libcurl's two callbacks, OnSocket and OnTimer, set which sockets the loop
// watches and when it calls libcurl again. curl_multi_socket_action() does
// everything else.
//
// When a reused connection ends without a byte of response, libcurl sends the
// request again on a new one. An append or a start would then be processed
// twice. So libcurl gets a request body only once (OnReadBody, OnRewind), and
// the call ends as kLost.
#include "http_client.h"

#include <curl/curl.h>
#include <fcntl.h>
#include <sys/epoll.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "internal_assert.h"
#include "tcp_socket.h"
#include "wake_timer.h"

namespace egretswitch::internal {
namespace {

constexpr size_t kMaxResponseBytes = 64u << 20;
constexpr size_t kMaxIdleHandles = 16;
constexpr long kMaxIdleConnections = 32;

// One call in flight.
struct Transfer {
  CURL* easy = nullptr;
  HttpCall call;
  HttpClient::Callback callback;
  size_t body_read = 0;
  bool body_requested = false;  // libcurl has called OnReadBody
  curl_slist* headers = nullptr;
  std::string response;
  MonoTime last_progress = absl::ZeroDuration();  // sending, or last body bytes

  bool HasIdleTimeout() const {
    return call.body_idle_timeout != absl::InfiniteDuration();
  }
  // Returns when the call times out for lack of progress, or infinity if
  // libcurl enforces the timeout of the whole call.
  MonoTime IdleDeadline() const {
    if (!HasIdleTimeout()) {
      return absl::InfiniteDuration();
    }
    return last_progress +
           (response.empty() ? call.timeout : call.body_idle_timeout);
  }
};

size_t OnReadBody(char* buffer, size_t size, size_t count, void* closure) {
  auto* transfer = static_cast<Transfer*>(closure);
  transfer->body_requested = true;
  const std::string& body = transfer->call.body;
  const size_t length =
      std::min(size * count, body.size() - transfer->body_read);
  std::memcpy(buffer, body.data() + transfer->body_read, length);
  transfer->body_read += length;
  return length;
}

// libcurl rewinds the body before it sends a request again. Refusing the rewind
// makes the call fail instead.
int OnRewind(void*, curl_off_t, int) {
  return CURL_SEEKFUNC_FAIL;
}

size_t OnResponseData(char* data, size_t size, size_t count, void* closure) {
  auto* transfer = static_cast<Transfer*>(closure);
  const size_t length = size * count;
  if (transfer->response.size() + length > kMaxResponseBytes) {
    return 0;
  }
  transfer->response.append(data, length);
  transfer->last_progress = EventLoop::MonoNow();
  return length;
}

// A GET has no side effects, so whether it was sent is only tracked for the
// other methods.
HttpFailure ClassifyFailure(const Transfer& transfer, CURLcode code) {
  const bool sent =
      transfer.call.method != HttpMethod::kGet && transfer.body_requested;
  if (code == CURLE_COULDNT_CONNECT && !sent) {
    long os_error = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_OS_ERRNO, &os_error);
    return os_error == ECONNREFUSED ? HttpFailure::kRefused
                                    : HttpFailure::kNotSent;
  }
  if (transfer.call.method != HttpMethod::kGet && !sent) {
    return HttpFailure::kNotSent;
  }
  return code == CURLE_OPERATION_TIMEDOUT ? HttpFailure::kTimeout
                                          : HttpFailure::kLost;
}

// The empty Expect header avoids a "100 Continue" round trip before a body.
curl_slist* MakeHeaders(const HttpCall& call) {
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  if (call.method != HttpMethod::kGet) {
    const std::string type = "Content-Type: " + call.content_type;
    headers = curl_slist_append(headers, type.c_str());
  }
  for (const HttpHeader& header : call.headers) {
    const std::string line = header.name + ": " + header.value;
    headers = curl_slist_append(headers, line.c_str());
  }
  return headers;
}

// A connection may be lost without a reset, also while a call waits for a long
// time; keep-alive probes detect this within seconds. FD_CLOEXEC keeps child
// processes from inheriting the socket: with a copy left open, the server would
// not see the connection close.
int OnNewSocket(void*, curl_socket_t fd, curlsocktype) {
  SetLinkOptions(fd);
  ::fcntl(fd, F_SETFD, FD_CLOEXEC);
  return CURL_SOCKOPT_OK;
}

void InitLibraryOnce() {
  static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
  InternalAssert(code == CURLE_OK, "curl_global_init failed",
                 curl_easy_strerror(code));
}

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(EventLoop& loop);
  ~Impl();

  void Send(HttpCall call, Callback callback);
  size_t calls_in_flight() const { return m_transfers.size(); }

 private:
  static int OnSocket(CURL*, curl_socket_t fd, int what, void* self, void*);
  static int OnTimer(CURLM*, long timeout_ms, void* self);

  void WatchSocket(int fd, int what);
  void Act(int fd, int curl_events);
  void FinishTransfers();
  void Finish(CURL* easy, CURLcode code);
  void ArmIdleTimer();
  void EndIdleCalls();
  CURL* TakeHandle();
  void ReturnHandle(CURL* easy);
  void Configure(Transfer* transfer);

  EventLoop& m_loop;
  CURLM* const m_multi;
  EventLoop::TimerId m_timer = 0;
  std::unordered_set<int> m_watched;
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> m_transfers;
  std::vector<CURL*> m_idle_handles;
  WakeTimer m_idle_timer{m_loop, [this] { EndIdleCalls(); }};
};

HttpClient::Impl::Impl(EventLoop& loop)
    : m_loop(loop), m_multi((InitLibraryOnce(), curl_multi_init())) {
  // libcurl's default limit follows the number of calls in flight: with few of
  // them it would close connections that the next burst of calls needs.
  curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &OnSocket);
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &OnTimer);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
}

HttpClient::Impl::~Impl() {
  for (auto& [easy, transfer] : m_transfers) {
    curl_multi_remove_handle(m_multi, easy);
    curl_easy_cleanup(easy);
    curl_slist_free_all(transfer->headers);
  }
  for (CURL* easy : m_idle_handles) {
    curl_easy_cleanup(easy);
  }
  curl_multi_cleanup(m_multi);
  for (const int fd : m_watched) {
    m_loop.Unwatch(fd);
  }
  m_loop.Cancel(m_timer);
}

void HttpClient::Impl::Send(HttpCall call, Callback callback) {
  auto transfer = std::make_unique<Transfer>();
  transfer->easy = TakeHandle();
  transfer->call = std::move(call);
  transfer->callback = std::move(callback);
  transfer->last_progress = EventLoop::MonoNow();
  Configure(transfer.get());
  CURL* const easy = transfer->easy;
  m_transfers.emplace(easy, std::move(transfer));
  curl_multi_add_handle(m_multi, easy);
  ArmIdleTimer();
}

void HttpClient::Impl::Configure(Transfer* transfer) {
  CURL* const easy = transfer->easy;
  const HttpCall& call = transfer->call;
  curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  transfer->headers = MakeHeaders(call);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &OnNewSocket);
  if (!transfer->HasIdleTimeout()) {
    const long timeout_ms =
        std::max<long>(1, absl::ToInt64Milliseconds(call.timeout));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  }
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnResponseData);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
  if (call.method == HttpMethod::kGet) {
    return;
  }
  curl_easy_setopt(easy, CURLOPT_POST, 1L);
  if (call.method == HttpMethod::kPut) {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
  }
  curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(call.body.size()));
  curl_easy_setopt(easy, CURLOPT_READFUNCTION, &OnReadBody);
  curl_easy_setopt(easy, CURLOPT_READDATA, transfer);
  curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, &OnRewind);
  curl_easy_setopt(easy, CURLOPT_SEEKDATA, transfer);
}

int HttpClient::Impl::OnSocket(CURL*,
                               curl_socket_t fd,
                               int what,
                               void* self,
                               void*) {
  static_cast<Impl*>(self)->WatchSocket(fd, what);
  return 0;
}

void HttpClient::Impl::WatchSocket(int fd, int what) {
  if (what == CURL_POLL_REMOVE) {
    // When a connection attempt times out, libcurl closes the socket before it
    // reports the removal.
    if (m_watched.erase(fd) > 0) {
      m_loop.UnwatchClosed(fd);
    }
    return;
  }
  uint32_t events = 0;
  if ((what & CURL_POLL_IN) != 0) {
    events |= EPOLLIN;
  }
  if ((what & CURL_POLL_OUT) != 0) {
    events |= EPOLLOUT;
  }
  if (!m_watched.insert(fd).second) {
    m_loop.Modify(fd, events);
    return;
  }
  m_loop.Watch(fd, events, [this, fd](uint32_t ready) {
    int curl_events = 0;
    if ((ready & EPOLLIN) != 0) {
      curl_events |= CURL_CSELECT_IN;
    }
    if ((ready & EPOLLOUT) != 0) {
      curl_events |= CURL_CSELECT_OUT;
    }
    if ((ready & (EPOLLERR | EPOLLHUP)) != 0) {
      curl_events |= CURL_CSELECT_ERR;
    }
    Act(fd, curl_events);
  });
}

int HttpClient::Impl::OnTimer(CURLM*, long timeout_ms, void* closure) {
  auto* self = static_cast<Impl*>(closure);
  self->m_loop.Cancel(self->m_timer);
  self->m_timer = 0;
  if (timeout_ms >= 0) {
    self->m_timer =
        self->m_loop.RunAfter(absl::Milliseconds(timeout_ms), [self] {
          self->m_timer = 0;
          self->Act(CURL_SOCKET_TIMEOUT, 0);
        });
  }
  return 0;
}

void HttpClient::Impl::Act(int fd, int curl_events) {
  int running = 0;
  curl_multi_socket_action(m_multi, fd, curl_events, &running);
  FinishTransfers();
  ArmIdleTimer();
}

void HttpClient::Impl::ArmIdleTimer() {
  MonoTime next = absl::InfiniteDuration();
  for (const auto& [easy, transfer] : m_transfers) {
    next = std::min(next, transfer->IdleDeadline());
  }
  m_idle_timer.Arm(next);
}

void HttpClient::Impl::EndIdleCalls() {
  const MonoTime now = EventLoop::MonoNow();
  std::vector<CURL*> idle;
  for (const auto& [easy, transfer] : m_transfers) {
    if (transfer->IdleDeadline() <= now) {
      idle.push_back(easy);
    }
  }
  for (CURL* easy : idle) {
    Finish(easy, CURLE_OPERATION_TIMEDOUT);
  }
  ArmIdleTimer();
}

void HttpClient::Impl::FinishTransfers() {
  int remaining = 0;
  while (CURLMsg* message = curl_multi_info_read(m_multi, &remaining)) {
    if (message->msg == CURLMSG_DONE) {
      // Finish() removes the handle, which invalidates the message.
      Finish(message->easy_handle, message->data.result);
    }
  }
}

void HttpClient::Impl::Finish(CURL* easy, CURLcode code) {
  auto node = m_transfers.extract(easy);
  InternalAssert(!node.empty(), "libcurl ended an unknown call", "http_client");
  Transfer& transfer = *node.mapped();
  HttpCallResult result;
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    result.status = static_cast<int>(status);
    result.body = std::move(transfer.response);
  } else {
    result.failure = ClassifyFailure(transfer, code);
  }
  curl_multi_remove_handle(m_multi, easy);
  ReturnHandle(easy);
  curl_slist_free_all(std::exchange(transfer.headers, nullptr));
  transfer.callback(std::move(result));
}

CURL* HttpClient::Impl::TakeHandle() {
  if (m_idle_handles.empty()) {
    return curl_easy_init();
  }
  CURL* easy = m_idle_handles.back();
  m_idle_handles.pop_back();
  return easy;
}

void HttpClient::Impl::ReturnHandle(CURL* easy) {
  if (m_idle_handles.size() >= kMaxIdleHandles) {
    curl_easy_cleanup(easy);
    return;
  }
  curl_easy_reset(easy);
  m_idle_handles.push_back(easy);
}

HttpClient::HttpClient(EventLoop& loop)
    : m_impl(std::make_unique<Impl>(loop)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(HttpCall call, Callback callback) {
  m_impl->Send(std::move(call), std::move(callback));
}

size_t HttpClient::calls_in_flight() const {
  return m_impl->calls_in_flight();
}

std::string_view HttpFailureName(HttpFailure failure) {
  switch (failure) {
    case HttpFailure::kNone:
      return "none";
    case HttpFailure::kRefused:
      return "refused";
    case HttpFailure::kNotSent:
      return "not_sent";
    case HttpFailure::kLost:
      return "lost";
    case HttpFailure::kTimeout:
      break;
  }
  return "timeout";
}

std::string EscapeQueryValue(std::string_view text) {
  char* escaped =
      curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
  std::string result = escaped;
  curl_free(escaped);
  return result;
}

}  // namespace egretswitch::internal
