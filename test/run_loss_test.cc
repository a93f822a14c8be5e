// Tests what an agent reports of a run that ends before or with its worker:
// whether it had begun, whether the worker crashed, and how long it ran.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "run_manager_fixture.h"
#include "worker_incarnation.h"

namespace egretswitch::internal {
namespace {

const std::string kFirstIncarnation = IncarnationName("i-1", 1'764'750'000'000);
const std::string kSecondIncarnation =
    IncarnationName("i-1", 1'764'750'200'000);
constexpr int64_t kFirstClock = 5000;

struct RunLossFixture : RunManagerFixture {
  // Connects an entry and the worker of `incarnation`, and starts task 0.
  StartCall OrderOneTask(const std::string& incarnation) {
    Do(PeerConnected{"entry-1", 7});
    poll = LastPoll(ConnectWorker(incarnation));
    StartRuns start = Start(1);
    start.worker = incarnation;
    const auto calls = ActionsOf<StartCall>(SendFromEntry(start));
    BOOST_REQUIRE(calls.size() == 1u);
    return calls[0];
  }

  // Replaces the worker by `incarnation`, which announces itself and answers
  // the poll.
  RunReport LossBy(const std::string& incarnation) {
    const auto polls =
        ActionsOf<PollCall>(Do(WorkerAnnounced{Announcement(incarnation)}));
    BOOST_REQUIRE(polls.size() == 1u);
    const auto reports = Reports(AnswerPoll(polls[0], {}, {}));
    BOOST_REQUIRE(reports.size() == 1u);
    BOOST_TEST((reports[0].end == RunEnd::kWorkerLost));
    return reports[0];
  }

  PollCall poll;
};

BOOST_FIXTURE_TEST_SUITE(run_loss, RunLossFixture)

// Guards against reporting a start that never reached the worker as a crash.
BOOST_AUTO_TEST_CASE(unconfirmed_run_is_reported_as_may_have_begun) {
  OrderOneTask("i-1");
  BOOST_TEST((LossBy("i-2").loss == RunLoss::kMayHaveBegun));
}

BOOST_AUTO_TEST_CASE(run_whose_worker_crashed_is_reported_as_crashed) {
  Do(StartAnswered{OrderOneTask("i-1"), Answer()});
  BOOST_TEST((LossBy("i-2").loss == RunLoss::kWorkerCrashed));
}

// Guards against reporting a planned shutdown as a crash.
BOOST_AUTO_TEST_CASE(run_on_a_leaving_worker_is_reported_as_gone) {
  Do(StartAnswered{OrderOneTask("i-1"), Answer()});
  WorkerAnnouncement leaving = Announcement("i-1");
  leaving.leaving = true;
  Do(WorkerAnnounced{leaving});
  BOOST_TEST((LossBy("i-2").loss == RunLoss::kWorkerGone));
}

// Guards against a start that the worker's next incarnation confirmed but whose
// run is then missing there. The next incarnation's clock starts anew.
BOOST_AUTO_TEST_CASE(run_confirmed_by_the_next_incarnation_is_not_a_crash) {
  const StartCall call = OrderOneTask(kFirstIncarnation);
  Do(StartAnswered{call, {CallVerdict::kDone, kFirstClock - 4000}});
  BOOST_TEST((LossBy(kSecondIncarnation).loss == RunLoss::kMayHaveBegun));
}

// Guards against ignored confirmations: answers on different connections may
// overtake each other.
BOOST_AUTO_TEST_CASE(run_with_an_overtaken_confirmation_counts_as_begun) {
  const StartCall call = OrderOneTask(kFirstIncarnation);
  const int64_t sent_at = Answer().clock_ms;
  clock.Advance(absl::Milliseconds(100));
  AnswerPoll(poll, {}, {});
  Do(StartAnswered{call, {CallVerdict::kDone, sent_at}});
  BOOST_TEST((LossBy(kSecondIncarnation).loss == RunLoss::kWorkerCrashed));
}

// Guards against run times of years, which would make an entry rate the worker
// as slow. A poll may list the end before the start is answered.
BOOST_AUTO_TEST_CASE(run_ended_before_its_start_is_answered_has_its_run_time) {
  OrderOneTask("i-1");
  clock.Advance(absl::Milliseconds(60));
  const auto reports =
      Reports(AnswerPoll(poll, {}, {{1, Key(0), WorkerRunEnd::kDone}}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kDone));
  BOOST_TEST(reports[0].run_ms == 60u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
