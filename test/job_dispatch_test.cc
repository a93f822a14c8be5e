// Which job starts next, on which worker, and what is asked of full ones.
#include <boost/test/unit_test.hpp>

#include "job_fixture.h"

namespace egretswitch::internal {
namespace {

struct DispatchFixture : JobFixture {
  // Jobs started by the last event, in order.
  std::vector<std::string> Started() const {
    std::vector<std::string> ids;
    for (const auto& sent : Sent<StartTasks>()) {
      ids.push_back(sent.message.key.id);
    }
    return ids;
  }

  // Agents that got starts in the last event, in order.
  std::vector<std::string> Used() const {
    std::vector<std::string> names;
    for (const auto& sent : Sent<StartTasks>()) {
      names.push_back(sent.peer);
    }
    return names;
  }

  // Fills agent-1, whose only slot runs "busy".
  void FillOneSlot() {
    AddAgent("agent-1", 1);
    Submit(1, MakeJob("busy"));
    BOOST_REQUIRE_EQUAL(StartsSent(), 1u);
  }
};

using Names = std::vector<std::string>;

BOOST_FIXTURE_TEST_SUITE(JobDispatchTest, DispatchFixture)

BOOST_AUTO_TEST_CASE(Order_SmallJobAfterLargeOne_GoesFirst) {
  FillOneSlot();
  Submit(2, MakeJob("large", 20));
  Submit(3, MakeJob("small", 1));
  Finish("agent-1", "busy", {0}, 1);
  BOOST_TEST(Started() == Names{"small"});
}

BOOST_AUTO_TEST_CASE(Order_LargeJobThatWaitedLong_IsNotOvertaken) {
  FillOneSlot();
  Submit(2, MakeJob("large", 20));  // 20 x 200 ms of work: 4 s at rate 1
  Pass(absl::Seconds(4));
  Submit(3, MakeJob("small", 1));
  Finish("agent-1", "busy", {0}, 1);
  BOOST_TEST(Started() == Names{"large"});
}

BOOST_AUTO_TEST_CASE(Order_LearnedRunTime_OverridesTheDeclaredOne) {
  AddRow({.kind = "report"});
  AddAgent("agent-1", 1);
  for (int i = 0; i < 10; ++i) {
    Submission job = MakeJob("p" + std::to_string(i));
    job.tasks[0].declared_ms = 5000;
    Submit(1, job);
    Finish("agent-1", job.key.id, {0}, 1, 50);
  }
  Submit(1, MakeJob("busy"));
  Submission two = MakeJob("two", 2);
  two.tasks[0].declared_ms = two.tasks[1].declared_ms = 10;
  Submission one = MakeJob("one", 1);
  one.tasks[0].declared_ms = 5000;
  Submit(2, two);
  Submit(3, one);
  Finish("agent-1", "busy", {0}, 1, 50);
  BOOST_TEST(Started() == Names{"one"});
}

BOOST_AUTO_TEST_CASE(Order_TwoRowsBacklogged_StartsByWeight) {
  AddRow({.kind = "alerts", .weight = 3});
  FillOneSlot();
  for (int i = 0; i < 40; ++i) {
    Submit(2, MakeJob("p" + std::to_string(i)));
    Submission alert = MakeJob("a" + std::to_string(i));
    alert.kind = "alerts";
    Submit(3, alert);
  }
  std::string last = "busy";
  int alerts = 0;
  for (int i = 0; i < 40; ++i) {
    Finish("agent-1", last, {0}, 1, 200);
    BOOST_REQUIRE_EQUAL(Started().size(), 1u);
    last = Started()[0];
    alerts += last[0] == 'a' ? 1 : 0;
  }
  BOOST_TEST(alerts >= 28);
  BOOST_TEST(alerts <= 32);
}

BOOST_AUTO_TEST_CASE(Place_OwnDataCentre_BeforeOthersEvenWithFewerSlots) {
  AddAgent("agent-far", 8, "dc-2");
  AddAgent("agent-near", 2, "dc-1");
  Submit(1, MakeJob("a17", 3));
  BOOST_TEST((Used() == Names{"agent-near", "agent-far"}));
}

BOOST_AUTO_TEST_CASE(Place_SameDataCentre_MostFreeSlotsFirst) {
  AddAgent("agent-1", 2);
  AddAgent("agent-2", 4);
  Submit(1, MakeJob("a17", 1));
  BOOST_TEST(Used() == Names{"agent-2"});
}

BOOST_AUTO_TEST_CASE(Place_TaskNeedsMoreThanCapacity_SkipsTheWorker) {
  AddAgent("agent-1", 8, "dc-1", {.memory_mb = 100});
  AddAgent("agent-2", 1, "dc-2", {.memory_mb = 4000});
  Submission job = MakeJob("a17");
  job.tasks[0].needs.memory_mb = 2000;
  Submit(1, job);
  BOOST_TEST(Used() == Names{"agent-2"});
}

BOOST_AUTO_TEST_CASE(Place_TasksWithDifferentNeeds_GoWhereEachFits) {
  AddAgent("agent-1", 8, "dc-1", {.memory_mb = 100, .accelerators = 1});
  AddAgent("agent-2", 8, "dc-1", {.memory_mb = 4000, .accelerators = 0});
  Submission job = MakeJob("a17", 2);
  job.tasks[0].needs.memory_mb = 2000;
  job.tasks[1].needs.memory_mb = 50;
  Submit(1, job);
  BOOST_TEST(StartsSent() == 2u);
  for (const auto& sent : Sent<StartTasks>()) {
    for (const TaskStart& task : sent.message.tasks) {
      BOOST_TEST((task.index == 1 || sent.peer == "agent-2"));
    }
  }
}

BOOST_AUTO_TEST_CASE(Place_LeavingWorker_GetsNothing) {
  AddAgent("agent-1", 4);
  agents.OnStatus("agent-1", {50, 4, 0, /*leaving=*/true}, now.mono);
  Event([&] { jobs.OnAgentStatus("agent-1"); });
  Submit(1, MakeJob("a17"));
  BOOST_TEST(StartsSent() == 0u);
}

BOOST_AUTO_TEST_CASE(Place_MoreTasksThanSlots_FillsOnlyTheSlots) {
  AddAgent("agent-1", 3);
  Submit(1, MakeJob("a17", 10));
  BOOST_TEST(StartsSent() == 3u);
  Finish("agent-1", "a17", {0}, 1);
  BOOST_TEST(StartsSent() == 1u);
}

BOOST_AUTO_TEST_CASE(Place_StatusOlderThanOurStarts_DoesNotOverfillTheWorker) {
  AddAgent("agent-1", 3);
  Submit(1, MakeJob("a17", 2));
  TellStatus("agent-1", 3);  // sent before the two starts arrived
  Submit(2, MakeJob("a18", 3));
  BOOST_TEST(StartsSent() == 1u);
}

BOOST_AUTO_TEST_CASE(Place_LeaseDoesNotCoverThePermission_StartsNothing) {
  AddAgent("agent-1", 4);
  Submit(1, MakeJob("a17", 8));
  authority.lease_until = now.mono;
  Finish("agent-1", "a17", {0, 1, 2, 3}, 4);
  BOOST_TEST(StartsSent() == 0u);
  authority.lease_until = absl::InfiniteDuration();
  Pass(absl::Milliseconds(10));
  BOOST_TEST(StartsSent() == 4u);
}

BOOST_AUTO_TEST_CASE(Place_StalePermission_OneStartAtATimeAsksForANewOne) {
  AddAgent("agent-1", 4);
  Pass(kPermissionLife);
  Submit(1, MakeJob("a17", 1));
  BOOST_TEST(StartsSent() == 1u);
  Submit(2, MakeJob("a18", 1));
  BOOST_TEST(StartsSent() == 0u);
  Report("agent-1", "a17", {0}, TaskStatus::kStalePermission, 4);
  BOOST_TEST(StartsSent() == 2u);
}

// The start that takes the last waiting task withdraws the want by itself.
BOOST_AUTO_TEST_CASE(Want_NoFreeSlot_AsksOnceAndWithdrawsWhenNothingWaits) {
  FillOneSlot();
  Submit(2, MakeJob("a17"));
  BOOST_REQUIRE_EQUAL(Sent<WantSlots>().size(), 1u);
  BOOST_TEST(Sent<WantSlots>()[0].message.count == 1u);
  Pass(absl::Milliseconds(10));
  BOOST_TEST(Sent<WantSlots>().empty());
  Finish("agent-1", "busy", {0}, 1);
  BOOST_TEST(Started() == Names{"a17"});
  BOOST_TEST(Sent<StartTasks>()[0].message.want.count == 0u);
  BOOST_TEST(Sent<WantSlots>().empty());
  Pass(absl::Milliseconds(10));
  BOOST_TEST(Sent<WantSlots>().empty());
}

BOOST_AUTO_TEST_CASE(Want_TasksWaitAfterAStart_TravelsWithIt) {
  FillOneSlot();
  Submit(2, MakeJob("a17", 3));
  Finish("agent-1", "busy", {0}, 1);
  BOOST_REQUIRE_EQUAL(StartsSent(), 1u);
  BOOST_TEST(Sent<StartTasks>()[0].message.want.count == 2u);
  BOOST_TEST(Sent<StartTasks>()[0].message.want.urgency == 400.0);
  BOOST_TEST(Sent<WantSlots>().empty());
}

BOOST_AUTO_TEST_CASE(Want_RowPrefersResponse_SaysSoAloneAndWithAStart) {
  AddRow({.kind = "pricing", .prefer_response = 80});
  FillOneSlot();
  Submit(2, MakeJob("a17", 3));
  BOOST_REQUIRE_EQUAL(Sent<WantSlots>().size(), 1u);
  BOOST_TEST(Sent<WantSlots>()[0].message.prefer_response == 80u);
  Finish("agent-1", "busy", {0}, 1);
  BOOST_REQUIRE_EQUAL(StartsSent(), 1u);
  BOOST_TEST(Sent<StartTasks>()[0].message.want.prefer_response == 80u);
}

// All starts of one pass carry what waits when it ends.
BOOST_AUTO_TEST_CASE(Want_SeveralStartsTakeAllTasks_NoneAsksForMore) {
  AddAgent("agent-1", 2);
  AddAgent("agent-2", 2);
  Submit(1, MakeJob("a17", 4));
  BOOST_REQUIRE_EQUAL(Sent<StartTasks>().size(), 2u);
  for (const auto& sent : Sent<StartTasks>()) {
    BOOST_TEST(sent.message.want.count == 0u);
  }
}

BOOST_AUTO_TEST_CASE(Want_OfferComesWhenNothingWaits_IsGivenBackAtOnce) {
  AddAgent("agent-1", 1);
  AddAgent("agent-2", 1, "dc-2");
  Submit(1, MakeJob("a17", 2));
  Submit(2, MakeJob("a18", 2));
  BOOST_REQUIRE_EQUAL(Sent<WantSlots>().size(), 2u);
  Finish("agent-1", "a17", {0}, 1);
  Finish("agent-1", "a18", {0}, 1);
  BOOST_REQUIRE_EQUAL(StartsSent(), 1u);  // nothing waits any more
  TellStatus("agent-2", 1, 1);
  BOOST_REQUIRE_EQUAL(Sent<WantSlots>().size(), 1u);
  BOOST_TEST(Sent<WantSlots>()[0].peer == "agent-2");
  BOOST_TEST(Sent<WantSlots>()[0].message.count == 0u);
}

BOOST_AUTO_TEST_CASE(Want_WaitingTasksDoubled_IsRenewed) {
  FillOneSlot();
  Submit(2, MakeJob("a17", 4));
  Submit(3, MakeJob("a18", 3));
  BOOST_TEST(Sent<WantSlots>().empty());
  Submit(4, MakeJob("a19", 1));
  BOOST_REQUIRE_EQUAL(Sent<WantSlots>().size(), 1u);
  BOOST_TEST(Sent<WantSlots>()[0].message.count == 8u);
}

// The offer crossed our start, which used it up at the agent.
BOOST_AUTO_TEST_CASE(Want_OfferCrossedAStart_IsAskedForAgain) {
  FillOneSlot();
  Submit(2, MakeJob("a17"));
  BOOST_TEST(Sent<WantSlots>().size() == 1u);
  TellStatus("agent-1", 0, 1);
  BOOST_REQUIRE_EQUAL(StartsSent(), 0u);  // our own task has the only slot
  BOOST_TEST(Sent<WantSlots>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Want_LongUnanswered_IsRenewed) {
  FillOneSlot();
  Submit(2, MakeJob("a17"));
  Pass(absl::Milliseconds(490));
  BOOST_TEST(Sent<WantSlots>().empty());
  Pass(absl::Milliseconds(10));
  BOOST_TEST(Sent<WantSlots>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Want_ManyFullWorkers_AsksABoundedNumber) {
  for (int i = 0; i < 20; ++i) {
    AddAgent("agent-" + std::to_string(i), 1);
  }
  Submit(1, MakeJob("busy", 20));
  BOOST_REQUIRE_EQUAL(StartsSent(), 20u);
  Submit(2, MakeJob("a17", 40));
  BOOST_TEST(Sent<WantSlots>().size() == 8u);
}

BOOST_AUTO_TEST_CASE(Want_FewerNearWorkersThanTasks_AsksFartherOnesToo) {
  AddAgent("agent-near", 1);
  AddAgent("agent-far", 1, "dc-2");
  Submit(1, MakeJob("busy", 2));
  BOOST_REQUIRE_EQUAL(StartsSent(), 2u);
  Submit(2, MakeJob("a17", 1));
  BOOST_REQUIRE_EQUAL(Sent<WantSlots>().size(), 1u);
  BOOST_TEST(Sent<WantSlots>()[0].peer == "agent-near");
  Submit(3, MakeJob("a18", 1));
  BOOST_REQUIRE_EQUAL(Sent<WantSlots>().size(), 2u);
}

BOOST_AUTO_TEST_CASE(Offer_WhileItLives_IsUsedBeforeFreeSlotsElsewhere) {
  AddAgent("agent-1", 8);
  AddAgent("agent-2", 8, "dc-2");
  TellStatus("agent-2", 1, 1);
  Submit(1, MakeJob("a17", 1));
  BOOST_TEST(Used() == Names{"agent-2"});
  BOOST_TEST(context.counters().Get(Counter::kOffersTaken) == 1u);
}

BOOST_AUTO_TEST_CASE(Offer_Expired_IsNotUsed) {
  AddAgent("agent-1", 8);
  AddAgent("agent-2", 8, "dc-2");
  TellStatus("agent-2", 0, 1);
  Pass(kOfferLife);
  Submit(1, MakeJob("a17", 9));
  BOOST_TEST(Used() == Names{"agent-1"});
}

BOOST_AUTO_TEST_CASE(Fit_NoWorkerEver_RefusedOnceMembershipIsLearnt) {
  AddAgent("agent-1", 4, "dc-1", {.accelerators = 1});
  Pass(absl::Milliseconds(10));
  Submission job = MakeJob("a17");
  job.tasks[0].needs.accelerators = 2;
  Submit(1, job);
  BOOST_TEST(Answers().empty());  // workers are still being learnt
  Submit(2, MakeJob("a18"));      // and nothing else is held up
  BOOST_TEST(StartsSent() == 1u);
  Pass(absl::Seconds(5));
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kNoWorkerFits));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kNotRun));
  job.submitted_ms = now.wall_ms;
  job.key.id = "a19";
  Submit(3, job);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kNoWorkerFits));
}

BOOST_AUTO_TEST_CASE(Fit_RegisteredWorkerNotLinked_WaitsForIt) {
  AddAgent("agent-1", 4, "dc-1", {.accelerators = 1});
  control.Apply({control.next_offset(),
                 {"slot", SlotRegistered{"agent-2", "127.0.0.1:1", "", ""}}});
  Pass(absl::Milliseconds(10));
  Pass(absl::Seconds(6));
  Submission job = MakeJob("a17");
  job.tasks[0].needs.accelerators = 2;
  Submit(1, job);
  BOOST_TEST(Answers().empty());
  AddAgent("agent-2", 1, "dc-1", {.accelerators = 2});
  Pass(absl::Milliseconds(10));
  BOOST_TEST(Used() == Names{"agent-2"});
}

BOOST_AUTO_TEST_CASE(Health_WorkerThatFailsEverything_IsEjectedForAWhile) {
  AddAgent("agent-bad", 1);
  for (int i = 0; i < 3; ++i) {
    AddAgent("agent-" + std::to_string(i), 1, "dc-2");
  }
  // Every second job ends well in the other data centre.
  for (int i = 0; i < 5; ++i) {
    Submission bad = MakeJob("bad" + std::to_string(i));
    Submit(1, bad);
    BOOST_REQUIRE(Used() == Names{"agent-bad"});
    Submission good = MakeJob("good" + std::to_string(i));
    Submit(2, good);
    Finish(Used()[0], good.key.id, {0}, 1);
    Report("agent-bad", bad.key.id, {0}, TaskStatus::kFailed, 1);
  }
  BOOST_TEST(context.counters().Get(Counter::kWorkersEjected) == 1u);
  Submit(3, MakeJob("next"));
  BOOST_REQUIRE_EQUAL(Used().size(), 1u);
  BOOST_TEST(Used()[0] != "agent-bad");
  Pass(absl::Seconds(2));
  Submit(4, MakeJob("later"));
  BOOST_TEST(Used() == Names{"agent-bad"});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
