// Proves that egretswitchctl's HTTP calls arrive whole and that a call which
// was never sent is told from one that may have had an effect.
#include "ctl_http.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "http_server.h"

namespace egretswitch::internal {
namespace {

// Generous: it only ends a test that would hang.
constexpr absl::Duration kTimeout = absl::Seconds(30);

// A server that answers with the body it was sent.
struct EchoServerFixture {
  EchoServerFixture() {
    auto created = HttpServer::Create(
        {.address = "127.0.0.1:0"},
        [this](const HttpRequest& request, const Responder& responder) {
          const std::lock_guard lock(mutex);
          requests.push_back(request);
          responder.Answer({.status = 409, .body = request.body});
        },
        [](int status, std::string_view) {
          return HttpResponse{.status = status, .body = ""};
        });
    BOOST_REQUIRE_MESSAGE(created.ok(), created.status().message());
    server = *std::move(created);
    url = "http://127.0.0.1:" + std::to_string(server->port());
  }
  std::mutex mutex;
  std::vector<HttpRequest> requests;
  std::unique_ptr<HttpServer> server;
  std::string url;
  CurlSender sender;
};

// A listening socket that accepts only when a test says so.
struct SilentServerFixture {
  SilentServerFixture() : listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE(bind(listener, generic, size) == 0);
    BOOST_REQUIRE(listen(listener, 8) == 0);
    BOOST_REQUIRE(getsockname(listener, generic, &size) == 0);
    url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/";
  }
  ~SilentServerFixture() {
    if (listener >= 0) {
      close(listener);
    }
  }
  void CloseListener() {
    close(listener);
    listener = -1;
  }
  int listener;
  std::string url;
  CurlSender sender;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ctl_http)

BOOST_FIXTURE_TEST_CASE(post_arrives_with_body_and_token, EchoServerFixture) {
  const std::string body(300'000, 'x');
  const auto response =
      sender.Send({"POST", url + "/v1/jobs", body, "secret", kTimeout});
  BOOST_REQUIRE_MESSAGE(response.ok(), response.status().message());
  BOOST_TEST(response->status == 409);
  BOOST_TEST((response->body == body));
  const std::lock_guard lock(mutex);
  BOOST_REQUIRE(requests.size() == 1u);
  BOOST_TEST(requests[0].method == "POST");
  BOOST_TEST(requests[0].path == "/v1/jobs");
  BOOST_TEST(requests[0].authorization == "Bearer secret");
}

BOOST_FIXTURE_TEST_CASE(get_after_a_post_carries_nothing_over,
                        EchoServerFixture) {
  BOOST_REQUIRE(sender.Send({"POST", url + "/a", "body", "t", kTimeout}).ok());
  const auto response = sender.Send({"GET", url + "/b", "", "", kTimeout});
  BOOST_REQUIRE_MESSAGE(response.ok(), response.status().message());
  const std::lock_guard lock(mutex);
  BOOST_TEST(requests[1].method == "GET");
  BOOST_TEST(requests[1].body == "");
  BOOST_TEST(requests[1].authorization == "");
}

BOOST_FIXTURE_TEST_CASE(call_to_a_closed_port_was_never_sent,
                        SilentServerFixture) {
  CloseListener();
  const auto response = sender.Send({"POST", url, "body", "", kTimeout});
  BOOST_TEST(absl::IsUnavailable(response.status()));
}

BOOST_FIXTURE_TEST_CASE(call_without_an_answer_may_have_had_an_effect,
                        SilentServerFixture) {
  // The host accepts the connection by itself; nobody ever reads from it.
  const auto response =
      sender.Send({"POST", url, "body", "", absl::Milliseconds(300)});
  BOOST_TEST(absl::IsAborted(response.status()));
}

BOOST_FIXTURE_TEST_CASE(call_whose_connection_ends_may_have_had_an_effect,
                        SilentServerFixture) {
  // The server reads a part of the request and closes.
  std::thread closer([this] {
    const int connection = accept(listener, nullptr, nullptr);
    char byte = 0;
    BOOST_TEST_REQUIRE(recv(connection, &byte, 1, 0) == 1);
    close(connection);
  });
  const auto response = sender.Send({"POST", url, "body", "", kTimeout});
  closer.join();
  BOOST_TEST(absl::IsAborted(response.status()));
}

BOOST_FIXTURE_TEST_CASE(url_of_another_protocol_is_not_followed,
                        SilentServerFixture) {
  BOOST_TEST(!sender.Send({"GET", "file:///dev/null", "", "", kTimeout}).ok());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace egretswitch::internal
