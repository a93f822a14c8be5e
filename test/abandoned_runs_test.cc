// Tests that the runs of an ended attempt end although the order to stop them
// is lost, and that no other runs do.
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "job_dispatcher_fixture.h"
#include "run_limits.h"
#include "run_manager_fixture.h"

namespace egretswitch::internal {
namespace {

using Fields = std::map<std::string, std::string>;

// The fields of the only line `event` among the actions that is always written.
template <typename Actions>
Fields FieldsOf(std::string_view event, const Actions& actions) {
  std::vector<NoteStateChange> lines = ActionsOf<NoteStateChange>(actions);
  std::erase_if(lines, [event](const NoteStateChange& line) {
    return line.what != event || line.routine;
  });
  BOOST_REQUIRE(lines.size() == 1u);
  Fields fields;
  for (const NoteField& field : lines.front().fields) {
    fields[field.key] = field.value;
  }
  return fields;
}

// ---- The agent

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

  RenewRuns Renewal(std::vector<uint64_t> attempts) {
    return {.sent_at_ms = clock.ms(),
            .wanted = {},
            .ordered_before = {},
            .wanted_attempts = std::move(attempts)};
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

// ---- The entry

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

BOOST_AUTO_TEST_CASE(repeated_order_leaves_the_next_attempt_at_the_job) {
  AddAgent("agent-1");
  Arrive(1, 1);
  LoseLink();
  Do(CallerLeft{1});
  RestoreLink();
  Report("agent-1", {}, Status());
  Arrive(2, 1);
  const auto actions = PassWithAnswers(kRenewPeriod + absl::Milliseconds(20));
  BOOST_TEST(SentTo<StopRuns>("agent-1", actions).empty());
  BOOST_TEST(!SentTo<RenewRuns>("agent-1", actions).empty());
  for (const RenewRuns& renewal : SentTo<RenewRuns>("agent-1", actions)) {
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
  const Fields abandoned = FieldsOf("runs abandoned", Do(CallerLeft{1}));
  BOOST_TEST(abandoned.at("job") == "5c0e");
  BOOST_TEST(abandoned.at("attempt") == "1");
  BOOST_TEST(abandoned.at("ordered").empty());
  BOOST_TEST(abandoned.at("not_ordered") == "agent-1:2");
  clock.Advance(absl::Milliseconds(10));
  const Fields repeated = FieldsOf("order to stop sent", RestoreLink());
  BOOST_TEST(repeated.at("job") == "5c0e");
  BOOST_TEST(repeated.at("attempt") == "1");
  BOOST_TEST(repeated.at("agent") == "agent-1");
  BOOST_TEST(repeated.at("runs") == "2");
  const Fields over = FieldsOf(
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
  const Fields over = FieldsOf("abandoned runs over",
                               Pass(kRunCertainlyOver + absl::Seconds(1)));
  BOOST_TEST(over.at("known_by") == "time_limit");
  BOOST_TEST(over.at("unreported") == "2");
}

BOOST_AUTO_TEST_CASE(abandoned_runs_of_a_replaced_agent_are_logged) {
  AddAgent("agent-1");
  Arrive(1, 2);
  LoseLink();
  Do(CallerLeft{1});
  const Fields over =
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
  const Fields repeated = FieldsOf("stop of straggler repeated", actions);
  BOOST_TEST(repeated.at("job") == "5c0e");
  BOOST_TEST(repeated.at("task") == "0/1");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
