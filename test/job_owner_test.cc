// The owner: one start of each task, joined repeats, whole answers or one
// refusal with a truthful verdict.
#include <boost/test/unit_test.hpp>

#include "job_fixture.h"

namespace egretswitch::internal {
namespace {

struct OwnerFixture : JobFixture {
  OwnerFixture() { AddAgent("agent-1", 4); }

  void ForwardFrom(const std::string& entry, const Submission& job) {
    Event([&] { jobs.OnForward(entry, {job}); });
  }
};

BOOST_FIXTURE_TEST_SUITE(JobOwnerTest, OwnerFixture)

BOOST_AUTO_TEST_CASE(Owner_NewJob_StartsItsTasksInOneMessage) {
  Submit(7, MakeJob("a17", 3));
  BOOST_REQUIRE_EQUAL(Sent<StartTasks>().size(), 1u);
  const StartTasks start = Sent<StartTasks>()[0].message;
  BOOST_TEST(start.tasks.size() == 3u);
  BOOST_TEST(start.epoch == 5u);
  BOOST_TEST(start.agent_incarnation == 1u);
  BOOST_TEST(start.task_count == 3u);
}

BOOST_AUTO_TEST_CASE(Owner_LastTaskFinished_AnswersAllOutputsInOrder) {
  Submit(7, MakeJob("a17", 3));
  Finish("agent-1", "a17", {2, 0});
  BOOST_TEST(Answers().empty());  // never a part
  Finish("agent-1", "a17", {1});
  BOOST_REQUIRE_EQUAL(OnlyAnswer().outputs.size(), 3u);
  BOOST_TEST(OnlyAnswer().outputs[0].payload == "a17/0");
  BOOST_TEST(OnlyAnswer().outputs[2].payload == "a17/2");
  BOOST_TEST(jobs.Idle());
}

BOOST_AUTO_TEST_CASE(Owner_ReportRepeated_CountsOnce) {
  Submit(7, MakeJob("a17", 2));
  Finish("agent-1", "a17", {0});
  Finish("agent-1", "a17", {0});
  BOOST_TEST(Answers().empty());
}

BOOST_AUTO_TEST_CASE(Owner_ReportFromAnotherAgent_IsIgnored) {
  Submit(7, MakeJob("a17", 1));
  AddAgent("agent-2", 4);
  Finish("agent-2", "a17", {0});
  BOOST_TEST(Answers().empty());
}

BOOST_AUTO_TEST_CASE(Owner_JobRepeatedWhileRunning_JoinsWithoutAStart) {
  const Submission job = MakeJob("a17", 2);
  Submit(7, job);
  ForwardFrom("entry-b", job);
  BOOST_TEST(StartsSent() == 0u);
  BOOST_TEST(context.counters().Get(Counter::kJobsJoined) == 1u);
  Finish("agent-1", "a17", {0, 1});
  BOOST_TEST(OnlyAnswer().outputs.size() == 2u);
  BOOST_REQUIRE_EQUAL(Sent<ForwardAnswer>().size(), 1u);
  BOOST_TEST(Sent<ForwardAnswer>()[0].peer == "entry-b");
}

BOOST_AUTO_TEST_CASE(Owner_JobRepeatedAfterItsEnd_GetsTheSameAnswer) {
  const Submission job = MakeJob("a17");
  Submit(7, job);
  Finish("agent-1", "a17", {0}, 4);
  Submit(8, job);
  BOOST_TEST(StartsSent() == 0u);
  BOOST_TEST(OnlyAnswer().outputs[0].payload == "a17/0");
}

BOOST_AUTO_TEST_CASE(Owner_JobRepeatedAfterTheDeadline_IsNotRunAgain) {
  const Submission job = MakeJob("a17");
  Submit(7, job);
  Finish("agent-1", "a17", {0}, 4);
  Pass(absl::Milliseconds(30'000 + kWallSkewMs));
  ForwardFrom("entry-b", job);
  BOOST_TEST(StartsSent() == 0u);
  const auto answer = Sent<ForwardAnswer>()[0].message;
  const auto& refusal = std::get<JobRefusal>(answer.outcome);
  BOOST_TEST((refusal.reason == RefusalReason::kAnswerExpired));
  BOOST_TEST((refusal.verdict == RunVerdict::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Owner_JobBeyondHorizon_IsForgottenAndRefusedAsTooOld) {
  const Submission job = MakeJob("a17");
  Submit(7, job);
  Finish("agent-1", "a17", {0}, 4);
  Pass(absl::Milliseconds(kHorizonMs + 2 * kWallSkewMs));
  ForwardFrom("entry-b", job);
  const auto answer = Sent<ForwardAnswer>()[0].message;
  const auto& refusal = std::get<JobRefusal>(answer.outcome);
  BOOST_TEST((refusal.reason == RefusalReason::kTooOld));
  BOOST_TEST(StartsSent() == 0u);
}

BOOST_AUTO_TEST_CASE(Owner_SameIdOtherContent_IsAConflictNotRun) {
  Submission job = MakeJob("a17");
  Submit(7, job);
  job.tasks[0].payload = "other";
  Submit(8, job);
  BOOST_TEST(Answers()[0].token == 8u);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kIdConflict));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kNotRun));
  Finish("agent-1", "a17", {0}, 4);
  Submit(9, job);  // also after the end
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kIdConflict));
  BOOST_TEST(StartsSent() == 0u);
}

BOOST_AUTO_TEST_CASE(Owner_TaskFails_JobFailsAtOnceAndTheRestIsCancelled) {
  AddAgent("agent-2", 2);
  Submit(7, MakeJob("a17", 8));
  BOOST_TEST(StartsSent() == 6u);
  Report("agent-1", "a17", {0}, TaskStatus::kFailed, 1);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kTaskFailed));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
  BOOST_TEST(Sent<CancelTasks>().size() == 2u);  // one for each agent
  BOOST_TEST(StartsSent() == 0u);
  Finish("agent-1", "a17", {1, 2, 3});  // late: nobody is told
  BOOST_TEST(Answers().empty());
  BOOST_TEST(jobs.Idle());
}

BOOST_AUTO_TEST_CASE(Owner_FailedJobRepeated_GetsTheSameRefusalWithoutAStart) {
  const Submission job = MakeJob("a17");
  Submit(7, job);
  Report("agent-1", "a17", {0}, TaskStatus::kFailed, 4);
  Submit(8, job);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kTaskFailed));
  BOOST_TEST(StartsSent() == 0u);
}

BOOST_AUTO_TEST_CASE(Owner_TaskLost_JobFailsMayHaveRunAndIsNotSentElsewhere) {
  AddAgent("agent-2", 4);
  Submit(7, MakeJob("a17", 1));
  const std::string agent = Sent<StartTasks>()[0].peer;
  Report(agent, "a17", {0}, TaskStatus::kLost, 4);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kWorkerLost));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
  BOOST_TEST(StartsSent() == 0u);
}

BOOST_AUTO_TEST_CASE(Owner_OutputNoLongerHeld_JobFailsInsteadOfAnEmptyOutput) {
  Submit(7, MakeJob("a17", 2));
  Finish("agent-1", "a17", {0});
  Report("agent-1", "a17", {1}, TaskStatus::kResultExpired, 4);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kAnswerExpired));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
  BOOST_TEST(StartsSent() == 0u);
}

BOOST_AUTO_TEST_CASE(Owner_AgentFull_TaskGoesElsewhereAndTheAgentIsLeftAlone) {
  Submit(7, MakeJob("a17", 1));
  Report("agent-1", "a17", {0}, TaskStatus::kFull, 3);
  BOOST_TEST(StartsSent() == 0u);  // full until it speaks again
  BOOST_TEST(context.counters().Get(Counter::kRetryFull) == 1u);
  AddAgent("agent-2", 4);
  BOOST_REQUIRE_EQUAL(Sent<StartTasks>().size(), 1u);
  BOOST_TEST(Sent<StartTasks>()[0].peer == "agent-2");
}

BOOST_AUTO_TEST_CASE(Owner_StalePermission_SendsAgainWithTheNewOne) {
  Submit(7, MakeJob("a17", 1));
  const uint64_t old = Sent<StartTasks>()[0].message.permission;
  Report("agent-1", "a17", {0}, TaskStatus::kStalePermission, 4);
  BOOST_REQUIRE_EQUAL(Sent<StartTasks>().size(), 1u);
  BOOST_TEST(Sent<StartTasks>()[0].message.permission > old);
}

BOOST_AUTO_TEST_CASE(Owner_BouncedJobAtItsDeadline_RefusedNotRun) {
  Submission job = MakeJob("a17");
  job.deadline_ms = now.wall_ms + 1000;
  Submit(7, job);
  Report("agent-1", "a17", {0}, TaskStatus::kFull);
  Pass(absl::Milliseconds(1000));
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kDeadlinePassed));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kNotRun));
}

BOOST_AUTO_TEST_CASE(Owner_DeadlineWhileRunning_RefusedMayHaveRunAndCancelled) {
  Submission job = MakeJob("a17");
  job.deadline_ms = now.wall_ms + 1000;
  Submit(7, job);
  Pass(absl::Milliseconds(1000));
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kDeadlinePassed));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
  BOOST_TEST(Sent<CancelTasks>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Owner_RefusedNotRun_MaySendAgainAndRun) {
  AddRow({.kind = "pricing", .max_queued = 1});
  const Submission job = MakeJob("a17", 2);
  Submit(7, job);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kQueueFull));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kNotRun));
  AddRow({.kind = "pricing"});
  BOOST_TEST(StartsSent() == 0u);
  Submit(8, job);
  BOOST_TEST(StartsSent() == 2u);
}

BOOST_AUTO_TEST_CASE(Owner_CancelWhileRunning_AnswersAndCancelsAtTheAgents) {
  Submit(7, MakeJob("a17", 2));
  Cancel("a17");
  for (const CallerToken token : {7, 99}) {
    BOOST_TEST((RefusalFor(token).reason == RefusalReason::kCancelled));
    BOOST_TEST((RefusalFor(token).verdict == RunVerdict::kMayHaveRun));
  }
  BOOST_TEST(Sent<CancelTasks>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Owner_CancelWhileWaiting_NeverStarts) {
  Submit(7, MakeJob("a17", 4));
  const Submission waiting = MakeJob("a18", 1);
  Submit(8, waiting);
  BOOST_TEST(StartsSent() == 0u);
  Cancel("a18");
  BOOST_TEST((RefusalFor(8).verdict == RunVerdict::kNotRun));
  Finish("agent-1", "a17", {0, 1, 2, 3}, 4);
  BOOST_TEST(StartsSent() == 0u);
  Submit(9, waiting);  // a cancelled job stays cancelled
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kCancelled));
}

BOOST_AUTO_TEST_CASE(Owner_CancelAfterTheEnd_TellsTheAnswer) {
  Submit(7, MakeJob("a17"));
  Finish("agent-1", "a17", {0}, 4);
  Cancel("a17");
  BOOST_TEST(OnlyAnswer().outputs[0].payload == "a17/0");
}

BOOST_AUTO_TEST_CASE(Owner_CancelOfUnknownJob_ClaimsNothing) {
  Cancel("a17");
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kUnknownPast));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Owner_CancelFromAnotherFront_ReachesEveryWaitingFront) {
  const Submission job = MakeJob("a17");
  Submit(7, job);
  ForwardFrom("entry-b", job);
  Event([&] { jobs.OnCancelJob("entry-c", {job.key}); });
  BOOST_TEST(Answers().size() == 1u);
  BOOST_TEST(Sent<ForwardAnswer>().size() == 2u);
}

BOOST_AUTO_TEST_CASE(Owner_LinkDownAndBack_AsksWhatIsHeld) {
  Submit(7, MakeJob("a17", 2));
  CutAgent("agent-1", 1);
  BOOST_TEST(Answers().empty());
  LinkAgent("agent-1", 4, 1);
  BOOST_REQUIRE_EQUAL(Sent<StartTasks>().size(), 1u);
  BOOST_TEST(Sent<StartTasks>()[0].message.attach_only);
  BOOST_TEST(Sent<StartTasks>()[0].message.tasks.size() == 2u);
  Finish("agent-1", "a17", {0, 1});
  BOOST_TEST(OnlyAnswer().outputs.size() == 2u);
}

BOOST_AUTO_TEST_CASE(Owner_StartNeverArrived_IsSentAgain) {
  Submit(7, MakeJob("a17", 1));
  CutAgent("agent-1", 1);
  LinkAgent("agent-1", 4, 1);
  Report("agent-1", "a17", {0}, TaskStatus::kNotHeld, 4);
  BOOST_TEST(StartsSent() == 1u);
  BOOST_TEST(context.counters().Get(Counter::kRetryLinkDown) == 1u);
}

BOOST_AUTO_TEST_CASE(Owner_AgentRestartedWithoutTheTask_JobFailsMayHaveRun) {
  Submit(7, MakeJob("a17", 1));
  CutAgent("agent-1", 1);
  LinkAgent("agent-1", 4, 2);
  BOOST_TEST(Sent<StartTasks>()[0].message.attach_only);
  Report("agent-1", "a17", {0}, TaskStatus::kNotHeld, 4);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kWorkerLost));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
  BOOST_TEST(StartsSent() == 0u);
}

BOOST_AUTO_TEST_CASE(Owner_AgentEnded_JobFailsAtOnceMayHaveRun) {
  Submit(7, MakeJob("a17", 1));
  CutAgent("agent-1", 1);
  Event([&] { jobs.OnAgentRefused("agent-1"); });
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kWorkerLost));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Owner_FencedByAnAgent_StartsNothingMoreOfTheJob) {
  AddAgent("agent-2", 4);
  Submit(7, MakeJob("a17", 1));
  Report(Sent<StartTasks>()[0].peer, "a17", {0}, TaskStatus::kFenced, 4);
  BOOST_TEST(StartsSent() == 0u);
  Pass(absl::Seconds(30));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Owner_ShardLost_HandsItsJobsOver) {
  const Submission job = MakeJob("a17", 8);
  Submit(7, job);
  ForwardFrom("entry-b", job);
  LinkEntry("entry-c");
  authority.serves = false;
  authority.owner = EntryId{"entry-c", 1};
  const ShardId shard = ShardOf(job.key, kDefaultShardCount);
  Event([&] { jobs.OnShardLost(shard); });
  BOOST_REQUIRE_EQUAL(Sent<ForwardMoved>().size(), 1u);
  BOOST_TEST(Sent<ForwardMoved>()[0].peer == "entry-b");
  BOOST_REQUIRE_EQUAL(Sent<Forward>().size(), 1u);  // our own caller's
  BOOST_TEST(Sent<Forward>()[0].peer == "entry-c");
  BOOST_TEST(Sent<CancelTasks>().empty());
  BOOST_TEST(Answers().empty());
  Finish("agent-1", "a17", {0, 1, 2, 3}, 4);
  BOOST_TEST(StartsSent() == 0u);
}

BOOST_AUTO_TEST_CASE(Owner_ForwardBeforeServing_IsTakenWhenTheShardServes) {
  authority.serves = false;
  const Submission job = MakeJob("a17");
  ForwardFrom("entry-b", job);
  BOOST_TEST(actions.empty());
  authority.serves = true;
  const ShardId shard = ShardOf(job.key, kDefaultShardCount);
  Event([&] { jobs.OnShardServing(shard); });
  BOOST_TEST(StartsSent() == 1u);
}

BOOST_AUTO_TEST_CASE(Owner_ForwardOfAnothersShard_IsMoved) {
  authority.serves = false;
  authority.owner = EntryId{"entry-c", 1};
  ForwardFrom("entry-b", MakeJob("a17"));
  BOOST_TEST(Sent<ForwardMoved>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Owner_Draining_RefusesNewJobsByWhatItKnows) {
  const Submission job = MakeJob("a17");
  ForwardFrom("entry-b", job);
  BOOST_TEST(StartsSent() == 1u);
  Event([&] { jobs.BeginDrain(); });
  Submit(7, job);  // runs already, for entry-b
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kDraining));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
  Submit(8, MakeJob("a18"));
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kDraining));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kNotRun));
}

// Its successor, which it doesn't know of, may have had a repeated sending.
BOOST_AUTO_TEST_CASE(Owner_WithoutAuthority_RefusesNewJobsMayHaveRun) {
  authority.lease_until = now.mono;
  const Submission job = MakeJob("a17");
  Submit(7, job);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kOwnerIsolated));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
  authority.lease_until = absl::InfiniteDuration();
  Submit(8, job);  // it never ran here, so it may run now
  BOOST_TEST(StartsSent() == 1u);
}

BOOST_AUTO_TEST_CASE(Owner_EvidenceOlderThanSuspicion_RefusesMayHaveRun) {
  AddRow({.kind = "pricing", .max_queued = 1});
  authority.lease_until = now.mono + kOwnerLease - kSuspectAfter;
  Submit(7, MakeJob("a17", 2));
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kQueueFull));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Owner_AuthorityLapsesWhileWaiting_RefusesWhatDidNotStart) {
  Submit(7, MakeJob("a17", 4));
  Submit(8, MakeJob("a18", 1));
  authority.lease_until = now.mono;
  Pass(absl::Milliseconds(10));
  BOOST_TEST(Answers().empty());
  Pass(kOwnerPatience);
  BOOST_TEST(Answers()[0].token == 8u);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kOwnerIsolated));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
