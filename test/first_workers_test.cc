// Tests how an entry that has just started handles jobs before its first worker
// is linked.
#include "first_workers.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "job_dispatcher_fixture.h"

namespace egretswitch::internal {
namespace {

BOOST_FIXTURE_TEST_SUITE(first_workers, JobDispatcherFixture)

// The load that this answers: callers come back at once after a loss of power,
// some tenths of a second before the agents.
BOOST_AUTO_TEST_CASE(jobs_before_the_first_worker_are_held_and_then_started) {
  constexpr int kJobs = 10;
  for (int i = 0; i < kJobs; ++i) {
    Arrive(static_cast<CallId>(i + 1), 1, "job-" + std::to_string(i));
  }
  BOOST_TEST(Answers(Pass(absl::Milliseconds(400))).empty());
  for (int i = 0; i < kJobs; ++i) {
    const std::string agent = "agent-" + std::to_string(i);
    Do(PeerConnected{agent, 1});
    BOOST_TEST(Answers(Report(agent, {}, Status())).empty());
  }
  BOOST_TEST(Answers(Pass(absl::Milliseconds(40))).empty());
  BOOST_TEST(dispatcher.JobsNotStarted("checks") == 0u);
  BOOST_TEST(dispatcher.counters().Get(RunCounter::kJobsHeldForWorker) ==
             kJobs);
}

BOOST_AUTO_TEST_CASE(held_job_is_refused_with_the_reason_when_no_worker_comes) {
  Arrive(1, 1);
  BOOST_TEST(
      Answers(Pass(kFirstWorkerTimeout - absl::Milliseconds(20))).empty());
  const auto answers = Answers(Pass(absl::Milliseconds(300)));
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].verdict == JobVerdict::kNotRun));
  BOOST_TEST(answers[0].reason == "no worker linked yet");
  BOOST_TEST(dispatcher.counters().Get(RunCounter::kJobsRefusedNoWorkerYet) ==
             1u);
}

BOOST_AUTO_TEST_CASE(job_of_a_service_without_workers_is_not_held_later) {
  Arrive(1, 1, "first");
  Pass(absl::Seconds(5));
  Arrive(2, 1, "second");
  BOOST_TEST(Answers(Pass(absl::Milliseconds(220))).size() == 1u);
}

BOOST_AUTO_TEST_CASE(job_is_not_held_once_a_worker_was_usable) {
  AddAgent("agent-1");
  Do(PeerDisconnected{"agent-1", 1});
  Report("agent-1", {}, {});
  Arrive(1, 4);
  Arrive(2, 1, "second");
  BOOST_TEST(dispatcher.counters().Get(RunCounter::kJobsHeldForWorker) == 0u);
}

BOOST_AUTO_TEST_CASE(held_job_ends_with_its_time_limit) {
  JobArrived arrival = Arrival(1, "5c0e", {{1, kSixCores, 100}});
  arrival.caller_timeout = absl::Milliseconds(300);
  Do(arrival);
  BOOST_TEST(Answers(Pass(absl::Milliseconds(340))).size() == 1u);
}

BOOST_AUTO_TEST_CASE(job_of_another_service_is_held_beside_a_usable_worker) {
  AddAgent("agent-1");
  JobArrived arrival = Arrival(1, "5c0e", {{1, kSixCores, 100}});
  arrival.queue.service = "print";
  Do(arrival);
  BOOST_TEST(Answers(Pass(absl::Milliseconds(400))).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
