// RunManager: orders of entries, and answers and announcements of the worker.
#include "run_manager.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "run_limits.h"
#include "run_manager_fixture.h"

namespace egretswitch::internal {
namespace {

BOOST_FIXTURE_TEST_SUITE(run_manager, RunManagerFixture)

BOOST_AUTO_TEST_CASE(start_within_capacity_is_passed_on_under_a_lease) {
  Do(PeerConnected{"entry-1", 7});
  ConnectWorker("i-1");
  const auto calls = ActionsOf<StartCall>(SendFromEntry(Start(2)));
  BOOST_REQUIRE(calls.size() == 2u);
  BOOST_TEST(calls[0].worker == "i-1");
  BOOST_TEST((calls[0].key == Key(0)));
  BOOST_TEST(calls[0].spec == "text");
  BOOST_TEST(calls[0].fencing_token == 5000u + clock.ms());
  BOOST_TEST(calls[0].lease_until_ms ==
             5000 + clock.ms() + absl::ToInt64Milliseconds(kWorkerLease));
}

BOOST_AUTO_TEST_CASE(start_beyond_capacity_is_reported_as_no_room) {
  Do(PeerConnected{"entry-1", 7});
  ConnectWorker("i-1");
  const RunManagerActions actions = SendFromEntry(Start(11));
  BOOST_TEST(ActionsOf<StartCall>(actions).size() == 10u);
  const auto reports = Reports(actions);
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kNoCapacity));
}

BOOST_AUTO_TEST_CASE(start_numbered_as_a_run_of_a_former_attempt_is_refused) {
  RunOneTask();
  StartRuns second = Start(1);
  second.attempt = 2;
  const RunManagerActions actions = SendFromEntry(second);
  BOOST_TEST(ActionsOf<StartCall>(actions).empty());
  const auto reports = Reports(actions);
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kOldNumber));
  BOOST_TEST(reports[0].attempt == 2u);
}

BOOST_AUTO_TEST_CASE(start_order_older_than_freshness_does_nothing) {
  Do(PeerConnected{"entry-1", 7});
  ConnectWorker("i-1");
  const StartRuns start = Start(1);
  clock.Advance(kMaxStartAge + absl::Milliseconds(1));
  const RunManagerActions actions = SendFromEntry(start);
  BOOST_TEST(ActionsOf<StartCall>(actions).empty());
  BOOST_REQUIRE(Reports(actions).size() == 1u);
  BOOST_TEST((Reports(actions)[0].end == RunEnd::kStale));
}

BOOST_AUTO_TEST_CASE(start_meant_for_a_former_worker_does_nothing) {
  Do(PeerConnected{"entry-1", 7});
  ConnectWorker("i-2");
  const RunManagerActions actions = SendFromEntry(Start(1));
  BOOST_TEST(ActionsOf<StartCall>(actions).empty());
  BOOST_TEST((Reports(actions)[0].end == RunEnd::kStale));
}

BOOST_AUTO_TEST_CASE(start_leaving_worker_is_reported_as_leaving) {
  Do(PeerConnected{"entry-1", 7});
  ConnectWorker("i-1");
  WorkerAnnouncement leaving = Announcement("i-1");
  leaving.leaving = true;
  const auto sent = SentTo<RunReports>("entry-1", Do(WorkerAnnounced{leaving}));
  BOOST_REQUIRE(sent.size() == 1u);
  BOOST_TEST(!sent[0].worker.accepting);
  const RunManagerActions actions = SendFromEntry(Start(1));
  BOOST_TEST(ActionsOf<StartCall>(actions).empty());
  BOOST_TEST((Reports(actions)[0].end == RunEnd::kLeaving));
}

BOOST_AUTO_TEST_CASE(announcement_older_than_leaving_does_not_undo_it) {
  Do(PeerConnected{"entry-1", 7});
  ConnectWorker("i-1");
  const WorkerAnnouncement before = Announcement("i-1");
  WorkerAnnouncement leaving = Announcement("i-1");
  leaving.leaving = true;
  Do(WorkerAnnounced{leaving});
  Do(WorkerAnnounced{before});
  BOOST_TEST(ActionsOf<StartCall>(SendFromEntry(Start(1))).empty());
}

BOOST_AUTO_TEST_CASE(announcement_of_a_former_worker_is_not_adopted) {
  Do(PeerConnected{"entry-1", 7});
  ConnectWorker("i-1");
  const auto polls =
      ActionsOf<PollCall>(Do(WorkerAnnounced{Announcement("i-0")}));
  BOOST_REQUIRE(polls.size() == 1u);
  AnswerPoll(polls[0], {}, {}, CallVerdict::kOtherWorker);
  BOOST_TEST(manager.worker().present().incarnation == "i-1");
}

BOOST_AUTO_TEST_CASE(hint_of_an_entry_is_adopted_once_the_worker_answers) {
  Do(PeerConnected{"entry-1", 7});
  const PollCall poll =
      LastPoll(SendFromEntry(WorkerHint{Announcement("i-1")}));
  BOOST_TEST(!manager.worker().identified());
  AnswerPoll(poll, {}, {});
  BOOST_TEST(manager.worker().present().incarnation == "i-1");
  BOOST_TEST(ActionsOf<StartCall>(SendFromEntry(Start(1))).size() == 1u);
}

// The hint dates from when the former agent adopted the worker, so the token
// made from it is below that agent's token.
BOOST_AUTO_TEST_CASE(hint_whose_token_is_too_low_is_retried_at_once) {
  Do(PeerConnected{"entry-1", 7});
  const PollCall poll =
      LastPoll(SendFromEntry(WorkerHint{Announcement("i-1")}));
  const PollCall again =
      LastPoll(AnswerPoll(poll, {}, {}, CallVerdict::kFenced));
  BOOST_TEST(again.worker == "i-1");
  BOOST_TEST(again.fencing_token >= static_cast<uint64_t>(Answer().clock_ms));
  AnswerPoll(again, {}, {});
  BOOST_TEST(ActionsOf<StartCall>(SendFromEntry(Start(1))).size() == 1u);
}

BOOST_AUTO_TEST_CASE(hint_that_stays_fenced_is_retried_after_a_pause) {
  Do(PeerConnected{"entry-1", 7});
  const PollCall poll =
      LastPoll(SendFromEntry(WorkerHint{Announcement("i-1")}));
  const PollCall again =
      LastPoll(AnswerPoll(poll, {}, {}, CallVerdict::kFenced));
  BOOST_TEST(
      ActionsOf<PollCall>(AnswerPoll(again, {}, {}, CallVerdict::kFenced))
          .empty());
  BOOST_TEST(!ActionsOf<PollCall>(Pass(absl::Milliseconds(60))).empty());
}

// Any process can send such a report; it must not make the worker unavailable
// to its entries.
BOOST_AUTO_TEST_CASE(
    report_with_another_service_of_the_worker_changes_nothing) {
  Do(PeerConnected{"entry-1", 7});
  ConnectWorker("i-1");
  WorkerAnnouncement other = Announcement("i-1");
  other.service = "elsewhere";
  other.sequence = 1u << 30;
  Do(WorkerAnnounced{other});
  BOOST_TEST(manager.worker().present().service == "desk");
  BOOST_TEST(manager.counters().Get(RunCounter::kReportsUnreadable) == 1u);
  BOOST_TEST(ActionsOf<StartCall>(SendFromEntry(Start(1))).size() == 1u);
}

BOOST_AUTO_TEST_CASE(report_that_the_worker_leaves_is_applied_out_of_order) {
  Do(PeerConnected{"entry-1", 7});
  ConnectWorker("i-1");
  WorkerAnnouncement ahead = Announcement("i-1");
  ahead.sequence = 1u << 30;
  Do(WorkerAnnounced{ahead});
  WorkerAnnouncement leaving = Announcement("i-1");
  leaving.leaving = true;
  Do(WorkerAnnounced{leaving});
  BOOST_TEST(ActionsOf<StartCall>(SendFromEntry(Start(1))).empty());
}

BOOST_AUTO_TEST_CASE(hint_of_a_former_worker_is_dropped) {
  Do(PeerConnected{"entry-1", 7});
  const PollCall poll =
      LastPoll(SendFromEntry(WorkerHint{Announcement("i-0")}));
  AnswerPoll(poll, {}, {}, CallVerdict::kOtherWorker);
  BOOST_TEST(!manager.worker().identified());
  ConnectWorker("i-1");
  BOOST_TEST(ActionsOf<PollCall>(SendFromEntry(WorkerHint{Announcement("i-0")}))
                 .empty());
}

BOOST_AUTO_TEST_CASE(hint_of_a_leaving_worker_starts_nothing_on_it) {
  Do(PeerConnected{"entry-1", 7});
  WorkerAnnouncement leaving = Announcement("i-1");
  leaving.leaving = true;
  AnswerPoll(LastPoll(SendFromEntry(WorkerHint{leaving})), {}, {});
  BOOST_TEST(ActionsOf<StartCall>(SendFromEntry(Start(1))).empty());
}

BOOST_AUTO_TEST_CASE(overdue_long_poll_is_joined_by_a_short_one) {
  RunOneTask();
  const auto short_poll = ActionsOf<PollCall>(Pass(kPollOverdue));
  BOOST_REQUIRE(short_poll.size() == 1u);
  BOOST_TEST((short_poll[0].wait == absl::ZeroDuration()));
  BOOST_TEST(short_poll[0].lease_until_ms > 0);
}

BOOST_AUTO_TEST_CASE(worker_replaced_by_another_ends_its_runs) {
  RunOneTask();
  const auto polls =
      ActionsOf<PollCall>(Do(WorkerAnnounced{Announcement("i-2")}));
  const auto reports = Reports(AnswerPoll(polls[0], {}, {}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kWorkerLost));
  BOOST_TEST(manager.worker().present().incarnation == "i-2");
}

BOOST_AUTO_TEST_CASE(
    end_listed_by_the_worker_is_reported_once_and_acknowledged) {
  const PollCall poll = RunOneTask();
  clock.Advance(absl::Milliseconds(60));
  const EndedRun done{1, Key(0), WorkerRunEnd::kDone};
  const RunManagerActions actions = AnswerPoll(poll, {}, {done});
  const auto reports = Reports(actions);
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kDone));
  BOOST_TEST(reports[0].run_ms == 60u);
  const PollCall next = LastPoll(actions);
  BOOST_TEST(next.acknowledged == 1u);
  BOOST_TEST(Reports(AnswerPoll(next, {}, {done})).empty());
}

BOOST_AUTO_TEST_CASE(polls_follow_each_other_and_renew_the_lease) {
  const PollCall poll = RunOneTask();
  BOOST_TEST((poll.wait == kPollWait));
  clock.Advance(kPollWait);
  const PollCall next = LastPoll(AnswerPoll(poll, {Key(0)}, {}));
  BOOST_TEST(next.lease_until_ms ==
             5000 + clock.ms() + absl::ToInt64Milliseconds(kWorkerLease));
}

BOOST_AUTO_TEST_CASE(entry_unresponsive_for_its_bound_has_its_runs_stopped) {
  RunOneTask();
  BOOST_TEST(
      ActionsOf<StopCall>(Pass(kRunLease - absl::Milliseconds(1))).empty());
  const auto stops = ActionsOf<StopCall>(Pass(absl::Milliseconds(1)));
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST((stops[0].key == Key(0)));
}

BOOST_AUTO_TEST_CASE(renewal_extends_runs_from_its_send_time) {
  RunOneTask();
  const RenewRuns renewal{clock.ms() + 100, {}};
  clock.Advance(absl::Milliseconds(300));  // it was in transit for 200 ms
  SendFromEntry(renewal);
  BOOST_TEST((manager.NextWake() <=
              absl::Milliseconds(renewal.sent_at_ms) + kRunLease));
  clock.Advance(kRunLease - absl::Milliseconds(200));
  BOOST_TEST(ActionsOf<StopCall>(Do(TimePassed{})).size() == 1u);
}

BOOST_AUTO_TEST_CASE(entry_replaced_by_another_process_has_its_runs_stopped) {
  RunOneTask();
  const RunManagerActions actions = Do(PeerConnected{"entry-1", 8});
  BOOST_TEST(ActionsOf<StopCall>(actions).size() == 1u);
}

BOOST_AUTO_TEST_CASE(reconnected_link_keeps_runs_and_reports) {
  const PollCall poll = RunOneTask();
  Do(PeerDisconnected{"entry-1", 7});
  BOOST_TEST(Reports(AnswerPoll(poll, {}, {{1, Key(0), WorkerRunEnd::kDone}}))
                 .empty());
  const RunManagerActions actions = Do(PeerConnected{"entry-1", 7});
  BOOST_TEST(ActionsOf<StopCall>(actions).empty());
  BOOST_TEST(Reports(actions).size() == 1u);
}

// If a report that is lost with its link were not resent, its job would wait
// until its timeout.
BOOST_AUTO_TEST_CASE(end_whose_report_was_lost_is_resent_on_the_next_link) {
  const PollCall poll = RunOneTask();
  BOOST_TEST(Reports(AnswerPoll(poll, {}, {{1, Key(0), WorkerRunEnd::kDone}}))
                 .size() == 1u);
  Do(PeerDisconnected{"entry-1", 7});
  Do(PeerConnected{"entry-1", 7});
  const auto sent = Reports(
      SendFromEntry(RenewRuns{clock.ms(), {}, {{Key(0).task, Key(0).run, 0}}}));
  BOOST_REQUIRE(sent.size() == 1u);
  BOOST_TEST((sent[0].end == RunEnd::kDone));
}

// If an order that is lost with its link were not reported, its job would wait
// until its timeout.
BOOST_AUTO_TEST_CASE(run_whose_order_was_lost_is_reported_as_stopped) {
  RunOneTask();
  const auto sent = Reports(SendFromEntry(RenewRuns{
      clock.ms(), {}, {{Key(0).task, Key(0).run, 0}, {Key(1).task, 1, 0}}}));
  BOOST_REQUIRE(sent.size() == 1u);
  BOOST_TEST(sent[0].task.index == 1u);
  BOOST_TEST((sent[0].end == RunEnd::kStopped));
}

BOOST_AUTO_TEST_CASE(stop_of_one_run_leaves_the_others) {
  Do(PeerConnected{"entry-1", 7});
  ConnectWorker("i-1");
  SendFromEntry(Start(2));
  const auto stops =
      ActionsOf<StopCall>(SendFromEntry(StopRuns{"5c0e", 0, {{1, 1}}}));
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST((stops[0].key == Key(1)));
}

BOOST_AUTO_TEST_CASE(freed_capacity_is_reported_to_an_entry_that_was_refused) {
  Do(PeerConnected{"entry-1", 7});
  const PollCall poll = LastPoll(ConnectWorker("i-1"));
  SendFromEntry(Start(11));
  Do(PeerConnected{"entry-2", 9});
  const auto second = Do(PeerMessageReceived{
      "entry-2", 9, Start(1, 5)});  // refused: the worker is full
  BOOST_TEST(ActionsOf<StartCall>(second).empty());
  const RunManagerActions actions = AnswerPoll(
      poll, {},
      {{1, Key(0), WorkerRunEnd::kDone}, {2, Key(1), WorkerRunEnd::kDone}});
  const auto sent = SentTo<RunReports>("entry-2", actions);
  BOOST_REQUIRE(sent.size() == 1u);
  BOOST_TEST(sent[0].worker.free.millicores > 0u);
}

BOOST_AUTO_TEST_CASE(freed_capacity_is_reported_to_an_entry_that_requested_it) {
  Do(PeerConnected{"entry-1", 7});
  const PollCall poll = LastPoll(ConnectWorker("i-1"));
  SendFromEntry(Start(10));
  Do(PeerConnected{"entry-2", 9});
  Do(PeerMessageReceived{"entry-2", 9,
                         RenewRuns{clock.ms(), {{0, kSixCores, 1}}}});
  const RunManagerActions actions = AnswerPoll(
      poll, {},
      {{1, Key(0), WorkerRunEnd::kDone}, {2, Key(1), WorkerRunEnd::kDone}});
  BOOST_TEST(SentTo<RunReports>("entry-2", actions).size() == 1u);
}

BOOST_AUTO_TEST_CASE(
    capacity_for_one_task_is_reported_to_the_most_urgent_entry) {
  Do(PeerConnected{"entry-1", 7});
  Do(PeerConnected{"entry-2", 9});
  Do(PeerConnected{"entry-3", 3});
  const PollCall poll = LastPoll(ConnectWorker("i-1"));
  for (const StartCall& call : ActionsOf<StartCall>(SendFromEntry(Start(10)))) {
    Do(StartAnswered{call, Answer()});
  }
  Do(PeerMessageReceived{"entry-3", 3,
                         RenewRuns{clock.ms(), {{2, kSixCores, 9}}}});
  Do(PeerMessageReceived{"entry-2", 9,
                         RenewRuns{clock.ms(), {{1, kSixCores, 1}}}});
  const RunManagerActions actions =
      AnswerPoll(poll, {}, {{1, Key(0), WorkerRunEnd::kDone}});
  BOOST_TEST(SentTo<RunReports>("entry-2", actions).size() == 1u);
  BOOST_TEST(SentTo<RunReports>("entry-3", actions).empty());
}

BOOST_AUTO_TEST_CASE(
    capacity_for_one_task_is_reported_to_the_longest_waiting_entry) {
  Do(PeerConnected{"entry-1", 7});
  const PollCall poll = LastPoll(ConnectWorker("i-1"));
  SendFromEntry(Start(10));  // 4 of 64 cores are left
  Do(PeerConnected{"entry-3", 3});
  Do(PeerConnected{"entry-2", 9});
  Do(PeerMessageReceived{"entry-3", 3,
                         RenewRuns{clock.ms(), {{0, kSixCores, 1}}}});
  Do(PeerMessageReceived{"entry-2", 9,
                         RenewRuns{clock.ms(), {{0, kSixCores, 1}}}});
  const RunManagerActions first =
      AnswerPoll(poll, {}, {{1, Key(0), WorkerRunEnd::kDone}});
  BOOST_TEST(SentTo<RunReports>("entry-3", first).size() == 1u);
  BOOST_TEST(SentTo<RunReports>("entry-2", first).empty());
  // The first entry does not use its reservation.
  BOOST_TEST((manager.NextWake() <= clock.now().mono + absl::Milliseconds(10)));
  BOOST_TEST(
      SentTo<RunReports>("entry-2", Pass(absl::Milliseconds(11))).size() == 1u);
}

BOOST_AUTO_TEST_CASE(
    capacity_goes_more_often_to_the_entry_with_more_waiting_tasks) {
  Do(PeerConnected{"entry-1", 7});
  PollCall poll = LastPoll(ConnectWorker("i-1"));
  SendFromEntry(Start(10));  // 4 of 64 cores are left
  Do(PeerConnected{"entry-2", 9});
  Do(PeerConnected{"entry-3", 3});
  Do(PeerMessageReceived{"entry-2", 9,
                         RenewRuns{clock.ms(), {{0, kSixCores, 6}}}});
  Do(PeerMessageReceived{"entry-3", 3,
                         RenewRuns{clock.ms(), {{0, kSixCores, 2}}}});
  size_t second = 0;
  size_t third = 0;
  for (uint32_t i = 0; i < 5; ++i) {
    const RunManagerActions actions =
        AnswerPoll(poll, {}, {{i + 1, Key(i), WorkerRunEnd::kDone}});
    poll = LastPoll(actions);
    // The notified entry does not use the capacity, so the other is notified
    // later.
    second += SentTo<RunReports>("entry-2", actions).size();
    third += SentTo<RunReports>("entry-3", actions).size();
  }
  BOOST_TEST(second > third);
  BOOST_TEST(third > 0u);
}

BOOST_AUTO_TEST_CASE(
    capacity_reserved_for_one_entry_is_withheld_from_the_others) {
  Do(PeerConnected{"entry-1", 7});
  const PollCall poll = LastPoll(ConnectWorker("i-1"));
  SendFromEntry(Start(10));  // 4 of 64 cores are left
  Do(PeerConnected{"entry-3", 3});
  Do(PeerMessageReceived{"entry-3", 3,
                         RenewRuns{clock.ms(), {{0, kSixCores, 1}}}});
  AnswerPoll(poll, {}, {{1, Key(0), WorkerRunEnd::kDone}});
  StartRuns other = Start(1, 9);
  BOOST_TEST(ActionsOf<StartCall>(SendFromEntry(other)).empty());
  other.job = "1a2b";
  BOOST_TEST(ActionsOf<StartCall>(Do(PeerMessageReceived{"entry-3", 3, other}))
                 .size() == 1u);
}

BOOST_AUTO_TEST_CASE(capacity_too_small_for_the_waiting_tasks_is_not_reported) {
  Do(PeerConnected{"entry-1", 7});
  const PollCall poll = LastPoll(ConnectWorker("i-1"));
  SendFromEntry(Start(10));
  Do(PeerConnected{"entry-2", 9});
  Do(PeerMessageReceived{"entry-2", 9,
                         RenewRuns{clock.ms(), {{0, kWholeWorker, 1}}}});
  const RunManagerActions actions =
      AnswerPoll(poll, {}, {{1, Key(0), WorkerRunEnd::kDone}});
  BOOST_TEST(SentTo<RunReports>("entry-2", actions).empty());
}

BOOST_AUTO_TEST_CASE(drain_finishes_what_runs_and_takes_nothing_new) {
  const PollCall poll = RunOneTask();
  Do(DrainBegan{});
  BOOST_TEST(!manager.Finished());
  BOOST_TEST(ActionsOf<StartCall>(SendFromEntry(Start(1, 2))).empty());
  AnswerPoll(poll, {}, {{1, Key(0), WorkerRunEnd::kDone}});
  BOOST_TEST(manager.Finished());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
