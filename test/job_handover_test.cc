// What the jobs' side tells of a shard that is handed over, and what a new
// owner does with the jobs that it was told of.
#include <boost/test/unit_test.hpp>

#include "job_fixture.h"

namespace egretswitch::internal {
namespace {

struct HandoverFixture : JobFixture {
  HandoverFixture() {
    AddAgent("agent-1", 4);
    AddAgent("agent-2", 0);
  }

  std::vector<ReleasedJob> Started(const Submission& job) const {
    return jobs.StartedJobs(ShardOf(job.key, kDefaultShardCount));
  }

  // The owner before has sent task 0 to agent-1, incarnation 1.
  void ToldSent(const Submission& job) {
    RecoveredJob& told = authority.recovered[job.key];
    told.digest = DigestOf(job);
    told.agent_by_task[0] = "agent-1";
    told.sent_to[0] = 1;
  }
};

BOOST_FIXTURE_TEST_SUITE(JobHandoverTest, HandoverFixture)

BOOST_AUTO_TEST_CASE(StartedJobs_OpenJob_NamesSentTasksOnly) {
  const Submission job = MakeJob("a17", 6);
  Submit(7, job);
  const auto started = Started(job);
  BOOST_REQUIRE_EQUAL(started.size(), 1u);
  BOOST_TEST(started[0].digest == DigestOf(job));
  BOOST_TEST(started[0].task_count == 6u);
  BOOST_TEST(started[0].submitted_ms == job.submitted_ms);
  BOOST_REQUIRE_EQUAL(started[0].started.size(), 1u);
  BOOST_TEST(started[0].started[0].agent == "agent-1");
  BOOST_TEST(started[0].started[0].incarnation == 1u);
  BOOST_TEST(started[0].started[0].indexes.size() == 4u);
}

BOOST_AUTO_TEST_CASE(StartedJobs_WaitingJob_IsNotNamed) {
  TellStatus("agent-1", 0);
  const Submission job = MakeJob("a17");
  Submit(7, job);
  BOOST_TEST(Started(job).empty());
}

BOOST_AUTO_TEST_CASE(StartedJobs_BouncedTask_IsNotNamed) {
  const Submission job = MakeJob("a17");
  Submit(7, job);
  Report("agent-1", "a17", {0}, TaskStatus::kFull);
  BOOST_TEST(Started(job).empty());
}

BOOST_AUTO_TEST_CASE(StartedJobs_EndedJob_IsNamedWithItsTasks) {
  const Submission job = MakeJob("a17", 2);
  Submit(7, job);
  Finish("agent-1", "a17", {0, 1});
  const auto started = Started(job);
  BOOST_REQUIRE_EQUAL(started.size(), 1u);
  BOOST_TEST(started[0].task_count == 2u);
  BOOST_TEST(started[0].submitted_ms == job.submitted_ms);
  BOOST_TEST(started[0].started[0].indexes.size() == 2u);
}

BOOST_AUTO_TEST_CASE(StartedJobs_CancelledJob_IsNamedWithItsTasks) {
  const Submission job = MakeJob("a17", 2);
  Submit(7, job);
  Cancel("a17");
  BOOST_REQUIRE_EQUAL(Started(job).size(), 1u);
  BOOST_TEST(Started(job)[0].started[0].indexes.size() == 2u);
}

BOOST_AUTO_TEST_CASE(StartedJobs_OfAnotherShard_AreNotNamed) {
  const Submission job = MakeJob("a17");
  Submit(7, job);
  const ShardId shard = ShardOf(job.key, kDefaultShardCount);
  BOOST_TEST(jobs.StartedJobs((shard + 1) % kDefaultShardCount).empty());
}

BOOST_AUTO_TEST_CASE(ToldJob_EndedAtTheOwnerBefore_IsAttachedAndAnswered) {
  const Submission job = MakeJob("a17");
  ToldSent(job);
  Submit(7, job);
  BOOST_TEST(StartsSent() == 0u);
  BOOST_REQUIRE_EQUAL(Sent<StartTasks>().size(), 1u);
  BOOST_TEST(Sent<StartTasks>()[0].message.attach_only);
  Finish("agent-1", "a17", {0});
  BOOST_TEST(OnlyAnswer().outputs[0].payload == "a17/0");
}

// The start was on its way; the fence, which came before the question, keeps
// it out for good.
BOOST_AUTO_TEST_CASE(ToldSent_NotHeldBySameProcess_GoesElsewhere) {
  const Submission job = MakeJob("a17");
  ToldSent(job);
  Submit(7, job);
  Report("agent-1", "a17", {0}, TaskStatus::kNotHeld, 4);
  BOOST_TEST(Answers().empty());
  BOOST_TEST(StartsSent() == 1u);
}

BOOST_AUTO_TEST_CASE(ToldSent_AgentRestarted_FailsMayHaveRun) {
  const Submission job = MakeJob("a17");
  ToldSent(job);
  CutAgent("agent-1", 1);
  LinkAgent("agent-1", 4, 2);
  Submit(7, job);
  Report("agent-1", "a17", {0}, TaskStatus::kNotHeld, 4);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kWorkerLost));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
  BOOST_TEST(StartsSent() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
