// Tests that an entry starts no task of a job while another entry may run the
// job's former attempt, and ends its own attempt when the job arrives
// elsewhere.
#include <algorithm>
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
    Hear({.all = true});
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

BOOST_AUTO_TEST_CASE(later_attempt_elsewhere_is_not_ended) {
  Arrive(1, 2);
  clock.Advance(absl::Milliseconds(40));
  const JobDispatcherActions learnt = HearOpen(/*age_ms=*/10);
  BOOST_TEST(SentTo<EndAttempts>("entry-2", learnt).empty());
  BOOST_TEST(
      Starts(Report("agent-1", {End(0, RunEnd::kNoCapacity)}, Status())) == 0u);
}

// Guards against a job that starts beside a run that its entry has just ordered
// to stop: the former attempt here ended by its time limit, and its caller had
// left before that unnoticed.
BOOST_AUTO_TEST_CASE(
    job_that_comes_back_awaits_the_runs_of_its_former_attempt) {
  Arrive(1, 1);
  Do(CallerLeft{1});
  BOOST_TEST(Starts(Arrive(2, 1)) == 0u);
  BOOST_TEST(Starts(PassWithAnswers(absl::Milliseconds(100))) == 0u);
  BOOST_TEST(Starts(Report("agent-1", {End(0, RunEnd::kStopped)}, Status())) ==
             1u);
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

// The link between two living entries is cut; both have one to the agents. The
// former one must not renew its runs once the other may count them as over.
BOOST_AUTO_TEST_CASE(job_does_not_run_at_two_entries_whose_link_is_cut) {
  Arrive(1, 2);
  const auto announced =
      SentTo<OpenAttempts>("entry-2", PassWithAnswers(absl::Milliseconds(800)));
  BOOST_REQUIRE(!announced.empty());
  JobDispatcher second{2};
  second.Handle(PeerConnected{"agent-2", 1}, clock.now());
  second.Handle(
      PeerMessageReceived{"agent-2", 1, RunReports{clock.ms(), Status(), {}}},
      clock.now());
  second.Handle(EntryLinkUp{"entry-1", 1, true}, clock.now());
  second.Handle(PeerMessageReceived{"entry-1", 1, OpenAttempts{.all = true}},
                clock.now());
  for (const OpenAttempts& open : announced) {
    second.Handle(PeerMessageReceived{"entry-1", 1, open}, clock.now());
  }
  Do(PeerDisconnected{"entry-2", 1});
  second.Handle(PeerDisconnected{"entry-1", 1}, clock.now());
  const JobArrived again = Arrival(1, "5c0e", {{2, kSixCores, 100}});
  BOOST_TEST(
      SentTo<StartRuns>("agent-2", second.Handle(again, clock.now())).empty());
  size_t started = 0;
  size_t renewed_beside = 0;
  for (int i = 0; i < 90; ++i) {
    for (const RenewRuns& renewal : SentTo<RenewRuns>(
             "agent-1", PassWithAnswers(absl::Milliseconds(20)))) {
      renewed_beside += started > 0 && renewal.wanted_attempts.has_value() &&
                        !renewal.wanted_attempts->empty();
    }
    for (const JobDispatcherEvent& event :
         {JobDispatcherEvent(TimePassed{}),
          JobDispatcherEvent(PeerMessageReceived{
              "agent-2", 1, RunReports{clock.ms(), Status(), {}}})}) {
      started += SentTo<StartRuns>("agent-2", second.Handle(event, clock.now()))
                     .size();
    }
  }
  BOOST_TEST(started > 0u);  // else the case shows nothing
  BOOST_TEST(renewed_beside == 0u);
}

// A new link is up some time before the list of the attempts arrives on it.
BOOST_AUTO_TEST_CASE(job_awaits_the_list_of_a_newly_linked_entry) {
  Do(EntryLinkUp{"entry-3", 1, true});
  BOOST_TEST(Starts(Arrive(1, 2)) == 0u);
}

// A request may wait for the configuration, or for its confirmation by the
// store, before it arrives here. Its caller counts from its sending.
BOOST_AUTO_TEST_CASE(attempt_that_waited_is_announced_that_much_earlier) {
  JobArrived arrival = Arrival(1, "5c0e", {{2, kSixCores, 100}});
  arrival.waited = absl::Milliseconds(600);
  Do(arrival);
  size_t announced = 0;
  for (const OpenAttempts& message : SentTo<OpenAttempts>(
           "entry-2", PassWithAnswers(kAnnounceAfter - arrival.waited +
                                      2 * kAnnouncementPeriod))) {
    announced += message.opened.size();
  }
  BOOST_TEST(announced == 1u);
}

// As above: the attempt elsewhere began after the request had come here.
BOOST_AUTO_TEST_CASE(attempt_that_waited_does_not_end_a_later_one) {
  HearOpen(/*age_ms=*/800);
  JobArrived arrival = Arrival(1, "5c0e", {{2, kSixCores, 100}});
  arrival.waited = absl::Milliseconds(2100);
  BOOST_TEST(SentTo<EndAttempts>("entry-2", Do(arrival)).empty());
}

// The first call's end is not noticed, and the caller comes again here. An
// attempt elsewhere that began between the two is the former one, and the
// present caller's attempt is not to be ended for it.
BOOST_AUTO_TEST_CASE(joined_caller_makes_the_attempt_a_later_one) {
  Arrive(1, 2);
  PassWithAnswers(absl::Milliseconds(2600));
  Arrive(2, 2);
  PassWithAnswers(absl::Milliseconds(100));
  const JobDispatcherActions learnt = HearOpen(/*age_ms=*/1400);
  BOOST_TEST(SentTo<EndAttempts>("entry-2", learnt).size() == 1u);
}

// The caller comes elsewhere only after it has left here.
BOOST_AUTO_TEST_CASE(attempt_ends_once_a_later_one_elsewhere_is_known) {
  Arrive(1, 2);
  PassWithAnswers(absl::Milliseconds(2100));
  const JobDispatcherActions learnt = HearOpen(/*age_ms=*/800);
  BOOST_TEST(SentTo<StopRuns>("agent-1", learnt).size() == 1u);
}

// The worker's lease may last longer than the agent requested
// (WorkerStatus::lease_bound_ms): it then ends the runs of a lost entry later.
BOOST_AUTO_TEST_CASE(runs_of_a_lost_entry_are_awaited_until_the_lease_bound) {
  HearOpen();
  WorkerStatus status = Status();
  status.lease_bound_ms = 3000;
  Report("agent-1", {}, status);
  Do(PeerDisconnected{"entry-2", 1});
  BOOST_TEST(Starts(Arrive(1, 2)) == 0u);
  BOOST_TEST(Starts(PassWithAnswers(absl::Milliseconds(1400))) == 0u);
}

// kSilentAttemptsOver counts on this.
BOOST_AUTO_TEST_CASE(no_renewal_is_sent_late_after_the_last_announcement) {
  Arrive(1, 2);
  PassWithAnswers(absl::Milliseconds(800));
  MonoTime last_message = clock.now().mono;
  absl::Duration longest;
  for (int i = 0; i < 100; ++i) {
    const JobDispatcherActions actions =
        PassWithAnswers(absl::Milliseconds(20));
    if (!SentTo<OpenAttempts>("entry-2", actions).empty()) {
      last_message = clock.now().mono;
    }
    if (!SentTo<RenewRuns>("agent-1", actions).empty()) {
      longest = std::max(longest, clock.now().mono - last_message);
    }
  }
  BOOST_TEST(absl::ToInt64Milliseconds(longest) <=
             absl::ToInt64Milliseconds(kRenewPeriod));
}

// The process may end before its next event.
BOOST_AUTO_TEST_CASE(planned_stop_tells_that_an_attempt_is_over) {
  HearOpen();
  Arrive(1, 2);  // is held, and starts nothing
  for (int i = 0; i < 40; ++i) {
    Hear({});
    PassWithAnswers(absl::Milliseconds(20));
  }
  const auto told =
      SentTo<OpenAttempts>("entry-2", dispatcher.AbandonAllJobs(clock.now()));
  BOOST_REQUIRE(told.size() == 1u);
  BOOST_TEST(told[0].over.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
