// A worker that says that it ends, and may go on: until when its agent keeps
// its runs on record, and when it extends their lease.
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "run_manager_fixture.h"
#include "worker_incarnation.h"
#include "worker_state.h"

namespace egretswitch::internal {
namespace {

constexpr absl::Duration kLongestStop = absl::Milliseconds(50);

struct WorkerWithdrawalFixture : RunManagerFixture {
  // The worker runs task 0 of job 5c0e, says that it ends and answers a poll.
  // Returns the poll that extends its lease last.
  PollCall WithdrawWithOneRun(const std::string& incarnation) {
    Do(PeerConnected{"entry-1", 7});
    const PollCall poll = LastPoll(ConnectWorker(incarnation));
    StartRuns start = Start(1);
    start.worker = incarnation;
    const auto calls = ActionsOf<StartCall>(SendFromEntry(start));
    BOOST_REQUIRE(calls.size() == 1u);
    Do(StartAnswered{calls[0], Answer()});
    WorkerAnnouncement leaving = Announcement(incarnation);
    leaving.leaving = true;
    Do(WorkerAnnounced{leaving});
    BOOST_TEST(Reports(Do(WorkerWithdrew{"i-1"})).empty());
    clock.Advance(absl::Milliseconds(100));
    const PollCall last = LastPoll(AnswerPoll(poll, {Key(0)}, {}));
    BOOST_TEST(last.lease_until_ms > 0);
    return last;
  }

  void Handle(const RunManagerActions& actions) {
    for (const PollCall& call : ActionsOf<PollCall>(actions)) {
      refused.push_back(call);
      open.push_back(call);
    }
    const auto reports = Reports(actions);
    reported.insert(reported.end(), reports.begin(), reports.end());
  }

  // Refuses `poll` and those that follow, while the entry renews its runs.
  // Returns the time until a run is reported.
  int64_t RefuseUntilReported(const PollCall& poll) {
    const MonoTime began = clock.now().mono;
    open = {poll};
    while (reported.empty() && clock.now().mono - began < absl::Seconds(5)) {
      Handle(SendFromEntry(RenewRuns{clock.ms(), {}}));
      for (const PollCall& call : std::exchange(open, {})) {
        Handle(AnswerPoll(call, {}, {}, CallVerdict::kUnreachable));
      }
      clock.Advance(absl::Milliseconds(10));
      Handle(Do(TimePassed{}));
    }
    return absl::ToInt64Milliseconds(clock.now().mono - began);
  }

  void CheckRunOutlastsLease(const std::string& incarnation) {
    const int64_t waited_ms =
        RefuseUntilReported(WithdrawWithOneRun(incarnation));
    BOOST_REQUIRE(reported.size() == 1u);
    BOOST_TEST((reported[0].end == RunEnd::kStopped));
    BOOST_TEST(waited_ms >
               absl::ToInt64Milliseconds(kWorkerLease / 0.98 + kLongestStop));
    BOOST_TEST(waited_ms <= 700);
    BOOST_TEST(refused.size() > 5u);
    for (const PollCall& call : refused) {
      BOOST_TEST(call.lease_until_ms == 0);
    }
    BOOST_TEST(!manager.worker().identified());
  }

  std::vector<PollCall> open;
  std::vector<PollCall> refused;  // after the first one
  std::vector<RunReport> reported;
};

BOOST_FIXTURE_TEST_SUITE(worker_withdrawal, WorkerWithdrawalFixture)

// Guards against a task that starts elsewhere while its worker, which has said
// that it ends, still runs it: a network cut refuses connections as well.
BOOST_AUTO_TEST_CASE(
    runs_of_a_withdrawn_worker_that_refuses_calls_outlast_its_lease) {
  CheckRunOutlastsLease("i-1");
}

// Guards against the same at a worker that may restart under its id.
BOOST_AUTO_TEST_CASE(
    runs_of_a_withdrawn_worker_with_start_time_outlast_its_lease) {
  CheckRunOutlastsLease(IncarnationName("i-1", 1'764'750'000'000));
}

// Guards against a start that extends the lease while polls do not.
BOOST_AUTO_TEST_CASE(
    start_repeated_at_an_unreachable_withdrawn_worker_extends_no_lease) {
  Do(PeerConnected{"entry-1", 7});
  const PollCall poll = LastPoll(ConnectWorker("i-1"));
  const auto first = ActionsOf<StartCall>(SendFromEntry(Start(1)));
  BOOST_REQUIRE(first.size() == 1u);
  Do(WorkerWithdrew{"i-1"});
  AnswerPoll(poll, {}, {}, CallVerdict::kUnreachable);
  const auto again = ActionsOf<StartCall>(Pass(kStartRetry));
  BOOST_REQUIRE(again.size() == 1u);
  BOOST_TEST(again[0].lease_until_ms == first[0].lease_until_ms);
}

// Guards against runs that lapse after a short cut, at a withdrawn worker that
// goes on.
BOOST_AUTO_TEST_CASE(
    withdrawn_worker_that_answers_again_has_its_lease_extended) {
  const PollCall poll = WithdrawWithOneRun("i-1");
  BOOST_TEST(
      Reports(AnswerPoll(poll, {}, {}, CallVerdict::kUnreachable)).empty());
  const PollCall next = LastPoll(Pass(absl::Milliseconds(50)));
  BOOST_TEST(next.lease_until_ms == 0);
  const RunManagerActions answered = AnswerPoll(next, {Key(0)}, {});
  BOOST_TEST(Reports(answered).empty());
  const PollCall after = LastPoll(answered);
  BOOST_TEST(after.lease_until_ms ==
             5000 + clock.ms() + absl::ToInt64Milliseconds(kWorkerLease));
  const auto reports =
      Reports(AnswerPoll(after, {}, {{1, Key(0), WorkerRunEnd::kDone}}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kDone));
}

// Guards against a result that is lost because the worker has said that it
// ends.
BOOST_AUTO_TEST_CASE(run_of_a_withdrawn_worker_may_still_be_done) {
  const PollCall poll = RunOneTask();
  Do(WorkerWithdrew{"i-1"});
  BOOST_TEST(ActionsOf<StartCall>(SendFromEntry(Start(1, 5))).empty());
  const auto reports =
      Reports(AnswerPoll(poll, {}, {{1, Key(0), WorkerRunEnd::kDone}}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kDone));
}

// Guards against a withdrawn worker that is still polled once it is gone.
BOOST_AUTO_TEST_CASE(withdrawn_worker_whose_runs_have_ended_is_forgotten) {
  const PollCall poll = WithdrawWithOneRun("i-1");
  const PollCall next =
      LastPoll(AnswerPoll(poll, {}, {{1, Key(0), WorkerRunEnd::kDone}}));
  BOOST_TEST(manager.worker().identified());
  AnswerPoll(next, {}, {}, CallVerdict::kUnreachable);
  BOOST_TEST(!manager.worker().identified());
}

// Guards against tasks that wait for a lease although their worker is shown to
// have ended.
BOOST_AUTO_TEST_CASE(
    poll_answered_by_another_boot_ends_withdrawn_runs_at_once) {
  const PollCall poll = WithdrawWithOneRun("i-1");
  BOOST_TEST(
      Reports(AnswerPoll(poll, {}, {}, CallVerdict::kUnreachable)).empty());
  const PollCall next = LastPoll(Pass(absl::Milliseconds(50)));
  const auto reports =
      Reports(AnswerPoll(next, {}, {}, CallVerdict::kOtherWorker));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kWorkerLost));
  BOOST_TEST(!manager.worker().identified());
}

// Guards against the same if a stop shows it first.
BOOST_AUTO_TEST_CASE(
    stop_answered_by_another_boot_ends_withdrawn_runs_at_once) {
  WithdrawWithOneRun("i-1");
  const auto stops =
      ActionsOf<StopCall>(SendFromEntry(StopRuns{"5c0e", 0, {}}));
  BOOST_REQUIRE(stops.size() == 1u);
  const auto reports =
      Reports(Do(StopAnswered{stops[0], Answer(CallVerdict::kOtherWorker)}));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kStopped));
  BOOST_TEST(!manager.worker().identified());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
