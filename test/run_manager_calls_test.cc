// RunManager: calls to the worker that are unanswered, refused or fenced.
#include "run_manager.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "run_limits.h"
#include "run_manager_fixture.h"

namespace egretswitch::internal {
namespace {

BOOST_FIXTURE_TEST_SUITE(run_manager, RunManagerFixture)

BOOST_AUTO_TEST_CASE(start_unanswered_and_listed_keeps_running) {
  Do(PeerConnected{"entry-1", 7});
  const PollCall poll = LastPoll(ConnectWorker("i-1"));
  const auto calls = ActionsOf<StartCall>(SendFromEntry(Start(1)));
  clock.Advance(absl::Milliseconds(150));
  const RunManagerActions actions =
      Do(StartAnswered{calls[0], {CallVerdict::kUnknown, 0}});
  const PollCall short_poll = LastPoll(actions);
  BOOST_TEST((short_poll.wait == absl::ZeroDuration()));
  clock.Advance(absl::Milliseconds(1));
  BOOST_TEST(ActionsOf<StopCall>(AnswerPoll(short_poll, {Key(0)}, {})).empty());
  clock.Advance(absl::Milliseconds(1));
  const auto reports =
      Reports(AnswerPoll(poll, {}, {{1, Key(0), WorkerRunEnd::kDone}}));
  BOOST_TEST(reports.size() == 1u);
}

// The worker may carry out the start much later, unless it has answered a stop.
// Only then is the run reported as over.
BOOST_AUTO_TEST_CASE(start_unanswered_and_not_listed_is_stopped_then_reported) {
  Do(PeerConnected{"entry-1", 7});
  ConnectWorker("i-1");
  const auto calls = ActionsOf<StartCall>(SendFromEntry(Start(1)));
  const PollCall short_poll =
      LastPoll(Do(StartAnswered{calls[0], {CallVerdict::kUnknown, 0}}));
  clock.Advance(absl::Milliseconds(1));
  const RunManagerActions stopping = AnswerPoll(short_poll, {}, {});
  const auto stops = ActionsOf<StopCall>(stopping);
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST(Reports(stopping).empty());
  const PollCall after = LastPoll(Do(StopAnswered{stops[0], Answer()}));
  clock.Advance(absl::Milliseconds(1));
  const auto reports = Reports(AnswerPoll(after, {}, {}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kStopped));
}

BOOST_AUTO_TEST_CASE(start_without_an_answer_is_retried) {
  Do(PeerConnected{"entry-1", 7});
  ConnectWorker("i-1");
  const auto first = ActionsOf<StartCall>(SendFromEntry(Start(1)));
  BOOST_TEST((manager.NextWake() <= clock.now().mono + kStartRetry));
  const auto second = ActionsOf<StartCall>(Pass(kStartRetry));
  BOOST_REQUIRE(second.size() == 1u);
  BOOST_TEST((second[0].key == first[0].key));
  BOOST_TEST(second[0].spec == first[0].spec);
  Do(StartAnswered{second[0], Answer()});
  // The first call's result no longer matters.
  Do(StartAnswered{first[0], {CallVerdict::kUnknown, 0}});
  BOOST_TEST(ActionsOf<StartCall>(Pass(kStartRetry)).empty());
  BOOST_TEST(manager.runs() == 1u);
}

// With one long poll, a lost answer would hide the ends of all runs until the
// poll is overdue.
BOOST_AUTO_TEST_CASE(second_long_poll_is_sent_while_calls_get_lost) {
  RunOneTask();
  const auto first = ActionsOf<StartCall>(SendFromEntry(Start(1, 5)));
  const auto polls = ActionsOf<PollCall>(Pass(kStartRetry));
  BOOST_REQUIRE(polls.size() == 2u);
  BOOST_TEST((polls[0].wait == kPollWait));
  BOOST_TEST((polls[1].wait == absl::ZeroDuration()));
  const auto reports =
      Reports(AnswerPoll(polls[0], {}, {{1, Key(0), WorkerRunEnd::kDone}}));
  BOOST_TEST(reports.size() == 1u);
}

// Lost short polls do not delay the next one, up to a limit of open ones. No
// short poll is sent while nothing runs: see the next test.
BOOST_AUTO_TEST_CASE(short_polls_follow_each_other_while_calls_get_lost) {
  RunOneTask();
  SendFromEntry(Start(1, 5));
  Pass(kStartRetry);
  size_t polls = 1;
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(
        (manager.NextWake() <= clock.now().mono + absl::Milliseconds(50)));
    for (const PollCall& poll :
         ActionsOf<PollCall>(Pass(absl::Milliseconds(5)))) {
      polls += poll.wait == absl::ZeroDuration() ? 1 : 0;
    }
  }
  BOOST_TEST(polls >= 5u);
  BOOST_TEST(polls <= 8u);
}

BOOST_AUTO_TEST_CASE(short_polls_end_with_the_last_run) {
  RunOneTask();
  SendFromEntry(Start(1, 5));
  const PollCall poll = LastPoll(Pass(kStartRetry));
  AnswerPoll(
      poll, {},
      {{1, Key(0), WorkerRunEnd::kDone}, {2, Key(0, 5), WorkerRunEnd::kDone}});
  BOOST_TEST(manager.runs() == 0u);
  BOOST_TEST(ActionsOf<PollCall>(Pass(absl::Milliseconds(100))).empty());
}

BOOST_AUTO_TEST_CASE(start_is_retried_up_to_its_limit) {
  Do(PeerConnected{"entry-1", 7});
  ConnectWorker("i-1");
  SendFromEntry(Start(1));
  size_t repeated = 0;
  for (uint32_t i = 0; i < 2 * kMaxStartCalls; ++i) {
    repeated += ActionsOf<StartCall>(Pass(kStartRetry)).size();
  }
  BOOST_TEST(repeated == kMaxStartCalls - 1);
}

// The first call may have started the run, which may have ended since.
BOOST_AUTO_TEST_CASE(start_refused_after_a_lost_call_may_have_run) {
  Do(PeerConnected{"entry-1", 7});
  ConnectWorker("i-1");
  const auto first = ActionsOf<StartCall>(SendFromEntry(Start(1)));
  const RunManagerActions again = Pass(kStartRetry);
  const auto second = ActionsOf<StartCall>(again);
  BOOST_TEST(
      Reports(Do(StartAnswered{second[0], Answer(CallVerdict::kOldNumber)}))
          .empty());
  const RunManagerActions lost =
      Do(StartAnswered{first[0], {CallVerdict::kUnknown, 0}});
  BOOST_TEST(Reports(lost).empty());
  // Answers the poll that was sent with the second call.
  const auto reports = Reports(
      AnswerPoll(LastPoll(again), {}, {{1, Key(0), WorkerRunEnd::kDone}}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kDone));
}

BOOST_AUTO_TEST_CASE(start_refused_at_each_call_never_started) {
  Do(PeerConnected{"entry-1", 7});
  ConnectWorker("i-1");
  const auto first = ActionsOf<StartCall>(SendFromEntry(Start(1)));
  const auto second = ActionsOf<StartCall>(Pass(kStartRetry));
  Do(StartAnswered{first[0], Answer(CallVerdict::kNoCapacity)});
  const auto reports =
      Reports(Do(StartAnswered{second[0], Answer(CallVerdict::kNoCapacity)}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kNoCapacity));
}

// The agent shares its processor with the worker: a run that waits for a poll
// must not wake the agent repeatedly in the meantime.
BOOST_AUTO_TEST_CASE(answered_stop_sets_no_wake_time_in_the_past) {
  RunOneTask();
  const auto stops = ActionsOf<StopCall>(Pass(kRunLease));
  BOOST_REQUIRE(stops.size() == 1u);
  Do(StopAnswered{stops[0], Answer()});
  BOOST_TEST((manager.NextWake() > clock.now().mono));
}

BOOST_AUTO_TEST_CASE(stop_without_an_answer_is_repeated) {
  RunOneTask();
  BOOST_TEST(
      ActionsOf<StopCall>(SendFromEntry(StopRuns{"5c0e", 0, {}})).size() == 1u);
  BOOST_TEST(ActionsOf<StopCall>(Pass(kStopRetry)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(run_of_no_entry_is_stopped) {
  Do(PeerConnected{"entry-1", 7});
  const PollCall poll = LastPoll(ConnectWorker("i-1"));
  const auto stops = ActionsOf<StopCall>(AnswerPoll(poll, {Key(3, 9)}, {}));
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST((stops[0].key == Key(3, 9)));
}

BOOST_AUTO_TEST_CASE(call_fenced_by_a_higher_token_raises_the_agents_token) {
  Do(PeerConnected{"entry-1", 7});
  ConnectWorker("i-1");
  const auto calls = ActionsOf<StartCall>(SendFromEntry(Start(1)));
  const RunManagerActions actions =
      Do(StartAnswered{calls[0], Answer(CallVerdict::kFenced)});
  BOOST_TEST((Reports(actions)[0].end == RunEnd::kStale));
  const auto again = ActionsOf<StartCall>(SendFromEntry(Start(1, 2)));
  BOOST_REQUIRE(again.size() == 1u);
  BOOST_TEST(again[0].fencing_token > calls[0].fencing_token);
}

// The lease of an unresponsive worker is no longer renewed. Its runs are
// reported as over only once the last lease has certainly expired.
BOOST_AUTO_TEST_CASE(
    unresponsive_worker_has_its_runs_reported_after_the_last_lease) {
  PollCall poll = RunOneTask();
  std::vector<RunReport> reports;
  absl::Duration waited;
  absl::Duration last_lease;
  while (reports.empty() && waited < absl::Seconds(5)) {
    SendFromEntry(RenewRuns{clock.ms(), {}});
    if (poll.lease_until_ms > 0) {
      last_lease = waited;
    }
    clock.Advance(absl::Milliseconds(100));
    waited += absl::Milliseconds(100);
    const RunManagerActions failed =
        AnswerPoll(poll, {}, {}, CallVerdict::kUnknown);
    reports = Reports(failed);
    const RunManagerActions next = Pass(absl::Milliseconds(50));
    waited += absl::Milliseconds(50);
    const auto polls = ActionsOf<PollCall>(next);
    if (!polls.empty()) {
      poll = polls.back();
    }
    if (reports.empty()) {
      reports = Reports(next);
    }
  }
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kWorkerLost));
  BOOST_TEST((waited - last_lease > kWorkerLease / 0.98));
}

// Guards against a start that an agent repeats as it wakes, before it notices
// that the run's entry has given the task away.
BOOST_AUTO_TEST_CASE(start_is_not_repeated_once_its_lease_has_ended) {
  Do(PeerConnected{"entry-1", 7});
  const PollCall poll = LastPoll(ConnectWorker("i-1"));
  BOOST_REQUIRE(ActionsOf<StartCall>(SendFromEntry(Start(1))).size() == 1u);
  clock.Advance(kRunLease);
  const auto woken = AnswerPoll(poll, {}, {});
  BOOST_TEST(ActionsOf<StartCall>(woken).empty());
  const auto later = Do(TimePassed{});
  BOOST_TEST(ActionsOf<StartCall>(later).empty());
  BOOST_TEST(ActionsOf<StopCall>(later).size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
