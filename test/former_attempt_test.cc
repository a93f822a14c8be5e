// Tests that an entry starts no task of a job while another entry may run the
// job's former attempt, and ends its own attempt when the job arrives
// elsewhere.
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "job_dispatcher_fixture.h"
#include "run_limits.h"

namespace egretswitch::internal {
namespace {

struct FormerAttemptFixture : JobDispatcherFixture {
  FormerAttemptFixture() {
    AddAgent("agent-1");
    Do(EntryLinkUp{"entry-2", 1, true});
  }

  JobDispatcherActions Hear(OpenAttempts message) {
    return Do(PeerMessageReceived{"entry-2", 1, std::move(message)});
  }
  JobDispatcherActions HearOpen(uint32_t age_ms = 1000) {
    return Hear({.opened = {{"5c0e", 40, age_ms}}});
  }
  JobDispatcherActions HearOver() { return Hear({.over = {40}}); }

  // Passes the time in which the agent answers each renewal.
  JobDispatcherActions PassWithAnswers(absl::Duration by) {
    JobDispatcherActions all;
    const absl::Duration step = absl::Milliseconds(20);
    for (absl::Duration passed; passed < by; passed += step) {
      for (JobDispatcherAction& action : Pass(step)) {
        all.push_back(std::move(action));
      }
      for (JobDispatcherAction& action : Report("agent-1", {}, Status())) {
        all.push_back(std::move(action));
      }
    }
    return all;
  }

  static size_t Starts(const JobDispatcherActions& actions) {
    return SentTo<StartRuns>("agent-1", actions).size();
  }
};

BOOST_FIXTURE_TEST_SUITE(former_attempt, FormerAttemptFixture)

BOOST_AUTO_TEST_CASE(job_that_no_other_entry_has_starts_at_once) {
  HearOpen();
  BOOST_TEST(Starts(Arrive(1, 2, "77aa")) == 1u);
}

// Guards against two attempts at one job that run at the same time, since the
// former one's entry did not learn that its caller had left.
BOOST_AUTO_TEST_CASE(job_open_at_another_entry_starts_once_that_is_over) {
  HearOpen();
  const JobDispatcherActions arrived = Arrive(1, 2);
  BOOST_TEST(Starts(arrived) == 0u);
  const auto requests = SentTo<EndAttempts>("entry-2", arrived);
  BOOST_REQUIRE(requests.size() == 1u);
  BOOST_TEST(requests[0].attempts == std::vector<uint64_t>{40},
             boost::test_tools::per_element());
  BOOST_TEST(Starts(Pass(absl::Milliseconds(100))) == 0u);
  BOOST_TEST(Starts(HearOver()) == 1u);
  BOOST_TEST(dispatcher.counters().Get(RunCounter::kJobsHeldForAttempt) == 1u);
}

// The time counts from that entry's last message.
BOOST_AUTO_TEST_CASE(job_open_at_a_silent_entry_starts_once_its_runs_are_over) {
  HearOpen();
  clock.Advance(absl::Milliseconds(400));
  BOOST_TEST(Starts(Arrive(1, 2)) == 0u);
  const absl::Duration left = kSilentAttemptsOver - absl::Milliseconds(400);
  BOOST_TEST(Starts(PassWithAnswers(left - absl::Milliseconds(20))) == 0u);
  BOOST_TEST(Starts(PassWithAnswers(absl::Milliseconds(60))) == 1u);
}

// Guards against further starts after a late announcement.
BOOST_AUTO_TEST_CASE(task_of_a_job_found_open_elsewhere_is_not_started_again) {
  BOOST_TEST(Starts(Arrive(1, 2)) == 1u);
  const JobDispatcherActions learnt = HearOpen();
  BOOST_TEST(SentTo<EndAttempts>("entry-2", learnt).size() == 1u);
  BOOST_TEST(
      Starts(Report("agent-1", {End(0, RunEnd::kNoCapacity)}, Status())) == 0u);
  BOOST_TEST(Starts(HearOver()) == 1u);
}

BOOST_AUTO_TEST_CASE(later_attempt_elsewhere_is_not_awaited) {
  Arrive(1, 2);
  clock.Advance(absl::Milliseconds(40));
  const JobDispatcherActions learnt = HearOpen(/*age_ms=*/10);
  BOOST_TEST(SentTo<EndAttempts>("entry-2", learnt).empty());
  BOOST_TEST(
      Starts(Report("agent-1", {End(0, RunEnd::kNoCapacity)}, Status())) == 1u);
}

BOOST_AUTO_TEST_CASE(held_job_is_answered_by_its_time_limit) {
  HearOpen();
  Arrive(1, 2);
  std::vector<JobAnswer> answers;
  for (int i = 0; i < 160 && answers.empty(); ++i) {
    Hear({});  // that entry lives
    answers = Answers(PassWithAnswers(absl::Milliseconds(20)));
  }
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].verdict == JobVerdict::kNotRun));
}

BOOST_AUTO_TEST_CASE(own_attempt_is_announced_and_ended_on_request) {
  Arrive(1, 2);
  const auto announced =
      SentTo<OpenAttempts>("entry-2", PassWithAnswers(absl::Milliseconds(800)));
  BOOST_REQUIRE(!announced.empty());
  BOOST_REQUIRE(announced[0].opened.size() == 1u);
  BOOST_TEST(announced[0].opened[0].job == "5c0e");
  const JobDispatcherActions ended = Do(PeerMessageReceived{
      "entry-2", 1, EndAttempts{{announced[0].opened[0].attempt}}});
  BOOST_TEST(SentTo<StopRuns>("agent-1", ended).size() == 1u);
  const std::vector<JobAnswer> answers = Answers(ended);
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].verdict == JobVerdict::kMayHaveRun));
  BOOST_TEST(SentTo<OpenAttempts>("entry-2", ended).empty());
  const JobDispatcherActions over =
      Report("agent-1", {End(0, RunEnd::kStopped), End(1, RunEnd::kStopped)},
             Status());
  const auto told = SentTo<OpenAttempts>("entry-2", over);
  BOOST_REQUIRE(told.size() == 1u);
  BOOST_TEST(told[0].over == std::vector<uint64_t>{1},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
