// The front: checks, passing on to the owner, one truthful answer to each.
#include <boost/test/unit_test.hpp>

#include "job_fixture.h"

namespace egretswitch::internal {
namespace {

// The shard belongs to entry-b, which is linked.
struct ForwardingFixture : JobFixture {
  ForwardingFixture() {
    authority.serves = false;
    authority.owner = EntryId{"entry-b", 1};
    LinkEntry("entry-b");
  }

  void AnswerFrom(const std::string& entry,
                  const Submission& job,
                  JobOutcome outcome) {
    Event([&] {
      jobs.OnForwardAnswer(entry, {job.key, DigestOf(job), outcome});
    });
  }

  void TellOwnerChanged() {
    Event([&] {
      for (ShardId shard = 0; shard < kDefaultShardCount; ++shard) {
        jobs.OnOwnerChanged(shard);
      }
    });
  }

  void MoveTo(const std::string& entry) {
    authority.owner = EntryId{entry, 1};
    TellOwnerChanged();
  }

  // The owner has ended and no entry has the log.
  void LoseOwnerAndLog() {
    authority.owner.reset();
    authority.takeovers_possible = false;
    TellOwnerChanged();
  }
};

const JobAnswer kWhole{{TaskOutput{"sum 12"}}};
const JobRefusal kRefusedNotRun{RefusalReason::kQueueFull, RunVerdict::kNotRun,
                                70, ""};

BOOST_FIXTURE_TEST_SUITE(JobFrontTest, ForwardingFixture)

BOOST_AUTO_TEST_CASE(Front_UnknownKind_RefusesNotRun) {
  Submission job = MakeJob("a17");
  job.kind = "nobody";
  Submit(7, job);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kUnknownKind));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kNotRun));
}

BOOST_AUTO_TEST_CASE(Front_UnknownKindByAnOldTable_IsLeftToTheOwner) {
  authority.lease_until = now.mono;
  Submission job = MakeJob("a17");
  job.kind = "newer";
  Submit(7, job);
  BOOST_TEST(Answers().empty());
  BOOST_TEST(Sent<Forward>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Front_SubmittedAheadOfClock_RefusesNotRun) {
  Submission job = MakeJob("a17");
  job.submitted_ms += kWallSkewMs + 1;
  Submit(7, job);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kClockOutOfRange));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kNotRun));
}

BOOST_AUTO_TEST_CASE(Front_SubmittedBeyondHorizon_RefusesMayHaveRun) {
  Submission job = MakeJob("a17");
  job.submitted_ms -= kHorizonMs + 1;
  job.deadline_ms = job.submitted_ms + kHorizonMs;
  Submit(7, job);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kTooOld));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Front_DeadlinePassedOnArrival_RefusesMayHaveRun) {
  Submission job = MakeJob("a17");
  job.submitted_ms -= 100;
  job.deadline_ms = now.wall_ms;
  Submit(7, job);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kDeadlinePassed));
  // An earlier sending may have run in time.
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Front_MalformedJob_RefusesInvalid) {
  std::vector<Submission> malformed(6, MakeJob("a17"));
  malformed[0].tasks.clear();
  malformed[1].tasks.resize(kMaxTasksPerJob + 1);
  malformed[2].deadline_ms = malformed[2].submitted_ms + kHorizonMs + 1;
  malformed[3].key.id = "";
  malformed[4].key.team = std::string(kMaxIdBytes + 1, 'x');
  malformed[5].deadline_ms = malformed[5].submitted_ms;
  for (const Submission& job : malformed) {
    Submit(7, job);
    BOOST_TEST((OnlyRefusal().reason == RefusalReason::kInvalidRequest));
    BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kNotRun));
  }
}

BOOST_AUTO_TEST_CASE(Front_OwnerElsewhere_ForwardsOnceAndAnswersWhole) {
  const Submission job = MakeJob("a17");
  Submit(7, job);
  BOOST_REQUIRE_EQUAL(Sent<Forward>().size(), 1u);
  BOOST_TEST(Sent<Forward>()[0].peer == "entry-b");
  AnswerFrom("entry-b", job, kWhole);
  BOOST_TEST(Answers()[0].token == 7u);
  BOOST_TEST(OnlyAnswer().outputs[0].payload == "sum 12");
  AnswerFrom("entry-b", job, kWhole);  // a second one goes to nobody
  BOOST_TEST(Answers().empty());
  BOOST_TEST(jobs.Idle());
}

BOOST_AUTO_TEST_CASE(Front_SameJobFromTwoCallers_AnswersBothAfterOneForward) {
  const Submission job = MakeJob("a17");
  Submit(7, job);
  Submit(8, job);
  BOOST_TEST(Sent<Forward>().empty());
  AnswerFrom("entry-b", job, kWhole);
  BOOST_TEST(Answers().size() == 2u);
}

BOOST_AUTO_TEST_CASE(Front_AnswerWithOtherDigest_IsNotGivenToTheCaller) {
  const Submission job = MakeJob("a17");
  Submission other = job;
  other.tasks[0].payload = "other";
  Submit(7, job);
  AnswerFrom("entry-b", other, kWhole);
  BOOST_TEST(Answers().empty());
  AnswerFrom("entry-b", job, kWhole);
  BOOST_TEST(Answers().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Front_CrossedAnswers_EachCallerGetsItsOwn) {
  const Submission first = MakeJob("a17");
  const Submission second = MakeJob("a18");
  Submit(7, first);
  Submit(8, second);
  AnswerFrom("entry-b", second, JobAnswer{{TaskOutput{"two"}}});
  BOOST_TEST(Answers()[0].token == 8u);
  BOOST_TEST(OnlyAnswer().outputs[0].payload == "two");
  AnswerFrom("entry-b", first, JobAnswer{{TaskOutput{"one"}}});
  BOOST_TEST(Answers()[0].token == 7u);
  BOOST_TEST(OnlyAnswer().outputs[0].payload == "one");
}

BOOST_AUTO_TEST_CASE(Front_OwnerChanges_SendsToTheNewOwner) {
  Submit(7, MakeJob("a17"));
  LinkEntry("entry-c");
  MoveTo("entry-c");
  BOOST_REQUIRE_EQUAL(Sent<Forward>().size(), 1u);
  BOOST_TEST(Sent<Forward>()[0].peer == "entry-c");
}

BOOST_AUTO_TEST_CASE(Front_RefusalFromFormerOwner_IsIgnored) {
  const Submission job = MakeJob("a17");
  Submit(7, job);
  LinkEntry("entry-c");
  MoveTo("entry-c");
  AnswerFrom("entry-b", job, kRefusedNotRun);
  BOOST_TEST(Answers().empty());
  AnswerFrom("entry-b", job, kWhole);  // a whole answer is true all the same
  BOOST_TEST(OnlyAnswer().outputs.size() == 1u);
}

BOOST_AUTO_TEST_CASE(Front_LinkToOwnerLostAndBack_SendsAgain) {
  Submit(7, MakeJob("a17"));
  CutEntry("entry-b");
  BOOST_TEST(Answers().empty());
  LinkEntry("entry-b");
  BOOST_TEST(Sent<Forward>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Front_MovedByTheStandingOwner_AsksAgainAfterAPause) {
  const Submission job = MakeJob("a17");
  Submit(7, job);
  Event([&] { jobs.OnForwardMoved("entry-b", {job.key, DigestOf(job)}); });
  BOOST_TEST(Sent<Forward>().empty());
  Pass(absl::Milliseconds(50));
  BOOST_TEST(Sent<Forward>().empty());
  Pass(absl::Milliseconds(60));
  BOOST_TEST(Sent<Forward>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Front_NoOwnerWhileTakeoversGoOn_WaitsThenRefuses) {
  authority.owner.reset();
  Submit(7, MakeJob("a17"));
  BOOST_TEST(Answers().empty());
  Pass(kOwnerPatience - absl::Milliseconds(10));
  BOOST_TEST(Answers().empty());
  Pass(absl::Milliseconds(10));
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kNoOwner));
  // By now another front may have found an owner for a repeated sending.
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
  BOOST_TEST(OnlyRefusal().retry_after_ms > 0u);
}

BOOST_AUTO_TEST_CASE(Front_OwnerSilentWithoutTakeovers_GivesUpAfterPatience) {
  Submit(7, MakeJob("a17"));
  BOOST_TEST(Sent<Forward>().size() == 1u);
  authority.takeovers_possible = false;
  authority.owner_silent_for = kOwnerPatience - absl::Milliseconds(1);
  Pass(kTickPeriod);
  BOOST_TEST(Answers().empty());
  authority.owner_silent_for = kOwnerPatience;
  Pass(kTickPeriod);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kNoOwner));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
  BOOST_TEST(OnlyRefusal().retry_after_ms > 0u);
  BOOST_TEST(jobs.Idle());
}

BOOST_AUTO_TEST_CASE(Front_OwnerLongSilentWithoutTakeovers_SendsItNothing) {
  authority.takeovers_possible = false;
  authority.owner_silent_for = kOwnerPatience;
  Submit(7, MakeJob("a17"));
  BOOST_TEST(Sent<Forward>().empty());
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kNoOwner));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
  BOOST_TEST(OnlyRefusal().retry_after_ms > 0u);
}

BOOST_AUTO_TEST_CASE(Front_OwnerSilentWhileTakeoversGoOn_WaitsForTheNext) {
  Submit(7, MakeJob("a17"));
  authority.owner_silent_for = kOwnerPatience;
  Pass(kTickPeriod);
  BOOST_TEST(Answers().empty());
  LinkEntry("entry-c");
  MoveTo("entry-c");
  BOOST_TEST(Sent<Forward>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Front_NoOwnerAndNoTakeovers_RefusesAtOnceByItsAge) {
  LoseOwnerAndLog();
  Submission job = MakeJob("a17");
  job.submitted_ms = now.wall_ms + kWallSkewMs;  // the lost owner may have it
  Submit(7, job);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kNoOwner));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
  job.submitted_ms += 1;  // certainly sent after its end
  now.wall_ms += 1;
  Submit(8, job);
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kNotRun));
}

BOOST_AUTO_TEST_CASE(Front_NoOwnerAndOldEvidence_RefusesMayHaveRun) {
  LoseOwnerAndLog();
  authority.lease_until = now.mono + absl::Seconds(2);
  Submission job = MakeJob("a17");
  job.submitted_ms = now.wall_ms + kWallSkewMs + 1;
  now.wall_ms += 1;
  Submit(7, job);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kNoOwner));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Front_OwnerLostAfterForward_RefusesMayHaveRun) {
  Submit(7, MakeJob("a17"));
  authority.owner.reset();
  authority.takeovers_possible = false;
  Event([&] { jobs.OnEntryEnded("entry-b", 1); });
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kNoOwner));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Front_DeadlineOfForwardedJob_AnsweredAtOnce) {
  Submission job = MakeJob("a17");
  job.deadline_ms = now.wall_ms + 200;
  Submit(7, job);
  Pass(absl::Milliseconds(240));
  BOOST_TEST(Answers().empty());
  Pass(absl::Milliseconds(10));
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kDeadlinePassed));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Front_Draining_RefusesNewAndEndsOpen) {
  const Submission job = MakeJob("a17");
  Submit(7, job);
  Event([&] { jobs.BeginDrain(); });
  BOOST_TEST(!jobs.Idle());
  Submit(8, MakeJob("a18"));
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kDraining));
  // The owner, entry-b, may have had a repeated sending of it.
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
  AnswerFrom("entry-b", job, kWhole);
  BOOST_TEST(OnlyAnswer().outputs.size() == 1u);
  BOOST_TEST(jobs.Idle());
}

BOOST_AUTO_TEST_CASE(Front_CancelOfForwardedJob_GoesToTheOwner) {
  const Submission job = MakeJob("a17");
  Submit(7, job);
  Cancel("a17");
  BOOST_REQUIRE_EQUAL(Sent<CancelJob>().size(), 1u);
  BOOST_TEST(Sent<CancelJob>()[0].peer == "entry-b");
  BOOST_TEST(Answers().empty());
  const JobRefusal cancelled{RefusalReason::kCancelled, RunVerdict::kNotRun, 0,
                             ""};
  AnswerFrom("entry-b", job, cancelled);
  BOOST_TEST((RefusalFor(7).reason == RefusalReason::kCancelled));
  BOOST_TEST((RefusalFor(99).reason == RefusalReason::kCancelled));
  BOOST_TEST(jobs.Idle());
}

BOOST_AUTO_TEST_CASE(Front_CancelUnderTheRequestsToken_AnswersItOnce) {
  const Submission job = MakeJob("a17");
  Submit(7, job);
  Event([&] { jobs.OnCallerCancelled(7, job.key); });
  AnswerFrom("entry-b", job,
             JobRefusal{RefusalReason::kCancelled, RunVerdict::kNotRun, 0, ""});
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kCancelled));
}

BOOST_AUTO_TEST_CASE(Front_CancelOfUnsentJob_AnsweredAtOnce) {
  authority.owner.reset();
  Submit(7, MakeJob("a17"));
  Cancel("a17");
  for (const CallerToken token : {7, 99}) {
    BOOST_TEST((RefusalFor(token).reason == RefusalReason::kCancelled));
  }
}

BOOST_AUTO_TEST_CASE(Front_CancelWithoutAnOwner_ClaimsNothing) {
  authority.owner.reset();
  Cancel("a17");
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kNoOwner));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Front_CancelWithSilentOwner_IsRefusedInTheEnd) {
  Cancel("a17");
  BOOST_TEST(Answers().empty());
  Pass(kOwnerPatience);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kNoOwner));
  BOOST_TEST(jobs.Idle());
}

BOOST_AUTO_TEST_CASE(Front_CallerGone_AnswerGoesToNobody) {
  const Submission job = MakeJob("a17");
  Submit(7, job);
  Event([&] { jobs.OnCallerGone(7); });
  BOOST_TEST(actions.empty());
  AnswerFrom("entry-b", job, kWhole);
  BOOST_TEST(Answers().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
