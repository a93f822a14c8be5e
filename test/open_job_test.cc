// Tests when a job expires whose request was queued before the entry accepted
// it.
#include "open_job.h"

#include <boost/test/unit_test.hpp>

#include "run_fixture.h"

namespace egretswitch::internal {
namespace {

struct OpenJobFixture {
  OpenJobFixture() {
    arrival.job.id = "5c0e";
    arrival.job.steps = {{1, kSixCores, 100}};
    arrival.queue.timeout_ms = 1500;
    arrival.waited = absl::Milliseconds(400);
  }

  JobArrived arrival;
  VirtualClock clock;
};

BOOST_FIXTURE_TEST_SUITE(open_job, OpenJobFixture)

// Guards against runs for a caller that has timed out: the time for which its
// request was queued counts towards the caller timeout.
BOOST_AUTO_TEST_CASE(job_that_has_waited_expires_with_its_caller_timeout) {
  arrival.caller_timeout = absl::Milliseconds(2500);
  const OpenJob job = MakeOpenJob(arrival, 1, clock.now().mono);
  BOOST_TEST((job.expires_at - clock.now().mono == absl::Milliseconds(2100)));
}

BOOST_AUTO_TEST_CASE(
    job_that_has_waited_without_caller_timeout_has_the_queue_timeout) {
  arrival.caller_timeout = absl::InfiniteDuration();
  const OpenJob job = MakeOpenJob(arrival, 1, clock.now().mono);
  BOOST_TEST((job.expires_at - clock.now().mono == absl::Milliseconds(1100)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
