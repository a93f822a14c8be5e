// What a new owner does with a submission after a takeover: the design's table.
#include <boost/test/unit_test.hpp>

#include "job_fixture.h"

namespace egretswitch::internal {
namespace {

struct TakeoverFixture : JobFixture {
  TakeoverFixture() {
    AddAgent("agent-1", 4);
    AddAgent("agent-2", 4);
  }

  // The takeover found these tasks of the job at agent-1.
  void Recover(const Submission& job, std::vector<uint32_t> indexes) {
    RecoveredJob& found = authority.recovered[job.key];
    found.digest = DigestOf(job);
    found.task_count = static_cast<uint32_t>(job.tasks.size());
    found.submitted_ms = job.submitted_ms;
    for (const uint32_t index : indexes) {
      found.agent_by_task[index] = "agent-1";
    }
  }

  // Tasks that the last event asked agent-1 about.
  size_t Attached() const {
    size_t attached = 0;
    for (const auto& sent : Sent<StartTasks>()) {
      if (sent.message.attach_only) {
        BOOST_TEST(sent.peer == "agent-1");
        attached += sent.message.tasks.size();
      }
    }
    return attached;
  }
};

BOOST_FIXTURE_TEST_SUITE(JobTakeoverTest, TakeoverFixture)

BOOST_AUTO_TEST_CASE(Takeover_InDoubtAndNothingHeld_FailsUnknownPast) {
  const Submission job = MakeJob("a17");
  authority.doubt_ms = job.submitted_ms - kWallSkewMs;
  Submit(7, job);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kUnknownPast));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
  BOOST_TEST(StartsSent() == 0u);
}

BOOST_AUTO_TEST_CASE(Takeover_SubmittedAfterTheDoubt_Starts) {
  const Submission job = MakeJob("a17");
  authority.doubt_ms = job.submitted_ms - kWallSkewMs - 1;
  Submit(7, job);
  BOOST_TEST(StartsSent() == 1u);
}

BOOST_AUTO_TEST_CASE(Takeover_HeldTasksNotInDoubt_AttachesAndStartsTheRest) {
  const Submission job = MakeJob("a17", 4);
  Recover(job, {0, 2});
  Submit(7, job);
  BOOST_TEST(Attached() == 2u);
  BOOST_TEST(StartsSent() == 2u);
  for (const auto& sent : Sent<StartTasks>()) {
    for (const TaskStart& task : sent.message.tasks) {
      BOOST_TEST(sent.message.attach_only == (task.index % 2 == 0));
    }
  }
}

BOOST_AUTO_TEST_CASE(Takeover_AllTasksHeldInDoubt_AttachesAndAnswersWhole) {
  const Submission job = MakeJob("a17", 2);
  authority.doubt_ms = now.wall_ms;
  Recover(job, {0, 1});
  Submit(7, job);
  BOOST_TEST(Attached() == 2u);
  BOOST_TEST(StartsSent() == 0u);
  Finish("agent-1", "a17", {0, 1});
  BOOST_TEST(OnlyAnswer().outputs.size() == 2u);
}

BOOST_AUTO_TEST_CASE(Takeover_PartHeldInDoubt_FailsAndCancelsTheHeldPart) {
  const Submission job = MakeJob("a17", 2);
  authority.doubt_ms = now.wall_ms;
  Recover(job, {0});
  Submit(7, job);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kUnknownPast));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
  BOOST_REQUIRE_EQUAL(Sent<CancelTasks>().size(), 1u);
  BOOST_TEST(Sent<CancelTasks>()[0].peer == "agent-1");
  BOOST_TEST(StartsSent() == 0u);
  Submit(8, job);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kUnknownPast));
}

BOOST_AUTO_TEST_CASE(Takeover_HeldWithOtherContent_IsAConflict) {
  const Submission job = MakeJob("a17");
  Recover(job, {0});
  Submission other = job;
  other.tasks[0].payload = "other";
  Submit(7, other);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kIdConflict));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Takeover_HeldTaskGoneWithItsAgent_FailsMayHaveRun) {
  const Submission job = MakeJob("a17");
  Recover(job, {0});
  Submit(7, job);
  Report("agent-1", "a17", {0}, TaskStatus::kNotHeld, 4);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kWorkerLost));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
  BOOST_TEST(StartsSent() == 0u);
}

BOOST_AUTO_TEST_CASE(Takeover_HeldJobWithFullQueue_IsTakenAllTheSame) {
  AddRow({.kind = "pricing", .max_queued = 1});
  const Submission job = MakeJob("a17", 4);
  Recover(job, {0});
  Submit(7, job);
  BOOST_TEST(Answers().empty());
  BOOST_TEST(StartsSent() == 3u);
}

BOOST_AUTO_TEST_CASE(Takeover_HeldJobPastItsDeadline_RefusedMayHaveRun) {
  Submission job = MakeJob("a17");
  job.deadline_ms = now.wall_ms + 100;
  Recover(job, {0});
  now.wall_ms += 100;
  Event([&] { jobs.OnForward("entry-b", {job}); });
  const auto answer = Sent<ForwardAnswer>()[0].message;
  const auto& refusal = std::get<JobRefusal>(answer.outcome);
  BOOST_TEST((refusal.reason == RefusalReason::kDeadlinePassed));
  BOOST_TEST((refusal.verdict == RunVerdict::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Takeover_HeldTaskAtSilentAgent_AttachedWhenItLinks) {
  CutAgent("agent-1", 1);
  const Submission job = MakeJob("a17");
  Recover(job, {0});
  Submit(7, job);
  BOOST_TEST(Sent<StartTasks>().empty());
  LinkAgent("agent-1", 4, 1);
  BOOST_TEST(Attached() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
