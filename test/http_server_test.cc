// Requests that a handler takes up only after it has returned.
#include "http_server.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "event_loop.h"
#include "plain_http_client.h"

namespace egretswitch::internal {
namespace {

constexpr std::string_view kRequest =
    "POST /job HTTP/1.1\r\nHost: desk\r\nContent-Length: 2\r\n\r\n{}";
// Ends a test that would otherwise hang; no result depends on it.
constexpr std::chrono::seconds kGiveUpAfter(20);

struct HttpServerFixture {
  HttpServerFixture() {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    options.threads = 1;
    auto created = HttpServer::Create(
        options,
        [this](const HttpRequest&, const Responder& responder) {
          taken[handled++].set_value(responder);
        },
        [](int status, std::string_view) {
          return HttpResponse{status, ""};
        });
    BOOST_REQUIRE(created.ok());
    server = *std::move(created);
  }

  // A request that waits. With one thread, the handler of the one before it
  // has returned when the next one is handled.
  Responder HandIn(RawConnection& connection) {
    const int number = sent++;
    connection.Send(kRequest);
    return taken[number].get_future().get();
  }

  int sent = 0;
  int handled = 0;
  std::promise<Responder> taken[2];
  std::unique_ptr<HttpServer> server;
};

BOOST_FIXTURE_TEST_SUITE(http_server, HttpServerFixture)

// Guards against a job that goes on after its caller has left, beside the one
// that the caller hands in elsewhere.
BOOST_AUTO_TEST_CASE(caller_that_leaves_a_request_taken_up_late_is_noticed) {
  RawConnection leaving(server->port());
  const Responder responder = HandIn(leaving);
  RawConnection other(server->port());
  HandIn(other);
  std::promise<void> gone;
  responder.OnGone([&gone] { gone.set_value(); });
  leaving.Close();
  BOOST_TEST(
      (gone.get_future().wait_for(kGiveUpAfter) == std::future_status::ready));
}

// Guards against the same when the caller has left before.
BOOST_AUTO_TEST_CASE(caller_that_left_before_is_told_of_at_once) {
  RawConnection leaving(server->port());
  const Responder responder = HandIn(leaving);
  RawConnection other(server->port());
  HandIn(other);
  std::promise<void> first;
  responder.OnGone([&first] { first.set_value(); });
  leaving.Close();
  BOOST_REQUIRE(first.get_future().wait_for(kGiveUpAfter) ==
                std::future_status::ready);
  bool told = false;
  responder.OnGone([&told] { told = true; });
  BOOST_TEST(told);
}

BOOST_AUTO_TEST_SUITE_END()

// A server on a loop that runs only when the test says so.
struct LoopServerFixture {
  LoopServerFixture() {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    options.loop = &loop;
    auto created = HttpServer::Create(
        options,
        [this](const HttpRequest&, const Responder& responder) {
          ++handled;
          responder.Answer({.status = 200, .body = "{}"});
        },
        [](int status, std::string_view) {
          return HttpResponse{status, ""};
        });
    BOOST_REQUIRE(created.ok());
    server = *std::move(created);
  }

  bool Until(absl::FunctionRef<bool()> done) {
    return loop.RunUntil(done, absl::FromChrono(kGiveUpAfter));
  }

  EventLoop loop;
  int handled = 0;
  std::unique_ptr<HttpServer> server;
};

BOOST_FIXTURE_TEST_SUITE(http_server_on_a_loop, LoopServerFixture)

// Guards against callers that are cut off because the kernel had accepted their
// connections and the server had not.
BOOST_AUTO_TEST_CASE(connections_that_wait_when_listening_stops_are_served) {
  constexpr int kCallers = 40;
  std::vector<std::unique_ptr<RawConnection>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<RawConnection>(server->port()));
    callers.back()->Send(kRequest);
  }
  server->StopListening();
  BOOST_TEST(Until([this] { return handled == kCallers && server->Quiet(); }));
  for (const auto& caller : callers) {
    BOOST_TEST(caller->Receive().status == 200);
  }
}

// Guards against a stop that ends between a caller's connect and its request.
BOOST_AUTO_TEST_CASE(
    accepted_connection_is_not_quiet_before_its_first_request) {
  RawConnection caller(server->port());
  BOOST_REQUIRE(Until([this] { return server->unused_connections() == 1; }));
  BOOST_TEST(!server->Quiet());
  caller.Send(kRequest);
  BOOST_TEST(Until([this] { return handled == 1 && server->Quiet(); }));
  BOOST_TEST(server->unused_connections() == 0u);
}

// Guards against a stop that waits for a caller who has connected and left.
BOOST_AUTO_TEST_CASE(connection_that_ends_unused_is_quiet) {
  RawConnection caller(server->port());
  BOOST_REQUIRE(Until([this] { return server->unused_connections() == 1; }));
  caller.Close();
  BOOST_TEST(Until([this] { return server->unused_connections() == 0; }));
  BOOST_TEST(server->Quiet());
}

// Guards against a stop that takes bytes which wait in the socket for silence.
BOOST_AUTO_TEST_CASE(request_that_is_not_read_yet_is_not_quiet) {
  RawConnection caller(server->port());
  caller.Send(kRequest);
  BOOST_REQUIRE(Until([this] { return handled == 1 && server->Quiet(); }));
  caller.Send(kRequest);
  BOOST_TEST(!server->Quiet());
  BOOST_TEST(Until([this] { return handled == 2 && server->Quiet(); }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
