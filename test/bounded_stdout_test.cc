// Tests that logging to a stalled reader neither blocks nor buffers without
// bound.
#include "bounded_stdout.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "log_rate_limiter.h"
#include "unique_fd.h"

namespace egretswitch::internal {
namespace {

struct BoundedStdoutFixture {
  BoundedStdoutFixture() {
    int ends[2];
    BOOST_REQUIRE(::pipe2(ends, O_CLOEXEC) == 0);
    reader = UniqueFd(ends[0]);
    writer = UniqueFd(ends[1]);
    ::fcntl(reader.get(), F_SETFL, O_NONBLOCK);
  }

  std::string ReadAll() {
    std::string all;
    char buffer[65536];
    ssize_t size = 0;
    while ((size = ::read(reader.get(), buffer, sizeof(buffer))) > 0) {
      all.append(buffer, static_cast<size_t>(size));
    }
    return all;
  }

  UniqueFd reader;
  UniqueFd writer;
};

BOOST_FIXTURE_TEST_SUITE(bounded_stdout, BoundedStdoutFixture)

BOOST_AUTO_TEST_CASE(flush_writes_whole_lines_in_order) {
  BoundedStdout out(writer.get());
  out.Append("one\n");
  out.Append("two\n");
  BOOST_TEST(ReadAll().empty());
  out.Flush();
  BOOST_TEST(ReadAll() == "one\ntwo\n");
}

// The pipe is in blocking mode, so a write that blocks would hang the test.
BOOST_AUTO_TEST_CASE(stalled_reader_drops_lines_without_blocking) {
  BoundedStdout out(writer.get());
  const std::string line = std::string(99, 'x') + "\n";
  for (int i = 0; i < 20'000; ++i) {
    out.Append(line);
    out.Flush();
  }
  BOOST_TEST(out.dropped() > 0u);
  std::string all;
  for (int i = 0; i < 100; ++i) {
    all += ReadAll();
    out.Flush();
  }
  out.Append("last\n");
  out.Flush();
  all += ReadAll();
  BOOST_TEST(all.find("log lines dropped") != std::string::npos);
  BOOST_TEST(all.ends_with("last\n"));
}

BOOST_AUTO_TEST_CASE(rate_limiter_allows_a_burst_and_then_its_rate) {
  LogRateLimiter limiter(10);
  int allowed = 0;
  for (int i = 0; i < 100; ++i) {
    allowed += limiter.TryAcquire(absl::Seconds(5)) ? 1 : 0;
  }
  BOOST_TEST(allowed == 10);
  allowed = 0;
  for (int i = 1; i <= 100; ++i) {
    allowed += limiter.TryAcquire(absl::Seconds(5) + i * absl::Milliseconds(10))
                   ? 1
                   : 0;
  }
  BOOST_TEST(allowed >= 9);
  BOOST_TEST(allowed <= 11);
  BOOST_TEST(limiter.suppressed() > 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
