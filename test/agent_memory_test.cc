// Proves what an agent remembers of its starts, to whom it tells their ends,
// and when it forgets.
#include "agent_fixture.h"

namespace egretswitch::internal {
namespace {

BOOST_FIXTURE_TEST_SUITE(AgentMemory, ReadyAgentFixture)

BOOST_AUTO_TEST_CASE(End_LinkUp_IsReportedWithStatusInOneMessage) {
  Start("entry-a", "a17", {0});
  End("a17", 0, "ok");
  BOOST_TEST(ReportTo("entry-a").payload == "ok");
  BOOST_TEST(ReportTo("entry-a").run_ms == 7u);
  BOOST_TEST(StatusTo("entry-a").free_slots == 2u);
  BOOST_TEST(!WasToldAnything("entry-b"));
}

BOOST_AUTO_TEST_CASE(End_LinkDown_IsKeptForAttach) {
  Start("entry-a", "a17", {0});
  Unlink("entry-a");
  End("a17", 0, "ok");
  BOOST_TEST(Done<Send>().empty());
  Link("entry-a");
  Deliver("entry-a", AttachOf("entry-a", "a17", {0}));
  BOOST_TEST(ReportTo("entry-a").payload == "ok");
}

BOOST_AUTO_TEST_CASE(Attach_RunningTask_MovesTheReport) {
  Start("entry-a", "a17", {0});
  Deliver("entry-b", AttachOf("entry-b", "a17", {0}, kEpoch + 1));
  BOOST_TEST(!WasToldAnything("entry-b"));
  End("a17", 0);
  BOOST_TEST(ReportTo("entry-b").status == TaskStatus::kFinished);
  BOOST_TEST(!WasToldAnything("entry-a"));
}

BOOST_AUTO_TEST_CASE(Attach_TaskNeverStarted_IsNotHeldAndStartsNothing) {
  Start("entry-a", "a17", {0});
  Deliver("entry-a", AttachOf("entry-a", "a17", {1}));
  BOOST_TEST(started().empty());
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kNotHeld);
}

BOOST_AUTO_TEST_CASE(Attach_LowerEpoch_IsFenced) {
  Deliver("entry-b", FenceShards{{{kShard, kEpoch + 1}}});
  Deliver("entry-a", AttachOf("entry-a", "a17", {0}));
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kFenced);
}

BOOST_AUTO_TEST_CASE(Attach_MeantForFormerProcess_IsNeverSaidNotRun) {
  StartTasks attach = AttachOf("entry-a", "a17", {0});
  attach.agent_incarnation = kAgentIncarnation - 1;
  Deliver("entry-a", attach);
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kLost);
}

BOOST_AUTO_TEST_CASE(Attach_PastMemory_IsNeverSaidNotRun) {
  StartTasks attach = AttachOf("entry-a", "a17", {0});
  attach.submitted_ms = now().wall_ms - kHorizonMs - 2 * kWallSkewMs - 1;
  Deliver("entry-a", attach);
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kLost);
}

BOOST_AUTO_TEST_CASE(Fence_TasksRunningAndEnded_ListsBothOfTheShard) {
  const int64_t submitted_ms = now().wall_ms;
  Start("entry-a", "a17", {0, 4});
  End("a17", 0);
  Deliver("entry-b", FenceShards{{{kShard, kEpoch + 1}, {7, 1}}});
  const auto replies = MessagesTo<FenceReply>("entry-b");
  BOOST_REQUIRE_EQUAL(replies.size(), 1u);
  BOOST_TEST(replies[0].shards.size() == 2u);
  BOOST_TEST(replies[0].shards[0].epoch == kEpoch + 1);
  BOOST_TEST(replies[0].memory_since_ms == kWallStartMs);
  BOOST_REQUIRE_EQUAL(replies[0].holdings.size(), 1u);
  const Holding& holding = replies[0].holdings[0];
  BOOST_TEST(holding.shard == kShard);
  BOOST_TEST(holding.key.id == "a17");
  BOOST_TEST(holding.digest == kDigest);
  BOOST_TEST(holding.task_count == 8u);
  BOOST_TEST(holding.submitted_ms == submitted_ms);
  BOOST_TEST((holding.indexes == std::vector<uint32_t>{0, 4}));
}

BOOST_AUTO_TEST_CASE(Fence_OtherShard_ListsNothing) {
  Start("entry-a", "a17", {0});
  Deliver("entry-b", FenceShards{{{kShard + 1, 1}}});
  BOOST_TEST(MessagesTo<FenceReply>("entry-b")[0].holdings.empty());
}

BOOST_AUTO_TEST_CASE(Ledger_UntilHorizonAndSkew_IsKept) {
  Start("entry-a", "a17", {0});
  End("a17", 0);
  AdvanceAndTick(absl::Milliseconds(kHorizonMs + 2 * kWallSkewMs));
  BOOST_TEST(agent().Report().ledger_entries == 1u);
  AdvanceAndTick(absl::Milliseconds(1));
  BOOST_TEST(agent().Report().ledger_entries == 0u);
}

BOOST_AUTO_TEST_CASE(Ledger_EvictedTask_IsNeverStartedAgain) {
  const StartTasks start = StartOf("entry-a", "a17", {0});
  Deliver("entry-a", start);
  End("a17", 0);
  AdvanceAndTick(absl::Milliseconds(kHorizonMs + 2 * kWallSkewMs + 1));
  Link("entry-a");
  StartTasks again = start;
  again.permission = PermissionOf("entry-a");
  Deliver("entry-a", again);
  BOOST_TEST(started().empty());
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kLost);
}

BOOST_AUTO_TEST_CASE(Ledger_EvictedWhileRunning_KeepsSlotUntilItEnds) {
  Start("entry-a", "a17", {0});
  AdvanceAndTick(absl::Milliseconds(kHorizonMs + 2 * kWallSkewMs + 1));
  BOOST_TEST(agent().Report().running == 1u);
  End("a17", 0);
  BOOST_TEST(agent().Report().running == 0u);
  BOOST_TEST(Done<Send>().empty());
}

BOOST_AUTO_TEST_CASE(Ledger_KeyReusedAfterEviction_OldEndIsNotTheNewOnes) {
  Start("entry-a", "a17", {0});
  const LeaseId old_lease = started()[0].lease;
  AdvanceAndTick(absl::Milliseconds(kHorizonMs + 2 * kWallSkewMs + 1));
  Link("entry-a");
  StartTasks other = StartOf("entry-a", "a17", {0});
  other.digest = kDigest + 1;
  Deliver("entry-a", other);
  BOOST_TEST(started().size() == 1u);
  Happens(WorkerTaskEnded{old_lease, TaskStatus::kFinished, "old", 7});
  BOOST_TEST(!WasToldAnything("entry-a"));
  End("a17", 0, "new");
  BOOST_TEST(ReportTo("entry-a").payload == "new");
}

BOOST_AUTO_TEST_CASE(Output_PastDeadlineAndSkew_IsExpired) {
  const StartTasks start = StartOf("entry-a", "a17", {0});
  Deliver("entry-a", start);
  End("a17", 0);
  AdvanceAndTick(absl::Milliseconds(10'000 + kWallSkewMs));
  Deliver("entry-a", start);
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kFinished);
  AdvanceAndTick(absl::Milliseconds(1));
  Deliver("entry-a", start);
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kResultExpired);
}

BOOST_AUTO_TEST_CASE(Worker_Lost_EveryRunningTaskIsLostForGood) {
  const StartTasks start = StartOf("entry-a", "a17", {0, 1});
  Deliver("entry-a", start);
  Happens(WorkerLost{});
  BOOST_TEST(ReportsTo("entry-a").size() == 2u);
  BOOST_TEST(ReportsTo("entry-a")[1].status == TaskStatus::kLost);
  BOOST_TEST(StatusTo("entry-a").free_slots == 0u);  // nobody to run a task
  Deliver("entry-a", start);
  BOOST_TEST(started().empty());
  BOOST_TEST(ReportsTo("entry-a")[0].status == TaskStatus::kLost);
}

BOOST_AUTO_TEST_CASE(Worker_LostAndBack_IsNotReadyBetweenAndTellsEveryEntry) {
  Happens(WorkerLost{});
  BOOST_TEST(!agent().Report().ready);
  BOOST_TEST(StatusTo("entry-a").free_slots == 0u);
  BOOST_TEST(StatusTo("entry-b").free_slots == 0u);
  Start("entry-a", "a17", {0});
  BOOST_TEST(started().empty());
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kStalePermission);
  Happens(WorkerTasksListed{});
  BOOST_TEST(agent().Report().ready);
  BOOST_TEST(StatusTo("entry-a").free_slots == 2u);
  BOOST_TEST(StatusTo("entry-b").free_slots == 2u);
}

BOOST_AUTO_TEST_CASE(Worker_LostAndBack_NotesEachChangeOnce) {
  using Events = std::vector<std::string>;
  const auto noted = [this] {
    Events events;
    for (const auto& note : Done<NoteStateChange>()) {
      events.push_back(note.what);
    }
    return events;
  };
  Happens(WorkerLost{});
  BOOST_TEST((noted() == Events{"worker lost"}));
  Happens(WorkerLost{});
  BOOST_TEST(noted().empty());
  Happens(WorkerTasksListed{});
  BOOST_TEST((noted() == Events{"worker back", "agent is ready"}));
  Happens(WorkerTasksListed{});
  BOOST_TEST(noted().empty());
}

BOOST_AUTO_TEST_CASE(Worker_EndAfterLost_IsIgnored) {
  Start("entry-a", "a17", {0});
  Happens(WorkerLost{});
  End("a17", 0);
  BOOST_TEST(Done<Send>().empty());
}

BOOST_AUTO_TEST_CASE(Worker_RefusesStart_IsForgottenAndMayStartAgain) {
  Start("entry-a", "a17", {0});
  End("a17", 0, "", TaskStatus::kRefusedByWorker);
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kRefusedByWorker);
  BOOST_TEST(StatusTo("entry-a").free_slots == 2u);
  BOOST_TEST(agent().Report().ledger_entries == 0u);
  Start("entry-a", "a17", {0});
  BOOST_TEST(started().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Worker_TaskFails_ErrorIsReported) {
  Start("entry-a", "a17", {0});
  End("a17", 0, "no such bearing", TaskStatus::kFailed);
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kFailed);
  BOOST_TEST(ReportTo("entry-a").payload == "no such bearing");
}

BOOST_AUTO_TEST_SUITE_END()

struct SmallMemoryFixture : ReadyAgentFixture {
  SmallMemoryFixture() : ReadyAgentFixture(SmallOptions()) {}

  static AgentOptions SmallOptions() {
    AgentOptions options = Options();
    options.result_bytes_limit = 10;
    return options;
  }
};

BOOST_FIXTURE_TEST_CASE(Output_BeyondByteLimit_OldestIsExpired,
                        SmallMemoryFixture) {
  Start("entry-a", "a17", {0, 1});
  End("a17", 0, "123456");
  End("a17", 1, "12345");
  Deliver("entry-a", AttachOf("entry-a", "a17", {0, 1}));
  BOOST_REQUIRE_EQUAL(ReportsTo("entry-a").size(), 2u);
  BOOST_TEST(ReportsTo("entry-a")[0].status == TaskStatus::kResultExpired);
  BOOST_TEST(ReportsTo("entry-a")[1].payload == "12345");
}

BOOST_FIXTURE_TEST_CASE(Output_AloneBeyondByteLimit_IsStillReportedOnce,
                        SmallMemoryFixture) {
  Start("entry-a", "a17", {0});
  End("a17", 0, "12345678901");
  BOOST_TEST(ReportTo("entry-a").payload == "12345678901");
  Deliver("entry-a", AttachOf("entry-a", "a17", {0}));
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kResultExpired);
}

// The worker still runs task 2 of "old", which a former process started.
struct RestartedAgentFixture : NewAgentFixture {
  RestartedAgentFixture() {
    Happens(WorkerTasksListed{{{"8-1", {"desk", "old"}, 2}}});
    AdvanceAndTick(kWaitOfNewAgent);
    Link("entry-a");
  }
};

BOOST_FIXTURE_TEST_SUITE(RestartedAgent, RestartedAgentFixture)

BOOST_AUTO_TEST_CASE(FormerTask_Running_UsesASlotUntilItEnds) {
  BOOST_TEST(StatusTo("entry-a").free_slots == 1u);
  Happens(WorkerTaskEnded{"8-1", TaskStatus::kFinished, "ok", 7});
  BOOST_TEST(agent().Report().running == 0u);
  BOOST_TEST(Done<Send>().empty());
}

BOOST_AUTO_TEST_CASE(FormerTask_Fence_IsListedWithoutDigestForEachShard) {
  Deliver("entry-a", FenceShards{{{kShard, kEpoch}, {7, 1}}});
  const auto holdings = MessagesTo<FenceReply>("entry-a")[0].holdings;
  BOOST_REQUIRE_EQUAL(holdings.size(), 2u);
  BOOST_TEST(holdings[0].shard == kShard);
  BOOST_TEST(holdings[1].shard == 7u);
  BOOST_TEST(holdings[0].digest == 0u);
  BOOST_TEST((holdings[0].indexes == std::vector<uint32_t>{2}));
}

BOOST_AUTO_TEST_CASE(FormerTask_StartedAgain_IsLostAndNotStarted) {
  Start("entry-a", "old", {2});
  BOOST_TEST(started().empty());
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kLost);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
