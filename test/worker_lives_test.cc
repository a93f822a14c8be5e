// A worker that starts again under its id, whose room changes while it runs, or
// that ends: what its agent believes, and what the entries are told.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "run_keeper_fixture.h"
#include "watched_worker.h"
#include "worker_incarnation.h"

namespace egretswitch::internal {
namespace {

constexpr int64_t kFirstBirth = 1'764'750'000'000;
constexpr int64_t kSecondBirth = 1'764'750'200'000;

struct WorkerLivesFixture : RunKeeperFixture {
  WorkerLivesFixture()
      : first(IncarnationName("i-1", kFirstBirth)),
        second(IncarnationName("i-1", kSecondBirth)) {}

  // The first life runs task 0 of job 5c0e.
  LookCall RunOneTaskOnFirstLife() {
    Do(PeerConnected{"entry-1", 7});
    const LookCall look = OnlyLook(MeetWorker(first));
    StartRuns start = Start(1);
    start.worker = first;
    const auto calls = ActionsOf<StartCall>(Say(start));
    BOOST_REQUIRE(calls.size() == 1u);
    Do(StartAnswered{calls[0], Answer()});
    return look;
  }

  // `answering` answers a look that was meant for another life.
  RunKeeperActions AnswerAs(const std::string& answering,
                            const LookCall& look) {
    LookAnswer answer;
    answer.call = {CallVerdict::kOtherWorker, 40, answering};
    return Do(LookAnswered{look, clock.now().mono, answer});
  }

  std::vector<WorkerStatus> Told(const RunKeeperActions& actions) {
    std::vector<WorkerStatus> told;
    for (const RunReports& sent : SentTo<RunReports>("entry-1", actions)) {
      told.push_back(sent.worker);
    }
    return told;
  }

  WorkerAnnouncement WithRoom(const std::string& incarnation,
                              uint32_t millicores) {
    WorkerAnnouncement report = Announcement(incarnation);
    report.capacity.millicores = millicores;
    return report;
  }

  const std::string first;
  const std::string second;
};

BOOST_AUTO_TEST_SUITE(worker_incarnation)

BOOST_AUTO_TEST_CASE(name_with_birth_gives_id_and_birth_back) {
  const std::string name = IncarnationName("i-7", kFirstBirth);
  BOOST_TEST(WorkerIdOf(name) == "i-7");
  BOOST_TEST(BirthOf(name) == kFirstBirth);
}

BOOST_AUTO_TEST_CASE(name_without_birth_is_the_id) {
  BOOST_TEST(IncarnationName("i-7", 0) == "i-7");
  BOOST_TEST(BirthOf("i-7") == 0);
}

BOOST_AUTO_TEST_CASE(former_life_is_one_of_the_same_worker_born_before) {
  const std::string early = IncarnationName("i-7", kFirstBirth);
  const std::string late = IncarnationName("i-7", kSecondBirth);
  BOOST_TEST(IsFormerLife(early, late));
  BOOST_TEST(!IsFormerLife(late, early));
  BOOST_TEST(!IsFormerLife(IncarnationName("i-8", kFirstBirth), late));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(worker_lives, WorkerLivesFixture)

BOOST_AUTO_TEST_CASE(announcement_of_next_life_ends_what_ran_before_at_once) {
  RunOneTaskOnFirstLife();
  const auto looks =
      ActionsOf<LookCall>(Do(WorkerAnnounced{Announcement(second)}));
  BOOST_REQUIRE(looks.size() == 1u);
  BOOST_TEST(looks[0].worker == second);
  const auto reports = Reports(AnswerLook(looks[0], {}, {}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kWorkerLost));
  BOOST_TEST(keeper.worker().present().incarnation == second);
}

BOOST_AUTO_TEST_CASE(answer_of_next_life_ends_what_ran_before_at_once) {
  const LookCall look = RunOneTaskOnFirstLife();
  const auto looks = ActionsOf<LookCall>(AnswerAs(second, look));
  BOOST_REQUIRE(looks.size() == 1u);
  BOOST_TEST(looks[0].worker == second);
  const auto reports = Reports(AnswerLook(looks[0], {}, {}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kWorkerLost));
}

// A start that was meant for the former life may have been carried out by the
// next one, since both answer to the same id.
BOOST_AUTO_TEST_CASE(run_that_the_next_life_lists_goes_on) {
  const LookCall look = RunOneTaskOnFirstLife();
  const auto looks = ActionsOf<LookCall>(AnswerAs(second, look));
  BOOST_REQUIRE(looks.size() == 1u);
  const RunKeeperActions adopted = AnswerLook(looks[0], {Key(0)}, {});
  BOOST_TEST(Reports(adopted).empty());
  const auto reports = Reports(
      AnswerLook(OnlyLook(adopted), {}, {{1, Key(0), WorkerRunEnd::kDone}}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kDone));
}

BOOST_AUTO_TEST_CASE(end_that_the_next_life_lists_is_taken_for_the_end) {
  const LookCall look = RunOneTaskOnFirstLife();
  const auto looks = ActionsOf<LookCall>(AnswerAs(second, look));
  BOOST_REQUIRE(looks.size() == 1u);
  const auto reports =
      Reports(AnswerLook(looks[0], {}, {{1, Key(0), WorkerRunEnd::kDone}}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kDone));
}

BOOST_AUTO_TEST_CASE(superseded_worker_takes_no_new_runs) {
  const LookCall look = RunOneTaskOnFirstLife();
  AnswerAs(second, look);
  StartRuns start = Start(1, 5);
  start.worker = first;
  const RunKeeperActions actions = Say(start);
  BOOST_TEST(ActionsOf<StartCall>(actions).empty());
  const auto reports = Reports(actions);
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST(NeverStarted(reports[0].end));
}

BOOST_AUTO_TEST_CASE(next_life_has_no_room_before_it_announces_itself) {
  const LookCall look = RunOneTaskOnFirstLife();
  const auto looks = ActionsOf<LookCall>(AnswerAs(second, look));
  BOOST_REQUIRE(looks.size() == 1u);
  AnswerLook(looks[0], {}, {});
  BOOST_TEST(keeper.worker().present().capacity.millicores == 0u);
  const auto told = Told(Do(WorkerAnnounced{WithRoom(second, 32000)}));
  BOOST_REQUIRE(!told.empty());
  BOOST_TEST(told.back().free.millicores == 32000u);
}

BOOST_AUTO_TEST_CASE(late_announcement_of_a_former_life_changes_nothing) {
  Do(PeerConnected{"entry-1", 7});
  MeetWorker(second);
  const auto actions = Do(WorkerAnnounced{Announcement(first)});
  BOOST_TEST(ActionsOf<LookCall>(actions).empty());
  BOOST_TEST(keeper.worker().present().incarnation == second);
}

BOOST_AUTO_TEST_CASE(late_answer_of_a_former_life_changes_nothing) {
  Do(PeerConnected{"entry-1", 7});
  const LookCall look = OnlyLook(MeetWorker(second));
  AnswerAs(first, look);
  BOOST_TEST(keeper.worker().known());
  BOOST_TEST(keeper.worker().present().incarnation == second);
}

// The next life's clock starts anew, far below the former one's.
BOOST_AUTO_TEST_CASE(token_for_next_life_is_above_each_of_the_former) {
  const LookCall look = RunOneTaskOnFirstLife();
  const auto looks = ActionsOf<LookCall>(AnswerAs(second, look));
  BOOST_REQUIRE(looks.size() == 1u);
  BOOST_TEST(looks[0].fencing_token > look.fencing_token);
}

BOOST_AUTO_TEST_CASE(first_look_at_next_life_that_is_lost_is_repeated) {
  const LookCall look = RunOneTaskOnFirstLife();
  const auto looks = ActionsOf<LookCall>(AnswerAs(second, look));
  BOOST_REQUIRE(looks.size() == 1u);
  AnswerLook(looks[0], {}, {}, CallVerdict::kUnknown);
  clock.Advance(absl::Milliseconds(60));
  BOOST_TEST(keeper.NextWake() <= clock.now().mono);
  const auto again = ActionsOf<LookCall>(Do(TimePassed{}));
  BOOST_REQUIRE(!again.empty());
  BOOST_TEST(again[0].worker == second);
}

BOOST_AUTO_TEST_CASE(late_withdrawal_of_a_former_life_changes_nothing) {
  RunOneTaskOnFirstLife();
  const auto reports = Reports(Do(WorkerWithdrew{"i-1"}));
  BOOST_TEST(reports.empty());
  BOOST_TEST(keeper.worker().known());
}

BOOST_AUTO_TEST_CASE(withdrawal_of_a_leaving_worker_ends_its_runs) {
  RunOneTaskOnFirstLife();
  WorkerAnnouncement leaving = Announcement(first);
  leaving.leaving = true;
  Do(WorkerAnnounced{leaving});
  const auto reports = Reports(Do(WorkerWithdrew{"i-1"}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kStopped));
}

// ---- Room that changes

BOOST_AUTO_TEST_CASE(room_that_shrinks_holds_from_the_next_report_on) {
  RunOneTask();
  const auto told = Told(Do(WorkerAnnounced{WithRoom("i-1", 18000)}));
  BOOST_REQUIRE(!told.empty());
  BOOST_TEST(told.back().capacity.millicores == 18000u);
  BOOST_TEST(told.back().free.millicores == 12000u);
  const RunKeeperActions actions = Say(Start(3, 5));
  BOOST_TEST(ActionsOf<StartCall>(actions).size() == 2u);
}

BOOST_AUTO_TEST_CASE(room_below_what_runs_takes_no_new_runs) {
  RunOneTask();
  Do(WorkerAnnounced{WithRoom("i-1", 3000)});
  BOOST_TEST(ActionsOf<StartCall>(Say(Start(1, 5))).empty());
}

BOOST_AUTO_TEST_CASE(run_that_is_being_stopped_still_takes_room_that_shrank) {
  RunOneTask();
  Do(WorkerAnnounced{WithRoom("i-1", 11000)});
  Say(StopRuns{"5c0e", 0, {{0, 1}}});
  BOOST_TEST(ActionsOf<StartCall>(Say(Start(1, 5))).empty());
}

BOOST_AUTO_TEST_CASE(room_that_grows_back_is_told_and_used) {
  RunOneTask();
  Do(WorkerAnnounced{WithRoom("i-1", 6000)});
  const auto told = Told(Do(WorkerAnnounced{WithRoom("i-1", 64000)}));
  BOOST_REQUIRE(!told.empty());
  BOOST_TEST(told.back().free.millicores == 58000u);
  BOOST_TEST(ActionsOf<StartCall>(Say(Start(1, 5))).size() == 1u);
}

BOOST_AUTO_TEST_CASE(late_report_of_former_room_changes_nothing) {
  RunOneTask();
  const WorkerAnnouncement early = WithRoom("i-1", 64000);
  Do(WorkerAnnounced{WithRoom("i-1", 6000)});
  Do(WorkerAnnounced{early});
  BOOST_TEST(keeper.worker().present().capacity.millicores == 6000u);
}

BOOST_AUTO_TEST_CASE(report_with_another_kind_is_not_the_workers_own) {
  RunOneTask();
  WorkerAnnouncement strange = WithRoom("i-1", 6000);
  strange.kind = "z";
  Do(WorkerAnnounced{strange});
  BOOST_TEST(keeper.worker().present().capacity.millicores == 64000u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
