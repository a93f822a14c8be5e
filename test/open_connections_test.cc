// Tests which connections a server regards as about to send their first
// request.
#include "open_connections.h"

#include <boost/test/unit_test.hpp>

namespace egretswitch::internal {
namespace {

constexpr int kFd = 1'000'000;  // names no descriptor of the process
constexpr MonoTime kOpened = absl::Seconds(100);
constexpr absl::Duration kInstant = absl::Nanoseconds(1);

struct OpenConnectionFixture {
  OpenConnectionFixture() { connections.Opened(kFd, kOpened); }

  OpenConnections connections;
};

BOOST_FIXTURE_TEST_SUITE(open_connections, OpenConnectionFixture)

BOOST_AUTO_TEST_CASE(new_connection_counts_as_unused) {
  BOOST_TEST(connections.AnyUnusedSince(kOpened - kInstant));
  BOOST_TEST(connections.unused() == 1u);
}

BOOST_AUTO_TEST_CASE(old_unused_connection_is_not_awaited) {
  BOOST_TEST(!connections.AnyUnusedSince(kOpened));
  BOOST_TEST(connections.unused() == 1u);
}

BOOST_AUTO_TEST_CASE(connection_with_a_request_is_not_unused) {
  connections.RequestBegan(kFd);
  BOOST_TEST(!connections.AnyUnusedSince(absl::ZeroDuration()));
  BOOST_TEST(connections.unused() == 0u);
}

BOOST_AUTO_TEST_CASE(closed_connection_is_not_unused) {
  connections.Closed(kFd);
  BOOST_TEST(!connections.AnyUnusedSince(absl::ZeroDuration()));
}

// The kernel gives the descriptor of a closed connection to the next one.
BOOST_AUTO_TEST_CASE(reused_descriptor_counts_as_unused_again) {
  connections.RequestBegan(kFd);
  connections.Closed(kFd);
  connections.Opened(kFd, kOpened);
  BOOST_TEST(connections.AnyUnusedSince(kOpened - kInstant));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
