// Proves which starts an agent accepts: docs/DESIGN.md, "Who may start a task".
#include "agent_fixture.h"

namespace egretswitch::internal {
namespace {

BOOST_FIXTURE_TEST_SUITE(AgentStart, ReadyAgentFixture)

BOOST_AUTO_TEST_CASE(Start_FreshPermission_StartsOnWorker) {
  StartTasks start = StartOf("entry-a", "a17", {5});
  start.tasks[0].spec.payload = "price 6204";
  Deliver("entry-a", start);
  BOOST_REQUIRE_EQUAL(started().size(), 1u);
  BOOST_TEST(started()[0].index == 5u);
  BOOST_TEST(started()[0].spec.payload == "price 6204");
  BOOST_TEST(started()[0].deadline_ms == start.deadline_ms);
}

BOOST_AUTO_TEST_CASE(Start_SentTwice_StartsOnce) {
  const StartTasks start = StartOf("entry-a", "a17", {0});
  Deliver("entry-a", start);
  Deliver("entry-a", start);
  BOOST_TEST(started().empty());
}

BOOST_AUTO_TEST_CASE(Start_SameTaskTwiceInOneMessage_StartsOnce) {
  Start("entry-a", "a17", {0, 0});
  BOOST_TEST(started().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Start_OfEndedTaskWithOldPermission_IsReportedNotStarted) {
  const StartTasks start = StartOf("entry-a", "a17", {0});
  Deliver("entry-a", start);
  End("a17", 0, "42 in stock");
  Advance(2 * kPermissionLife);
  Deliver("entry-a", start);
  BOOST_TEST(started().empty());
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kFinished);
  BOOST_TEST(ReportTo("entry-a").payload == "42 in stock");
}

BOOST_AUTO_TEST_CASE(Start_OtherContentUnderSameKey_IsConflict) {
  Start("entry-a", "a17", {0});
  StartTasks other = StartOf("entry-a", "a17", {1});
  other.digest = kDigest + 1;
  Deliver("entry-a", other);
  BOOST_TEST(started().empty());
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kConflict);
}

BOOST_AUTO_TEST_CASE(Start_LowerEpochAfterFence_IsFenced) {
  Deliver("entry-b", FenceShards{{{kShard, kEpoch + 1}}});
  Start("entry-a", "a17", {0, 1});
  BOOST_TEST(started().empty());
  BOOST_TEST(ReportsTo("entry-a").size() == 2u);
  BOOST_TEST(ReportsTo("entry-a")[0].status == TaskStatus::kFenced);
  BOOST_TEST(agent().counters().Get(Counter::kRetryFenced) == 2u);
}

BOOST_AUTO_TEST_CASE(Start_LowerEpochInOtherShard_StartsOnWorker) {
  Deliver("entry-b", FenceShards{{{kShard + 1, kEpoch + 1}}});
  Start("entry-a", "a17", {0});
  BOOST_TEST(started().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Start_HigherEpoch_RaisesFence) {
  StartTasks newer = StartOf("entry-b", "b1", {0});
  newer.epoch = kEpoch + 1;
  Deliver("entry-b", newer);
  BOOST_TEST(started().size() == 1u);
  Start("entry-a", "a17", {0});
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kFenced);
}

BOOST_AUTO_TEST_CASE(Fence_LowerEpoch_NeverLowers) {
  Deliver("entry-b", FenceShards{{{kShard, kEpoch + 1}}});
  Deliver("entry-a", FenceShards{{{kShard, kEpoch}}});
  BOOST_TEST(MessagesTo<FenceReply>("entry-a")[0].shards[0].epoch ==
             kEpoch + 1);
  Start("entry-a", "a17", {0});
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kFenced);
}

BOOST_AUTO_TEST_CASE(Start_LowerEpochForRunningTask_IsNeverSaidNotRun) {
  const StartTasks start = StartOf("entry-a", "a17", {0});
  Deliver("entry-a", start);
  Deliver("entry-b", AttachOf("entry-b", "a17", {0}, kEpoch + 1));
  Deliver("entry-a", start);
  BOOST_TEST(!WasToldAnything("entry-a"));
  End("a17", 0);
  BOOST_TEST(!WasToldAnything("entry-a"));
  BOOST_TEST(ReportTo("entry-b").status == TaskStatus::kFinished);
}

BOOST_AUTO_TEST_CASE(Start_PermissionAtItsLife_StartsOnWorker) {
  const StartTasks start = StartOf("entry-a", "a17", {0});
  Advance(kPermissionLife);
  Deliver("entry-a", start);
  BOOST_TEST(started().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Start_PermissionPastItsLife_IsStaleAndRenewed) {
  const StartTasks start = StartOf("entry-a", "a17", {0});
  Advance(kPermissionLife + absl::Milliseconds(1));
  Deliver("entry-a", start);
  BOOST_TEST(started().empty());
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kStalePermission);
  BOOST_TEST(agent().counters().Get(Counter::kRetryStalePermission) == 1u);
  Start("entry-a", "a17", {0});
  BOOST_TEST(started().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Start_WithoutPermission_IsStale) {
  StartTasks start = StartOf("entry-a", "a17", {0});
  start.permission = 0;
  Deliver("entry-a", start);
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kStalePermission);
}

BOOST_AUTO_TEST_CASE(Start_PermissionOfOtherEntry_IsStale) {
  StartTasks start = StartOf("entry-a", "a17", {0});
  start.permission = PermissionOf("entry-b");
  Deliver("entry-a", start);
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kStalePermission);
}

BOOST_AUTO_TEST_CASE(Start_PermissionOfFormerLink_IsStale) {
  const StartTasks start = StartOf("entry-a", "a17", {0});
  Unlink("entry-a");
  Link("entry-a", 81);
  Deliver("entry-a", start);
  BOOST_TEST(started().empty());
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kStalePermission);
}

BOOST_AUTO_TEST_CASE(Start_PermissionFromBeforeReconnect_IsStale) {
  const StartTasks start = StartOf("entry-a", "a17", {0});
  Advance(absl::Milliseconds(1));
  Unlink("entry-a");
  Link("entry-a", 71);
  Deliver("entry-a", start);
  BOOST_TEST(started().empty());
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kStalePermission);
}

BOOST_AUTO_TEST_CASE(Link_OfOtherRole_IsToldNothing) {
  Hello tool;
  tool.name = "ctl";
  tool.role = ProcessRole::kTool;
  Happens(LinkUp{tool});
  BOOST_TEST(!WasToldAnything("ctl"));
}

BOOST_AUTO_TEST_CASE(Message_OfFormerIncarnation_IsIgnored) {
  const StartTasks start = StartOf("entry-a", "a17", {0});
  Link("entry-a", 81);
  Happens(MessageArrived{"entry-a", 71, start});
  BOOST_TEST(started().empty());
  BOOST_TEST(!WasToldAnything("entry-a"));
}

BOOST_AUTO_TEST_CASE(Message_WithoutLink_IsIgnored) {
  const StartTasks start = StartOf("entry-a", "a17", {0});
  Unlink("entry-a");
  Deliver("entry-a", start);
  BOOST_TEST(started().empty());
}

BOOST_AUTO_TEST_CASE(Start_ForOtherAgentIncarnation_IsRefused) {
  StartTasks start = StartOf("entry-a", "a17", {0});
  start.agent_incarnation = kAgentIncarnation - 1;
  Deliver("entry-a", start);
  BOOST_TEST(started().empty());
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kOtherIncarnation);
}

BOOST_AUTO_TEST_CASE(Start_SubmissionAtHorizon_StartsOnWorker) {
  StartTasks start = StartOf("entry-a", "a17", {0});
  start.submitted_ms = now().wall_ms - kHorizonMs;
  Deliver("entry-a", start);
  BOOST_TEST(started().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Start_SubmissionPastHorizon_IsFenced) {
  StartTasks start = StartOf("entry-a", "a17", {0});
  start.submitted_ms = now().wall_ms - kHorizonMs - 1;
  Deliver("entry-a", start);
  BOOST_TEST(started().empty());
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kFenced);
}

BOOST_AUTO_TEST_CASE(Start_SubmissionPastMemory_IsNeverSaidNotRun) {
  StartTasks start = StartOf("entry-a", "a17", {0});
  start.submitted_ms = now().wall_ms - kHorizonMs - 2 * kWallSkewMs - 1;
  Deliver("entry-a", start);
  BOOST_TEST(started().empty());
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kLost);
}

BOOST_AUTO_TEST_CASE(Start_NoFreeSlot_IsFull) {
  Start("entry-a", "a17", {0, 1, 2});
  BOOST_TEST(started().size() == 2u);
  BOOST_TEST(ReportTo("entry-a").index == 2u);
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kFull);
  BOOST_TEST(StatusTo("entry-a").free_slots == 0u);
  BOOST_TEST(agent().counters().Get(Counter::kRetryFull) == 1u);
}

BOOST_AUTO_TEST_CASE(Cancel_PresentEpoch_StopsTasksOfTheJob) {
  Start("entry-a", "a17", {0});
  const LeaseId lease = started()[0].lease;
  Start("entry-a", "a18", {0});
  Deliver("entry-a", CancelTasks{kShard, kEpoch, {"desk", "a17"}});
  BOOST_REQUIRE_EQUAL(Done<StopOnWorker>().size(), 1u);
  BOOST_TEST(Done<StopOnWorker>()[0].lease == lease);
}

BOOST_AUTO_TEST_CASE(Cancel_LowerEpoch_IsIgnored) {
  Start("entry-a", "a17", {0});
  Deliver("entry-a", CancelTasks{kShard, kEpoch - 1, {"desk", "a17"}});
  BOOST_TEST(Done<StopOnWorker>().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(NewAgent, NewAgentFixture)

BOOST_AUTO_TEST_CASE(Start_BeforeWaitIsOver_IsStale) {
  Happens(Tick{});
  Happens(WorkerTasksListed{});
  Advance(kWaitOfNewAgent - absl::Milliseconds(1));
  Link("entry-a");
  BOOST_TEST(StatusTo("entry-a").free_slots == 0u);
  BOOST_TEST(StatusTo("entry-a").permission != 0u);
  Start("entry-a", "a17", {0});
  BOOST_TEST(started().empty());
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kStalePermission);
}

BOOST_AUTO_TEST_CASE(Wait_Over_TellsLinkedEntriesOnce) {
  Happens(WorkerTasksListed{});
  Link("entry-a");
  AdvanceAndTick(kWaitOfNewAgent);
  BOOST_TEST(StatusTo("entry-a").free_slots == 2u);
  Happens(Tick{});
  BOOST_TEST(!WasToldAnything("entry-a"));
  Start("entry-a", "a17", {0});
  BOOST_TEST(started().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Start_BeforeWorkerListed_IsStale) {
  Happens(Tick{});
  AdvanceAndTick(2 * kWaitOfNewAgent);
  Link("entry-a");
  Start("entry-a", "a17", {0});
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kStalePermission);
  Happens(WorkerTasksListed{});
  BOOST_TEST(StatusTo("entry-a").free_slots == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

struct SmallWorkerFixture : ReadyAgentFixture {
  SmallWorkerFixture() : ReadyAgentFixture(SmallOptions()) {}

  static AgentOptions SmallOptions() {
    AgentOptions options = Options();
    options.self.capacity = {.millicores = 1000, .memory_mb = 0};
    return options;
  }

  void StartNeeding(const std::string& id, TaskNeeds needs) {
    StartTasks start = StartOf("entry-a", id, {0});
    start.tasks[0].spec.needs = needs;
    Deliver("entry-a", start);
  }
};

BOOST_FIXTURE_TEST_SUITE(AgentCapacity, SmallWorkerFixture)

BOOST_AUTO_TEST_CASE(Start_NeedsBeyondCapacityLeft_IsFullUntilTheyFit) {
  StartNeeding("a17", {.millicores = 700, .memory_mb = 1 << 20});
  BOOST_TEST(started().size() == 1u);
  StartNeeding("a18", {.millicores = 301});
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kFull);
  End("a17", 0);
  StartNeeding("a18", {.millicores = 301});
  BOOST_TEST(started().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Status_AfterTaskThatDidNotFit_HasNoFreeSlotUntilAnEnd) {
  StartNeeding("a17", {.millicores = 700});
  StartNeeding("a18", {.millicores = 301});
  BOOST_TEST(StatusTo("entry-a").free_slots == 0u);
  Deliver("entry-a", WantSlots{1, 1.0});
  BOOST_TEST(!WasToldAnything("entry-a"));
  End("a17", 0);
  BOOST_TEST(StatusTo("entry-a").free_slots == 2u);
  BOOST_TEST(StatusTo("entry-a").offered == 1u);
}

BOOST_AUTO_TEST_CASE(Status_AfterTaskThatNeverFits_HasFreeSlots) {
  StartNeeding("a18", {.millicores = 1001});
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kFull);
  BOOST_TEST(StatusTo("entry-a").free_slots == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
