// A worker that restarts under its id or changes its capacity: which
// incarnation its agent uses, and what it reports to the entries.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "run_manager_fixture.h"
#include "worker_incarnation.h"
#include "worker_state.h"

namespace egretswitch::internal {
namespace {

constexpr int64_t kFirstStartTime = 1'764'750'000'000;
constexpr int64_t kSecondStartTime = 1'764'750'200'000;

struct WorkerRestartFixture : RunManagerFixture {
  WorkerRestartFixture()
      : first(IncarnationName("i-1", kFirstStartTime)),
        second(IncarnationName("i-1", kSecondStartTime)) {}

  // The first incarnation runs task 0 of job 5c0e.
  PollCall RunOneTaskOnFirst() {
    Do(PeerConnected{"entry-1", 7});
    const PollCall poll = LastPoll(ConnectWorker(first));
    StartRuns start = Start(1);
    start.worker = first;
    const auto calls = ActionsOf<StartCall>(SendFromEntry(start));
    BOOST_REQUIRE(calls.size() == 1u);
    Do(StartAnswered{calls[0], Answer()});
    return poll;
  }

  // `answering` answers a poll that was addressed to another incarnation.
  RunManagerActions AnswerAs(const std::string& answering,
                             const PollCall& poll) {
    PollAnswer answer;
    answer.call = {CallVerdict::kOtherWorker, 40, answering};
    return Do(PollAnswered{poll, clock.now().mono, answer});
  }

  std::vector<WorkerStatus> ReportedStatuses(const RunManagerActions& actions) {
    std::vector<WorkerStatus> reported;
    for (const RunReports& sent : SentTo<RunReports>("entry-1", actions)) {
      reported.push_back(sent.worker);
    }
    return reported;
  }

  WorkerAnnouncement WithCapacity(const std::string& incarnation,
                                  uint32_t millicores) {
    WorkerAnnouncement report = Announcement(incarnation);
    report.capacity.millicores = millicores;
    return report;
  }

  const std::string first;
  const std::string second;
};

BOOST_AUTO_TEST_SUITE(worker_incarnation)

BOOST_AUTO_TEST_CASE(name_with_start_time_gives_id_and_start_time_back) {
  const std::string name = IncarnationName("i-7", kFirstStartTime);
  BOOST_TEST(WorkerIdOf(name) == "i-7");
  BOOST_TEST(StartTimeOf(name) == kFirstStartTime);
}

BOOST_AUTO_TEST_CASE(name_without_start_time_is_the_id) {
  BOOST_TEST(IncarnationName("i-7", 0) == "i-7");
  BOOST_TEST(StartTimeOf("i-7") == 0);
}

BOOST_AUTO_TEST_CASE(earlier_incarnation_is_the_same_worker_started_before) {
  const std::string early = IncarnationName("i-7", kFirstStartTime);
  const std::string late = IncarnationName("i-7", kSecondStartTime);
  BOOST_TEST(IsEarlierIncarnation(early, late));
  BOOST_TEST(!IsEarlierIncarnation(late, early));
  BOOST_TEST(
      !IsEarlierIncarnation(IncarnationName("i-8", kFirstStartTime), late));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(worker_restart, WorkerRestartFixture)

BOOST_AUTO_TEST_CASE(
    announcement_of_next_incarnation_ends_former_runs_at_once) {
  RunOneTaskOnFirst();
  const auto polls =
      ActionsOf<PollCall>(Do(WorkerAnnounced{Announcement(second)}));
  BOOST_REQUIRE(polls.size() == 1u);
  BOOST_TEST(polls[0].worker == second);
  const auto reports = Reports(AnswerPoll(polls[0], {}, {}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kWorkerLost));
  BOOST_TEST(manager.worker().present().incarnation == second);
}

BOOST_AUTO_TEST_CASE(answer_of_next_incarnation_ends_former_runs_at_once) {
  const PollCall poll = RunOneTaskOnFirst();
  const auto polls = ActionsOf<PollCall>(AnswerAs(second, poll));
  BOOST_REQUIRE(polls.size() == 1u);
  BOOST_TEST(polls[0].worker == second);
  const auto reports = Reports(AnswerPoll(polls[0], {}, {}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kWorkerLost));
}

// A start addressed to the former incarnation may have been carried out by the
// next one, since both answer to the same id.
BOOST_AUTO_TEST_CASE(run_that_the_next_incarnation_lists_goes_on) {
  const PollCall poll = RunOneTaskOnFirst();
  const auto polls = ActionsOf<PollCall>(AnswerAs(second, poll));
  BOOST_REQUIRE(polls.size() == 1u);
  const RunManagerActions adopted = AnswerPoll(polls[0], {Key(0)}, {});
  BOOST_TEST(Reports(adopted).empty());
  const auto reports = Reports(
      AnswerPoll(LastPoll(adopted), {}, {{1, Key(0), WorkerRunEnd::kDone}}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kDone));
}

BOOST_AUTO_TEST_CASE(end_that_the_next_incarnation_lists_is_reported) {
  const PollCall poll = RunOneTaskOnFirst();
  const auto polls = ActionsOf<PollCall>(AnswerAs(second, poll));
  BOOST_REQUIRE(polls.size() == 1u);
  const auto reports =
      Reports(AnswerPoll(polls[0], {}, {{1, Key(0), WorkerRunEnd::kDone}}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kDone));
}

BOOST_AUTO_TEST_CASE(superseded_worker_takes_no_new_runs) {
  const PollCall poll = RunOneTaskOnFirst();
  AnswerAs(second, poll);
  StartRuns start = Start(1, 5);
  start.worker = first;
  const RunManagerActions actions = SendFromEntry(start);
  BOOST_TEST(ActionsOf<StartCall>(actions).empty());
  const auto reports = Reports(actions);
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST(NeverStarted(reports[0].end));
}

BOOST_AUTO_TEST_CASE(
    next_incarnation_has_no_capacity_before_it_announces_itself) {
  const PollCall poll = RunOneTaskOnFirst();
  const auto polls = ActionsOf<PollCall>(AnswerAs(second, poll));
  BOOST_REQUIRE(polls.size() == 1u);
  AnswerPoll(polls[0], {}, {});
  BOOST_TEST(manager.worker().present().capacity.millicores == 0u);
  const auto reported =
      ReportedStatuses(Do(WorkerAnnounced{WithCapacity(second, 32000)}));
  BOOST_REQUIRE(!reported.empty());
  BOOST_TEST(reported.back().free.millicores == 32000u);
}

BOOST_AUTO_TEST_CASE(
    late_announcement_of_a_former_incarnation_changes_nothing) {
  Do(PeerConnected{"entry-1", 7});
  ConnectWorker(second);
  const auto actions = Do(WorkerAnnounced{Announcement(first)});
  BOOST_TEST(ActionsOf<PollCall>(actions).empty());
  BOOST_TEST(manager.worker().present().incarnation == second);
}

BOOST_AUTO_TEST_CASE(late_answer_of_a_former_incarnation_changes_nothing) {
  Do(PeerConnected{"entry-1", 7});
  const PollCall poll = LastPoll(ConnectWorker(second));
  AnswerAs(first, poll);
  BOOST_TEST(manager.worker().identified());
  BOOST_TEST(manager.worker().present().incarnation == second);
}

// The next incarnation's clock restarts, far below the former one's.
BOOST_AUTO_TEST_CASE(token_for_next_incarnation_is_above_each_of_the_former) {
  const PollCall poll = RunOneTaskOnFirst();
  const auto polls = ActionsOf<PollCall>(AnswerAs(second, poll));
  BOOST_REQUIRE(polls.size() == 1u);
  BOOST_TEST(polls[0].fencing_token > poll.fencing_token);
}

BOOST_AUTO_TEST_CASE(lost_first_poll_of_next_incarnation_is_repeated) {
  const PollCall poll = RunOneTaskOnFirst();
  const auto polls = ActionsOf<PollCall>(AnswerAs(second, poll));
  BOOST_REQUIRE(polls.size() == 1u);
  AnswerPoll(polls[0], {}, {}, CallVerdict::kUnknown);
  clock.Advance(absl::Milliseconds(60));
  BOOST_TEST(manager.NextWake() <= clock.now().mono);
  const auto again = ActionsOf<PollCall>(Do(TimePassed{}));
  BOOST_REQUIRE(!again.empty());
  BOOST_TEST(again[0].worker == second);
}

BOOST_AUTO_TEST_CASE(late_withdrawal_of_a_former_incarnation_changes_nothing) {
  RunOneTaskOnFirst();
  const auto reports = Reports(Do(WorkerWithdrew{"i-1"}));
  BOOST_TEST(reports.empty());
  BOOST_TEST(manager.worker().identified());
}

// ---- Capacity changes

BOOST_AUTO_TEST_CASE(reduced_capacity_applies_from_the_next_report) {
  RunOneTask();
  const auto reported =
      ReportedStatuses(Do(WorkerAnnounced{WithCapacity("i-1", 18000)}));
  BOOST_REQUIRE(!reported.empty());
  BOOST_TEST(reported.back().capacity.millicores == 18000u);
  BOOST_TEST(reported.back().free.millicores == 12000u);
  const RunManagerActions actions = SendFromEntry(Start(3, 5));
  BOOST_TEST(ActionsOf<StartCall>(actions).size() == 2u);
}

BOOST_AUTO_TEST_CASE(capacity_below_what_runs_takes_no_new_runs) {
  RunOneTask();
  Do(WorkerAnnounced{WithCapacity("i-1", 3000)});
  BOOST_TEST(ActionsOf<StartCall>(SendFromEntry(Start(1, 5))).empty());
}

BOOST_AUTO_TEST_CASE(run_that_is_being_stopped_still_uses_reduced_capacity) {
  RunOneTask();
  Do(WorkerAnnounced{WithCapacity("i-1", 11000)});
  SendFromEntry(StopRuns{"5c0e", 0, {{0, 1}}});
  BOOST_TEST(ActionsOf<StartCall>(SendFromEntry(Start(1, 5))).empty());
}

BOOST_AUTO_TEST_CASE(restored_capacity_is_reported_and_used) {
  RunOneTask();
  Do(WorkerAnnounced{WithCapacity("i-1", 6000)});
  const auto reported =
      ReportedStatuses(Do(WorkerAnnounced{WithCapacity("i-1", 64000)}));
  BOOST_REQUIRE(!reported.empty());
  BOOST_TEST(reported.back().free.millicores == 58000u);
  BOOST_TEST(ActionsOf<StartCall>(SendFromEntry(Start(1, 5))).size() == 1u);
}

BOOST_AUTO_TEST_CASE(late_report_of_former_capacity_changes_nothing) {
  RunOneTask();
  const WorkerAnnouncement early = WithCapacity("i-1", 64000);
  Do(WorkerAnnounced{WithCapacity("i-1", 6000)});
  Do(WorkerAnnounced{early});
  BOOST_TEST(manager.worker().present().capacity.millicores == 6000u);
}

BOOST_AUTO_TEST_CASE(report_with_another_kind_changes_nothing) {
  RunOneTask();
  WorkerAnnouncement contradicting = WithCapacity("i-1", 6000);
  contradicting.kind = "z";
  Do(WorkerAnnounced{contradicting});
  BOOST_TEST(manager.worker().present().capacity.millicores == 64000u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
