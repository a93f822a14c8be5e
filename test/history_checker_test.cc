// The checker itself: each point is found violated in a small history made for
// it, and a clean history passes.
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "history_checker.h"

namespace egretswitch::internal {
namespace {

// One job of two tasks, sent once and answered completely.
struct HistoryFixture {
  HistoryFixture() {
    JobRecord job;
    job.submission.key = key;
    job.submission.repeatable = true;
    job.submission.tasks = {{"50 a#0", 50, {}}, {"50 a#1", 50, {}}};
    job.deadline = Ms(9000);
    history.jobs[key] = job;
    history.starts = {{key, 0, "agent-0", Ms(10), Ms(60)},
                      {key, 1, "agent-1", Ms(10), Ms(60)}};
    RequestRecord request;
    request.token = 1;
    request.key = key;
    request.entry = "entry-a";
    request.sent = Ms(5);
    request.answered = Ms(70);
    request.answers = 1;
    request.outcome = JobAnswer{{{"done:50 a#0"}, {"done:50 a#1"}}};
    history.requests = {request};
    history.end = Ms(60'000);
  }

  RequestRecord& Request() { return history.requests[0]; }

  void Refuse(RefusalReason reason, RunVerdict verdict) {
    Request().outcome = JobRefusal{reason, verdict, 100, ""};
  }

  std::vector<int> Points() {
    std::vector<int> points;
    for (const Violation& violation : CheckHistory(history)) {
      points.push_back(violation.point);
    }
    return points;
  }

  SubmissionKey key{"desk", "a"};
  History history;
};

using Found = std::vector<int>;

BOOST_FIXTURE_TEST_SUITE(HistoryChecker, HistoryFixture)

BOOST_AUTO_TEST_CASE(CleanHistory_Checked_FindsNothing) {
  BOOST_TEST(Points() == Found{});
}

BOOST_AUTO_TEST_CASE(SecondStart_Checked_ViolatesPoint1) {
  history.starts.push_back({key, 1, "agent-2", Ms(40), Ms(90)});
  BOOST_TEST(Points() == Found{1});
}

BOOST_AUTO_TEST_CASE(SecondStartOfNotRepeatable_Checked_ViolatesPoint5) {
  history.jobs[key].submission.repeatable = false;
  history.starts.push_back({key, 1, "agent-2", Ms(40), Ms(90)});
  BOOST_TEST(Points() == Found{5});
}

BOOST_AUTO_TEST_CASE(PartialAnswer_Checked_ViolatesPoint2) {
  Request().outcome = JobAnswer{{{"done:50 a#0"}}};
  BOOST_TEST(Points() == Found{2});
}

BOOST_AUTO_TEST_CASE(AnswerBeforeTheEndOfATask_Checked_ViolatesPoint2) {
  history.starts[1].ended = Ms(80);
  BOOST_TEST(Points() == Found{2});
}

BOOST_AUTO_TEST_CASE(CrossedOutput_Checked_ViolatesPoint3) {
  Request().outcome = JobAnswer{{{"done:50 a#1"}, {"done:50 a#1"}}};
  BOOST_TEST(Points() == Found{3});
}

BOOST_AUTO_TEST_CASE(SecondAnswer_Checked_ViolatesPoint3) {
  Request().answers = 2;
  BOOST_TEST(Points() == Found{3});
}

BOOST_AUTO_TEST_CASE(NoAnswerByTheDeadline_Checked_ViolatesPoint3) {
  Request().answers = 0;
  Request().answered = kNever;
  BOOST_TEST(Points() == Found{3});
}

BOOST_AUTO_TEST_CASE(LostConnection_Checked_NeedsNoAnswer) {
  Request().answers = 0;
  Request().answered = kNever;
  Request().lost = Ms(20);
  BOOST_TEST(Points() == Found{});
}

BOOST_AUTO_TEST_CASE(NotRunAfterAStart_Checked_ViolatesPoint4) {
  Refuse(RefusalReason::kQueueFull, RunVerdict::kNotRun);
  BOOST_TEST(Points() == Found{4});
}

BOOST_AUTO_TEST_CASE(NotRunBeforeAStart_Checked_ViolatesPoint4) {
  Refuse(RefusalReason::kQueueFull, RunVerdict::kNotRun);
  Request().answered = Ms(6);
  BOOST_TEST(Points() == Found{4});
}

BOOST_AUTO_TEST_CASE(NotRunThenSentAgain_Checked_FindsNothing) {
  Refuse(RefusalReason::kQueueFull, RunVerdict::kNotRun);
  Request().answered = Ms(6);
  RequestRecord again = Request();
  again.token = 2;
  again.sent = Ms(8);
  again.answered = Ms(70);
  again.outcome = JobAnswer{{{"done:50 a#0"}, {"done:50 a#1"}}};
  history.requests.push_back(again);
  BOOST_TEST(Points() == Found{});
}

BOOST_AUTO_TEST_CASE(MayHaveRunAfterAStart_Checked_FindsNothing) {
  Refuse(RefusalReason::kWorkerLost, RunVerdict::kMayHaveRun);
  BOOST_TEST(Points() == Found{});
}

BOOST_AUTO_TEST_CASE(KnownKindRefusedAsUnknown_Checked_ViolatesPoint4) {
  Refuse(RefusalReason::kUnknownKind, RunVerdict::kMayHaveRun);
  BOOST_TEST(Points() == Found{4});
}

BOOST_AUTO_TEST_CASE(StartOnALeavingWorker_Checked_ViolatesPoint6) {
  history.faulted = true;
  history.stops = {{"agent-0", Ms(10) - kLeavingGrace - 1, Ms(500)}};
  BOOST_TEST(Points() == Found{6});
}

BOOST_AUTO_TEST_CASE(RequestFailedByAStop_Checked_ViolatesPoint7) {
  Refuse(RefusalReason::kDraining, RunVerdict::kMayHaveRun);
  history.stops = {{"entry-a", Ms(20), Ms(500)}};
  BOOST_TEST(Points() == Found{7});
}

BOOST_AUTO_TEST_CASE(StopThatNeverEnds_Checked_ViolatesPoint7) {
  history.stops = {{"agent-3", Ms(20), kNever}};
  BOOST_TEST(Points() == Found{7});
}

BOOST_AUTO_TEST_CASE(TailJobWithoutAnswer_Checked_ViolatesPoint9) {
  history.jobs[key].in_tail = true;
  Refuse(RefusalReason::kNoOwner, RunVerdict::kMayHaveRun);
  BOOST_TEST(Points() == Found{9});
}

// Two edits of version 1 of a row; the one at the smaller offset holds.
struct TableFixture : HistoryFixture {
  TableFixture() {
    history.edits = {
        {0, "e0", "check", 0, 1, 0, 0},
        {1, "e1", "check", 1, 7, 6, Ms(5000), 1, OperatorOutcome::kSuperseded},
        {2, "e2", "check", 1, 5, 5, Ms(5000), 1, OperatorOutcome::kAccepted}};
    history.samples = {Sample(Ms(6000), 2, 5), Sample(Ms(15'000), 2, 5)};
  }

  static TableSample Sample(VirtualUs at, uint64_t version, uint32_t weight) {
    return {at, "entry-a", version, {{"check", version}}, {{"check", weight}}};
  }
};

BOOST_FIXTURE_TEST_CASE(FirstEditInForce_Checked_FindsNothing, TableFixture) {
  BOOST_TEST(Points() == Found{});
}

BOOST_FIXTURE_TEST_CASE(EditNotInForce_Checked_ViolatesPoint8, TableFixture) {
  history.samples = {Sample(Ms(6000), 1, 1), Sample(Ms(15'000), 1, 1)};
  BOOST_TEST(Points() == Found{8});
}

BOOST_FIXTURE_TEST_CASE(LosingEditInForce_Checked_ViolatesPoint8,
                        TableFixture) {
  history.samples = {Sample(Ms(15'000), 2, 7)};
  BOOST_TEST(Points() == Found{8});
}

BOOST_FIXTURE_TEST_CASE(VersionThatFalls_Checked_ViolatesPoint8, TableFixture) {
  history.samples = {Sample(Ms(5500), 2, 5), Sample(Ms(6000), 1, 1)};
  BOOST_TEST(Points() == Found{8});
}

BOOST_FIXTURE_TEST_CASE(BothOperatorsToldAccepted_Checked_ViolatesPoint8,
                        TableFixture) {
  history.edits[1].told = OperatorOutcome::kAccepted;
  BOOST_TEST(Points() == Found{8});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
