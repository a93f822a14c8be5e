// Tests calls to misbehaving servers: each call ends once with the right
// failure, and the event loop stays usable.
#include "http_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <optional>
#include <string>
#include <vector>

#include "child_process.h"
#include "event_loop.h"
#include "unique_fd.h"

namespace egretswitch::internal {
namespace {

// Bounds a test that would otherwise hang. No result depends on it.
constexpr absl::Duration kGiveUpAfter = absl::Seconds(30);

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Listens on a free port and returns it.
uint16_t ListenOnFreePort(int fd) {
  sockaddr_in address = Loopback(0);
  BOOST_REQUIRE(
      ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  BOOST_REQUIRE(::listen(fd, 1) == 0);
  socklen_t size = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// A listener whose backlog is full: a further connection attempt hangs, like
// one to a host without power.
class FullBacklogServer {
 public:
  FullBacklogServer() : m_listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = Loopback(0);
    BOOST_REQUIRE(::bind(m_listener.get(),
                         reinterpret_cast<sockaddr*>(&address),
                         sizeof(address)) == 0);
    BOOST_REQUIRE(::listen(m_listener.get(), 0) == 0);
    socklen_t size = sizeof(address);
    ::getsockname(m_listener.get(), reinterpret_cast<sockaddr*>(&address),
                  &size);
    m_port = ntohs(address.sin_port);
    for (int i = 0; i < 4; ++i) {
      UniqueFd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      ::connect(fd.get(), reinterpret_cast<sockaddr*>(&address),
                sizeof(address));
      m_fillers.push_back(std::move(fd));
    }
  }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(m_port) + "/x";
  }

 private:
  UniqueFd m_listener;
  uint16_t m_port = 0;
  std::vector<UniqueFd> m_fillers;
};

// Responds to one call with the headers and the first `pieces` of the kPieces
// pieces of the body, one every kPieceEvery.
class SlowBodyServer {
 public:
  static constexpr int kPieces = 8;
  static constexpr absl::Duration kPieceEvery = absl::Milliseconds(20);

  SlowBodyServer(EventLoop& loop, int pieces)
      : m_loop(loop),
        m_left(pieces),
        m_listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    m_port = ListenOnFreePort(m_listener.get());
    m_loop.Watch(m_listener.get(), EPOLLIN, [this](uint32_t) { Accept(); });
  }
  ~SlowBodyServer() { m_loop.Unwatch(m_listener.get()); }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(m_port) + "/x";
  }

 private:
  void Accept() {
    m_call = UniqueFd(::accept(m_listener.get(), nullptr, nullptr));
    Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kPieces) +
          "\r\n\r\n");
    WritePiece();
  }

  void WritePiece() {
    if (m_left-- > 0) {
      Write("x");
      m_loop.RunAfter(kPieceEvery, [this] { WritePiece(); });
    }
  }

  // A client whose call has timed out may close the connection at any time.
  void Write(const std::string& text) {
    const ssize_t written =
        ::send(m_call.get(), text.data(), text.size(), MSG_NOSIGNAL);
    const bool hung_up = written < 0 && (errno == EPIPE || errno == ECONNRESET);
    if (hung_up) {
      m_left = 0;
      return;
    }
    BOOST_REQUIRE(written == static_cast<ssize_t>(text.size()));
  }

  EventLoop& m_loop;
  int m_left;
  UniqueFd m_listener;
  UniqueFd m_call;
  uint16_t m_port = 0;
};

// Accepts one call and never responds to it.
class UnresponsiveServer {
 public:
  explicit UnresponsiveServer(EventLoop& loop)
      : m_loop(loop),
        m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    m_port = ListenOnFreePort(m_listener.get());
    m_loop.Watch(m_listener.get(), EPOLLIN, [this](uint32_t) { Accept(); });
  }
  ~UnresponsiveServer() {
    m_loop.Unwatch(m_listener.get());
    m_loop.Unwatch(m_call.get());
  }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(m_port) + "/x";
  }
  bool received() const { return m_received; }
  bool connection_closed() const { return m_connection_closed; }

 private:
  void Accept() {
    m_call =
        UniqueFd(::accept4(m_listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
    m_loop.Unwatch(m_listener.get());
    m_loop.Watch(m_call.get(), EPOLLIN, [this](uint32_t) { Read(); });
  }

  void Read() {
    char piece[4096];
    const ssize_t got = ::recv(m_call.get(), piece, sizeof(piece), 0);
    m_received = true;
    if (got <= 0) {
      m_connection_closed = true;
      m_loop.Unwatch(m_call.get());
    }
  }

  EventLoop& m_loop;
  UniqueFd m_listener;
  UniqueFd m_call;
  uint16_t m_port = 0;
  bool m_received = false;
  bool m_connection_closed = false;
};

struct HttpClientFixture {
  HttpCallResult Get(const std::string& url,
                     absl::Duration timeout,
                     absl::Duration body_idle_timeout) {
    std::optional<HttpCallResult> result;
    HttpCall call;
    call.url = url;
    call.timeout = timeout;
    call.body_idle_timeout = body_idle_timeout;
    http.Send(std::move(call),
              [&result](HttpCallResult got) { result = std::move(got); });
    BOOST_REQUIRE(
        loop.RunUntil([&result] { return result.has_value(); }, kGiveUpAfter));
    return *result;
  }

  HttpCallResult Call(const std::string& url, HttpMethod method) {
    std::optional<HttpCallResult> result;
    HttpCall call;
    call.method = method;
    call.url = url;
    call.body = method == HttpMethod::kPost ? "{}" : "";
    call.timeout = absl::Milliseconds(60);
    http.Send(std::move(call),
              [&result](HttpCallResult got) { result = std::move(got); });
    BOOST_REQUIRE(
        loop.RunUntil([&result] { return result.has_value(); }, kGiveUpAfter));
    return *result;
  }

  EventLoop loop;
  HttpClient http{loop};
};

BOOST_FIXTURE_TEST_SUITE(http_client, HttpClientFixture)

BOOST_AUTO_TEST_CASE(call_to_host_with_full_backlog_ends_as_not_sent) {
  const FullBacklogServer server;
  const HttpCallResult result = Call(server.Url(), HttpMethod::kPost);
  BOOST_TEST((result.failure == HttpFailure::kNotSent));
}

BOOST_AUTO_TEST_CASE(calls_to_host_with_full_backlog_leave_the_loop_usable) {
  const FullBacklogServer server;
  for (int i = 0; i < 5; ++i) {
    const HttpCallResult result = Call(server.Url(), HttpMethod::kGet);
    BOOST_TEST((result.failure != HttpFailure::kNone));
  }
  BOOST_TEST(http.calls_in_flight() == 0u);
}

// Guards against a child process that inherits a copy of the socket, so that
// the server never sees the connection close.
BOOST_AUTO_TEST_CASE(timed_out_call_closes_its_connection_despite_a_child) {
  UnresponsiveServer server(loop);
  soak::ChildProcess child({"/bin/sleep", "60"}, "/dev/null");
  std::optional<HttpCallResult> result;
  HttpCall call;
  call.method = HttpMethod::kPost;
  call.url = server.Url();
  call.timeout = absl::Milliseconds(500);
  http.Send(std::move(call),
            [&result](HttpCallResult got) { result = std::move(got); });
  BOOST_REQUIRE(
      loop.RunUntil([&server] { return server.received(); }, kGiveUpAfter));
  child.Start();
  BOOST_REQUIRE(
      loop.RunUntil([&result] { return result.has_value(); }, kGiveUpAfter));
  BOOST_TEST(loop.RunUntil([&server] { return server.connection_closed(); },
                           kGiveUpAfter));
  BOOST_TEST(child.running());
}

// The body takes at least 140 ms, which exceeds the total timeout of the next
// test.
BOOST_AUTO_TEST_CASE(slow_body_with_progress_is_read_whole) {
  SlowBodyServer server(loop, SlowBodyServer::kPieces);
  const HttpCallResult result = Get(server.Url(), kGiveUpAfter, kGiveUpAfter);
  BOOST_TEST((result.failure == HttpFailure::kNone));
  BOOST_TEST(result.body.size() == SlowBodyServer::kPieces);
}

BOOST_AUTO_TEST_CASE(body_beyond_the_total_timeout_ends_as_timeout) {
  SlowBodyServer server(loop, SlowBodyServer::kPieces);
  const HttpCallResult result =
      Get(server.Url(), absl::Milliseconds(60), absl::InfiniteDuration());
  BOOST_TEST((result.failure == HttpFailure::kTimeout));
}

BOOST_AUTO_TEST_CASE(stalled_body_ends_as_timeout) {
  SlowBodyServer server(loop, SlowBodyServer::kPieces / 2);
  const HttpCallResult result =
      Get(server.Url(), kGiveUpAfter / 2, absl::Milliseconds(60));
  BOOST_TEST((result.failure == HttpFailure::kTimeout));
  BOOST_TEST(http.calls_in_flight() == 0);
}

BOOST_AUTO_TEST_CASE(body_that_never_begins_ends_as_timeout) {
  SlowBodyServer server(loop, 0);
  const HttpCallResult result =
      Get(server.Url(), absl::Milliseconds(60), kGiveUpAfter);
  BOOST_TEST((result.failure == HttpFailure::kTimeout));
}

BOOST_AUTO_TEST_CASE(call_port_without_listener_ends_as_refused) {
  const HttpCallResult result = Call("http://127.0.0.1:1/x", HttpMethod::kPost);
  BOOST_TEST((result.failure == HttpFailure::kRefused));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
