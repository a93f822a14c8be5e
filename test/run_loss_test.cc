// What an agent tells of a run that ends before or with its worker: whether it
// had begun, whether the worker crashed, and how long it ran.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "run_manager_fixture.h"
#include "worker_incarnation.h"

namespace egretswitch::internal {
namespace {

const std::string kFirstLife = IncarnationName("i-1", 1'764'750'000'000);
const std::string kSecondLife = IncarnationName("i-1", 1'764'750'200'000);
constexpr int64_t kFirstClock = 5000;

struct RunLossFixture : RunManagerFixture {
  // The worker of `incarnation` is there, and is told to start task 0.
  StartCall OrderOneTask(const std::string& incarnation) {
    Do(PeerUp{"entry-1", 7});
    look = LastPoll(ConnectWorker(incarnation));
    StartRuns start = Start(1);
    start.worker = incarnation;
    const auto calls = ActionsOf<StartCall>(SendFromEntry(start));
    BOOST_REQUIRE(calls.size() == 1u);
    return calls[0];
  }

  // Another worker announces itself and answers in place of the present one.
  RunReport LossBy(const std::string& incarnation) {
    const auto looks =
        ActionsOf<PollCall>(Do(WorkerAnnounced{Announcement(incarnation)}));
    BOOST_REQUIRE(looks.size() == 1u);
    const auto reports = Reports(AnswerPoll(looks[0], {}, {}));
    BOOST_REQUIRE(reports.size() == 1u);
    BOOST_TEST((reports[0].end == RunEnd::kWorkerLost));
    return reports[0];
  }

  PollCall look;
};

BOOST_FIXTURE_TEST_SUITE(run_loss, RunLossFixture)

// Guards against a start that reached nobody and is told as a crash.
BOOST_AUTO_TEST_CASE(run_never_confirmed_is_told_as_one_that_may_have_begun) {
  OrderOneTask("i-1");
  BOOST_TEST((LossBy("i-2").loss == RunLoss::kMayHaveBegun));
}

BOOST_AUTO_TEST_CASE(run_under_which_its_worker_crashed_is_told_so) {
  Do(StartAnswered{OrderOneTask("i-1"), Answer()});
  BOOST_TEST((LossBy("i-2").loss == RunLoss::kWorkerCrashed));
}

// Guards against a planned end that is told as a crash.
BOOST_AUTO_TEST_CASE(run_on_a_worker_that_was_leaving_is_told_as_gone) {
  Do(StartAnswered{OrderOneTask("i-1"), Answer()});
  WorkerAnnouncement leaving = Announcement("i-1");
  leaving.leaving = true;
  Do(WorkerAnnounced{leaving});
  BOOST_TEST((LossBy("i-2").loss == RunLoss::kWorkerGone));
}

// Guards against a start that the next life confirmed and lost sight of: its
// clock starts anew.
BOOST_AUTO_TEST_CASE(run_confirmed_by_the_next_life_is_no_crash_of_the_former) {
  const StartCall call = OrderOneTask(kFirstLife);
  Do(StartAnswered{call, {CallVerdict::kDone, kFirstClock - 4000}});
  BOOST_TEST((LossBy(kSecondLife).loss == RunLoss::kMayHaveBegun));
}

// Guards against confirmations that are passed over: answers on different
// connections may overtake each other.
BOOST_AUTO_TEST_CASE(run_whose_confirmation_was_overtaken_counts_as_begun) {
  const StartCall call = OrderOneTask(kFirstLife);
  const int64_t sent_at = Answer().clock_ms;
  clock.Advance(absl::Milliseconds(100));
  AnswerPoll(look, {}, {});
  Do(StartAnswered{call, {CallVerdict::kDone, sent_at}});
  BOOST_TEST((LossBy(kSecondLife).loss == RunLoss::kWorkerCrashed));
}

// Guards against run times of years, from which an entry would learn that the
// worker is slow: the end may be listed before the start is answered.
BOOST_AUTO_TEST_CASE(run_ended_before_its_start_is_answered_has_its_run_time) {
  OrderOneTask("i-1");
  clock.Advance(absl::Milliseconds(60));
  const auto reports =
      Reports(AnswerPoll(look, {}, {{1, Key(0), WorkerRunEnd::kDone}}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kDone));
  BOOST_TEST(reports[0].run_ms == 60u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
