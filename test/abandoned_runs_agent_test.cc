// Tests that an agent ends the runs of an ended attempt although the order to
// stop them is lost, and no other runs.
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "log_lines.h"
#include "run_limits.h"
#include "run_manager_fixture.h"

namespace egretswitch::internal {
namespace {

struct AgentFixture : RunManagerFixture {
  AgentFixture() {
    Do(PeerConnected{"entry-1", 7});
    poll = LastPoll(ConnectWorker("i-1"));
  }

  StartRuns StartOf(uint64_t attempt,
                    RunNumber run = 1,
                    const std::string& job = "5c0e") {
    StartRuns start = Start(1, run);
    start.attempt = attempt;
    start.job = job;
    return start;
  }

  // Returns the stops of the time in which the worker runs task 0.
  std::vector<StopCall> PassWhileRunning(absl::Duration by) {
    std::vector<StopCall> stops;
    for (absl::Duration passed; passed < by; passed += absl::Milliseconds(50)) {
      for (const StopCall& stop :
           ActionsOf<StopCall>(Pass(absl::Milliseconds(50)))) {
        stops.push_back(stop);
      }
      poll = LastPoll(AnswerPoll(poll, {Key(0)}, {}));
    }
    return stops;
  }

  PollCall poll;
};

BOOST_FIXTURE_TEST_SUITE(abandoned_runs_at_the_agent, AgentFixture)

BOOST_AUTO_TEST_CASE(run_that_a_renewal_does_not_name_is_stopped_at_once) {
  SendFromEntry(StartOf(1));
  SendFromEntry(StartOf(2, 1, "77aa"));
  const auto stops = ActionsOf<StopCall>(SendFromEntry(Renewal({2})));
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST((stops[0].key == Key(0)));
  BOOST_TEST(manager.counters().Get(RunCounter::kStoppedNotWanted) == 1u);
  BOOST_TEST(ActionsOf<StopCall>(SendFromEntry(Renewal({2}))).empty());
}

// The load of the entry's other jobs must not keep an abandoned run alive.
BOOST_AUTO_TEST_CASE(starts_of_other_attempts_do_not_extend_a_run) {
  SendFromEntry(StartOf(1));
  std::vector<StopCall> stops;
  absl::Duration waited;
  for (uint64_t other = 2; stops.empty() && waited < 2 * kRunLease; ++other) {
    stops = ActionsOf<StopCall>(Pass(absl::Milliseconds(50)));
    waited += absl::Milliseconds(50);
    SendFromEntry(StartOf(other, 1, "job-" + std::to_string(other)));
  }
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST((stops[0].key == Key(0)));
  BOOST_TEST((waited == kRunLease));
}

BOOST_AUTO_TEST_CASE(renewals_that_name_a_run_extend_it) {
  SendFromEntry(StartOf(1));
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(PassWhileRunning(kRenewPeriod).empty());
    SendFromEntry(Renewal({1}));
  }
  BOOST_TEST(PassWhileRunning(kRunLease - absl::Milliseconds(50)).empty());
  BOOST_TEST(PassWhileRunning(absl::Milliseconds(50)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(new_link_with_nothing_wanted_stops_all_runs) {
  SendFromEntry(StartOf(1));
  SendFromEntry(StartOf(2, 1, "77aa"));
  Do(PeerDisconnected{"entry-1", 7});
  BOOST_TEST(ActionsOf<StopCall>(Do(PeerConnected{"entry-1", 7})).empty());
  BOOST_TEST(ActionsOf<StopCall>(SendFromEntry(Renewal({}))).size() == 2u);
}

// A renewal may be handled late, as one that waited in a former link would be.
BOOST_AUTO_TEST_CASE(renewal_sent_before_a_start_does_not_stop_its_run) {
  const RenewRuns before = Renewal({});
  clock.Advance(absl::Milliseconds(1));
  SendFromEntry(StartOf(1));
  BOOST_TEST(ActionsOf<StopCall>(SendFromEntry(before)).empty());
  clock.Advance(absl::Milliseconds(1));
  BOOST_TEST(ActionsOf<StopCall>(SendFromEntry(Renewal({}))).size() == 1u);
}

BOOST_AUTO_TEST_CASE(renewal_without_attempts_extends_all_runs_of_its_entry) {
  SendFromEntry(StartOf(1));
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(PassWhileRunning(kRenewPeriod).empty());
    SendFromEntry(RenewRuns{clock.ms(), {}});
  }
  BOOST_TEST(manager.runs() == 1u);
}

// An entry of the former version lists the runs that it wants on a new link.
// Guards against the others going on for as long as it renews any.
BOOST_AUTO_TEST_CASE(former_entry_on_a_new_link_keeps_only_the_runs_it_lists) {
  SendFromEntry(StartOf(1));
  SendFromEntry(StartOf(2, 1, "77aa"));
  Do(PeerConnected{"entry-1", 7});
  RenewRuns renewal{clock.ms(), {}};
  renewal.ordered_before = {{{"77aa", 0, 0}, 1, 2}};
  const auto stops = ActionsOf<StopCall>(SendFromEntry(renewal));
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST((stops[0].key == Key(0)));
  BOOST_TEST(
      ActionsOf<StopCall>(SendFromEntry(RenewRuns{clock.ms(), {}})).empty());
}

// It sends no list if it wants none of them.
BOOST_AUTO_TEST_CASE(former_entry_that_lists_no_runs_has_earlier_ones_stopped) {
  SendFromEntry(StartOf(1));
  Do(PeerConnected{"entry-1", 7});
  SendFromEntry(StartOf(2, 1, "77aa"));
  const auto stops =
      ActionsOf<StopCall>(SendFromEntry(RenewRuns{clock.ms(), {}}));
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST((stops[0].key == Key(0)));
}

// Each process numbers its attempts from 1. Guards against an entry that takes
// the end of its predecessor's run for that of its own.
BOOST_AUTO_TEST_CASE(end_of_a_run_is_not_reported_to_the_next_entry_process) {
  SendFromEntry(StartOf(1));
  const auto stops = ActionsOf<StopCall>(Do(PeerConnected{"entry-1", 8}));
  BOOST_REQUIRE(stops.size() == 1u);
  const PollCall list = LastPoll(Do(StopAnswered{stops[0], Answer()}));
  clock.Advance(absl::Milliseconds(1));
  const auto actions = AnswerPoll(list, {}, {});
  BOOST_TEST(manager.runs() == 0u);
  BOOST_TEST(Reports(actions).empty());
  BOOST_TEST(manager.counters().Get(RunCounter::kRunsStopped) == 1u);
}

BOOST_AUTO_TEST_CASE(end_of_a_run_is_reported_to_its_entry_that_is_back) {
  SendFromEntry(StartOf(1));
  const auto stops = ActionsOf<StopCall>(Do(PeerConnected{"entry-1", 8}));
  BOOST_REQUIRE(stops.size() == 1u);
  Do(PeerConnected{"entry-1", 7});
  const PollCall list = LastPoll(Do(StopAnswered{stops[0], Answer()}));
  clock.Advance(absl::Milliseconds(1));
  const auto reports = Reports(AnswerPoll(list, {}, {}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kStopped));
}

BOOST_AUTO_TEST_CASE(renewal_stops_only_the_former_of_two_attempts_at_a_job) {
  SendFromEntry(StartOf(1));
  SendFromEntry(StartOf(2, 17));
  const auto stops = ActionsOf<StopCall>(SendFromEntry(Renewal({2})));
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST((stops[0].key == Key(0, 1)));
}

BOOST_AUTO_TEST_CASE(renewal_leaves_the_runs_of_another_entry) {
  SendFromEntry(StartOf(1));
  Do(PeerConnected{"entry-2", 9});
  BOOST_TEST(
      ActionsOf<StopCall>(Do(PeerMessageReceived{"entry-2", 9, Renewal({})}))
          .empty());
}

// Guards against a log that doesn't tell which attempt a run belonged to, and
// what ended it.
BOOST_AUTO_TEST_CASE(stop_and_end_of_a_run_are_logged_with_its_attempt) {
  SendFromEntry(StartOf(4));
  const auto stopping = SendFromEntry(Renewal({}));
  const auto stopped = FieldsOf("run stopped", stopping);
  BOOST_TEST(stopped.at("task") == "5c0e/0/0");
  BOOST_TEST(stopped.at("attempt") == "4");
  BOOST_TEST(stopped.at("why") == "not_wanted");
  const PollCall list = LastPoll(
      Do(StopAnswered{ActionsOf<StopCall>(stopping).front(), Answer()}));
  clock.Advance(absl::Milliseconds(1));
  const auto ended = FieldsOf("run ended", AnswerPoll(list, {}, {}));
  BOOST_TEST(ended.at("task") == "5c0e/0/0");
  BOOST_TEST(ended.at("attempt") == "4");
}

BOOST_AUTO_TEST_CASE(end_of_a_run_that_is_not_wanted_is_reported) {
  SendFromEntry(StartOf(1));
  const auto stops = ActionsOf<StopCall>(SendFromEntry(Renewal({})));
  BOOST_REQUIRE(stops.size() == 1u);
  const PollCall poll = LastPoll(Do(StopAnswered{stops[0], Answer()}));
  clock.Advance(absl::Milliseconds(1));
  const auto reports = Reports(AnswerPoll(poll, {}, {}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kStopped));
  BOOST_TEST(reports[0].attempt == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
