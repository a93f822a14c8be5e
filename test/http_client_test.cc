// Calls through libcurl to servers that behave badly: each ends once, with what
// is known of it, and the loop goes on.
#include "http_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "event_loop.h"
#include "unique_fd.h"

namespace egretswitch::internal {
namespace {

// Ends a test that would otherwise hang; no result depends on it.
constexpr absl::Duration kGiveUpAfter = absl::Seconds(30);

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Listens, but its queue of new connections is full: a further connection
// hangs, as one to a host without power does.
class DeafServer {
 public:
  DeafServer() : m_listener(::socket(AF_INET, SOCK_STREAM, 0)) {
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

struct HttpClientFixture {
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

BOOST_AUTO_TEST_CASE(call_host_that_takes_no_connection_ends_as_not_sent) {
  const DeafServer server;
  const HttpCallResult result = Call(server.Url(), HttpMethod::kPost);
  BOOST_TEST((result.failure == HttpFailure::kNotSent));
}

BOOST_AUTO_TEST_CASE(calls_host_that_takes_no_connection_leave_the_loop_whole) {
  const DeafServer server;
  for (int i = 0; i < 5; ++i) {
    const HttpCallResult result = Call(server.Url(), HttpMethod::kGet);
    BOOST_TEST((result.failure != HttpFailure::kNone));
  }
  BOOST_TEST(http.calls_under_way() == 0u);
}

BOOST_AUTO_TEST_CASE(call_port_without_listener_ends_as_refused) {
  const HttpCallResult result = Call("http://127.0.0.1:1/x", HttpMethod::kPost);
  BOOST_TEST((result.failure == HttpFailure::kRefused));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
