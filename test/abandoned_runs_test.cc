// Tests that an entry repeats an order to stop until the runs of the ended
// attempt are over, and stops no other runs.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "job_dispatcher_fixture.h"
#include "log_lines.h"
#include "run_limits.h"

namespace egretswitch::internal {
namespace {

struct EntryFixture : JobDispatcherFixture {
  // Passes the time in which the agent answers each renewal.
  JobDispatcherActions PassWithAnswers(absl::Duration by,
                                       const std::string& agent = "agent-1") {
    JobDispatcherActions all;
    const absl::Duration step = absl::Milliseconds(20);
    for (absl::Duration passed; passed < by; passed += step) {
      for (JobDispatcherAction& action : Pass(step)) {
        all.push_back(std::move(action));
      }
      for (JobDispatcherAction& action : Report(agent, {}, Status())) {
        all.push_back(std::move(action));
      }
    }
    return all;
  }

  JobDispatcherActions LoseLink(const std::string& agent = "agent-1") {
    return Do(PeerDisconnected{agent, 1});
  }
  JobDispatcherActions RestoreLink(const std::string& agent = "agent-1") {
    return Do(PeerConnected{agent, 1});
  }

  // The attempts in the only renewal to agent-1 among the actions.
  static std::vector<uint64_t> Wanted(const JobDispatcherActions& actions) {
    const auto renewals = SentTo<RenewRuns>("agent-1", actions);
    BOOST_REQUIRE(renewals.size() == 1u);
    BOOST_REQUIRE(renewals[0].wanted_attempts.has_value());
    return *renewals[0].wanted_attempts;
  }

  uint32_t RunsOnRecord() const {
    return dispatcher.pool().Find("agent-1")->runs;
  }
};

using Attempts = std::vector<uint64_t>;

BOOST_FIXTURE_TEST_SUITE(abandoned_runs_at_the_entry, EntryFixture)

BOOST_AUTO_TEST_CASE(renewal_names_each_attempt_with_runs_on_the_agent) {
  AddAgent("agent-1");
  Arrive(1, 2);
  Arrive(2, 1, "77aa");
  Arrive(3, 1, "9b1d");
  Do(CallerLeft{2});
  const auto actions = PassWithAnswers(absl::Milliseconds(20));
  BOOST_TEST(Wanted(actions) == (Attempts{1, 3}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(new_link_gets_a_renewal_also_when_nothing_is_wanted) {
  AddAgent("agent-1");
  LoseLink();
  BOOST_TEST(Wanted(RestoreLink()).empty());
}

// The fault: the link and the caller's connection are lost together, while
// other jobs of the entry go on.
BOOST_AUTO_TEST_CASE(order_to_stop_lost_with_its_link_goes_out_on_the_next) {
  AddAgent("agent-1");
  Arrive(1, 2);
  Arrive(2, 1, "77aa");
  LoseLink();
  BOOST_TEST(SentTo<StopRuns>("agent-1", Do(CallerLeft{1})).empty());
  const auto actions = RestoreLink();
  BOOST_TEST(Wanted(actions) == (Attempts{2}),
             boost::test_tools::per_element());
  const auto stops = SentTo<StopRuns>("agent-1", actions);
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST(stops[0].job == "5c0e");
  BOOST_TEST(stops[0].runs.empty());
}

// The link seemed to be up when the order was sent.
BOOST_AUTO_TEST_CASE(order_to_stop_is_repeated_until_the_ends_are_reported) {
  AddAgent("agent-1");
  Arrive(1, 2);
  BOOST_TEST(SentTo<StopRuns>("agent-1", Do(CallerLeft{1})).size() == 1u);
  Report("agent-1", {End(0, RunEnd::kStopped)}, Status());
  const auto again = PassWithAnswers(2 * kRenewPeriod);
  BOOST_TEST(!SentTo<StopRuns>("agent-1", again).empty());
  for (const RenewRuns& renewal : SentTo<RenewRuns>("agent-1", again)) {
    BOOST_TEST((renewal.wanted_attempts == Attempts{}));
  }
  BOOST_TEST(dispatcher.counters().Get(RunCounter::kStopsRepeated) > 0u);
  Report("agent-1", {End(1, RunEnd::kStopped)}, Status());
  BOOST_TEST(
      SentTo<StopRuns>("agent-1", PassWithAnswers(2 * kRenewPeriod)).empty());
  BOOST_TEST(
      SentTo<RenewRuns>("agent-1", PassWithAnswers(2 * kRenewPeriod)).empty());
}

BOOST_AUTO_TEST_CASE(order_to_stop_is_forgotten_once_the_runs_are_over) {
  AddAgent("agent-1");
  Arrive(1, 2);
  Do(CallerLeft{1});
  PassWithAnswers(kRunCertainlyOver);
  BOOST_TEST(
      SentTo<RenewRuns>("agent-1", PassWithAnswers(2 * kRenewPeriod)).empty());
}

// An agent that has left a renewal unanswered gets no orders until it answers.
BOOST_AUTO_TEST_CASE(order_to_stop_reaches_an_agent_that_answers_again) {
  AddAgent("agent-1");
  Arrive(1, 1);
  Pass(kAgentSuspectAfter + absl::Milliseconds(80));
  BOOST_TEST(SentTo<StopRuns>("agent-1", Do(CallerLeft{1})).empty());
  Report("agent-1", {}, Status());
  const auto actions = Pass(absl::Milliseconds(20));
  BOOST_TEST(SentTo<StopRuns>("agent-1", actions).size() == 1u);
  BOOST_TEST(Wanted(actions).empty());
}

// The link fell silent with the order; nothing else is open at the entry.
BOOST_AUTO_TEST_CASE(link_that_lost_an_order_to_stop_is_redialled) {
  AddAgent("agent-1");
  Arrive(1, 1);
  PassWithAnswers(2 * kRenewPeriod);
  Do(CallerLeft{1});
  const auto actions = Pass(kRenewPeriod + kLinkRedialAfter + kRenewPeriod);
  BOOST_TEST(ActionsOf<RedialPeer>(actions).size() == 1u);
}

// An order names the job only. The next attempt starts once no order is due.
BOOST_AUTO_TEST_CASE(repeated_order_leaves_the_next_attempt_at_the_job) {
  AddAgent("agent-1");
  Arrive(1, 1);
  LoseLink();
  Do(CallerLeft{1});
  RestoreLink();
  Report("agent-1", {}, Status());
  BOOST_TEST(SentTo<StartRuns>("agent-1", Arrive(2, 1)).empty());
  const auto held = PassWithAnswers(kRenewPeriod + absl::Milliseconds(20));
  BOOST_TEST(SentTo<StopRuns>("agent-1", held).empty());
  BOOST_TEST(!SentTo<RenewRuns>("agent-1", held).empty());
  for (const RenewRuns& renewal : SentTo<RenewRuns>("agent-1", held)) {
    BOOST_TEST((renewal.wanted_attempts == Attempts{}));
  }
  const auto over = Report("agent-1", {End(0, RunEnd::kStopped)}, Status());
  BOOST_TEST(SentTo<StartRuns>("agent-1", over).size() == 1u);
  const auto started = PassWithAnswers(kRenewPeriod + absl::Milliseconds(20));
  BOOST_TEST(SentTo<StopRuns>("agent-1", started).empty());
  BOOST_TEST(!SentTo<RenewRuns>("agent-1", started).empty());
  for (const RenewRuns& renewal : SentTo<RenewRuns>("agent-1", started)) {
    BOOST_TEST((renewal.wanted_attempts == Attempts{2}));
  }
}

BOOST_AUTO_TEST_CASE(late_ends_of_an_abandoned_attempt_leave_the_run_count) {
  AddAgent("agent-1");
  Arrive(1, 2);
  Arrive(2, 1, "77aa");
  Do(CallerLeft{1});
  BOOST_TEST(RunsOnRecord() == 1u);
  Report("agent-1", {End(0, RunEnd::kStopped), End(1, RunEnd::kStopped)},
         Status());
  BOOST_TEST(RunsOnRecord() == 1u);
}

BOOST_AUTO_TEST_CASE(orders_for_a_replaced_agent_are_dropped) {
  AddAgent("agent-1");
  Arrive(1, 1);
  LoseLink();
  Do(CallerLeft{1});
  for (const auto& actions :
       {Do(PeerConnected{"agent-1", 2}), Pass(2 * kRenewPeriod)}) {
    BOOST_TEST(SentTo<StopRuns>("agent-1", actions).empty());
    BOOST_TEST(SentTo<RenewRuns>("agent-1", actions).empty());
  }
}

BOOST_AUTO_TEST_CASE(orders_after_a_pause_reach_agents_without_an_answer) {
  AddAgent("agent-1");
  Arrive(1, 1);
  PassWithAnswers(kRenewPeriod);
  Pass(kRenewPeriod);  // a renewal is in flight
  clock.Advance(kMaxEntryPause + absl::Milliseconds(1));
  Do(TimePassed{});
  Report("agent-1", {}, Status());
  const auto actions = Pass(absl::Milliseconds(40));
  BOOST_TEST(!SentTo<StopRuns>("agent-1", actions).empty());
  BOOST_TEST(Wanted(actions).empty());
}

// Guards against a lost order that no log tells from one that was carried out.
BOOST_AUTO_TEST_CASE(lost_order_its_repeat_and_the_end_of_its_runs_are_logged) {
  AddAgent("agent-1");
  Arrive(1, 2);
  LoseLink();
  const LogFields abandoned = FieldsOf("runs abandoned", Do(CallerLeft{1}));
  BOOST_TEST(abandoned.at("job") == "5c0e");
  BOOST_TEST(abandoned.at("attempt") == "1");
  BOOST_TEST(abandoned.at("ordered").empty());
  BOOST_TEST(abandoned.at("not_ordered") == "agent-1:2");
  clock.Advance(absl::Milliseconds(10));
  const LogFields repeated = FieldsOf("order to stop sent", RestoreLink());
  BOOST_TEST(repeated.at("job") == "5c0e");
  BOOST_TEST(repeated.at("attempt") == "1");
  BOOST_TEST(repeated.at("agent") == "agent-1");
  BOOST_TEST(repeated.at("runs") == "2");
  const LogFields over = FieldsOf(
      "abandoned runs over",
      Report("agent-1", {End(0, RunEnd::kStopped), End(1, RunEnd::kDone)},
             Status()));
  BOOST_TEST(over.at("job") == "5c0e");
  BOOST_TEST(over.at("known_by") == "reports");
  BOOST_TEST(over.at("unreported") == "0");
  BOOST_TEST(over.at("done") == "1");
}

BOOST_AUTO_TEST_CASE(abandoned_runs_without_a_report_are_logged_as_over) {
  AddAgent("agent-1");
  Arrive(1, 2);
  LoseLink();
  Do(CallerLeft{1});
  const LogFields over = FieldsOf("abandoned runs over",
                                  Pass(kRunCertainlyOver + absl::Seconds(1)));
  BOOST_TEST(over.at("known_by") == "time_limit");
  BOOST_TEST(over.at("unreported") == "2");
}

BOOST_AUTO_TEST_CASE(abandoned_runs_of_a_replaced_agent_are_logged) {
  AddAgent("agent-1");
  Arrive(1, 2);
  LoseLink();
  Do(CallerLeft{1});
  const LogFields over =
      FieldsOf("abandoned runs over", Do(PeerConnected{"agent-1", 2}));
  BOOST_TEST(over.at("known_by") == "agent_replaced");
}

struct StragglerFixture : EntryFixture {
  // Task 1 of job 5c0e is stopped on agent-1, to move to agent-2.
  void StopStraggler() {
    AddAgent("agent-1");
    Arrive(1, 2);
    AddAgent("agent-2");
    Report("agent-1", {End(0, RunEnd::kDone)}, Status());
    bool stopped = false;
    for (int i = 0; i < 30 && !stopped; ++i) {
      stopped =
          !SentTo<StopRuns>("agent-1", Pass(absl::Milliseconds(20))).empty();
      Report("agent-1", {}, Status());
    }
    BOOST_REQUIRE(stopped);
  }

  static void RequireStopOfStraggler(const JobDispatcherActions& actions) {
    const auto stops = SentTo<StopRuns>("agent-1", actions);
    BOOST_REQUIRE(!stops.empty());
    BOOST_TEST(stops[0].job == "5c0e");
    BOOST_REQUIRE(stops[0].runs.size() == 1u);
    BOOST_TEST(stops[0].runs[0].index == 1u);
    BOOST_TEST(stops[0].runs[0].run == 1u);
  }
};

BOOST_FIXTURE_TEST_CASE(stop_of_a_straggler_is_repeated_until_it_ends,
                        StragglerFixture) {
  StopStraggler();
  RequireStopOfStraggler(PassWithAnswers(kRenewPeriod));
  Report("agent-1", {End(1, RunEnd::kStopped)}, Status());
  BOOST_TEST(
      SentTo<StopRuns>("agent-1", PassWithAnswers(2 * kRenewPeriod)).empty());
}

BOOST_FIXTURE_TEST_CASE(stop_of_a_straggler_is_repeated_on_a_new_link,
                        StragglerFixture) {
  StopStraggler();
  LoseLink();
  const auto actions = RestoreLink();
  RequireStopOfStraggler(actions);
  const LogFields repeated = FieldsOf("stop of straggler repeated", actions);
  BOOST_TEST(repeated.at("job") == "5c0e");
  BOOST_TEST(repeated.at("task") == "0/1");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
