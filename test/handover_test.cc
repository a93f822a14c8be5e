// What a living owner tells the next one when it hands a shard over, and what
// the next one makes of it (docs/DESIGN.md, "Who may start a task").
#include <boost/test/unit_test.hpp>

#include "node_limits.h"
#include "shard_release.h"
#include "takeover_scene.h"

namespace egretswitch::internal {
namespace {

constexpr uint32_t kAll = ControlHarness::kShards;
constexpr int64_t kFreshMs = ControlHarness::kWallAtStart;

ReleasedJob JobAt(const std::string& id,
                  const std::string& agent,
                  uint32_t index) {
  ReleasedJob job;
  job.key = {"desk", id};
  job.shard = ShardOf(job.key, kAll);
  job.held_epoch = 1;
  job.digest = 9;
  job.task_count = 3;
  job.submitted_ms = ControlHarness::kWallAtStart;
  job.started = {{agent, 1, {index}}};
  return job;
}

// entry-b, alive, owns everything under epoch 1; the agents have just started.
// Its claim for entry-a of the shard of "a17" is folded at once.
struct HandoverScene : TakeoverScene {
  HandoverScene() {
    a.agents["agent-1"].memory_since_ms = kFreshMs;
    a.agents["agent-2"].memory_since_ms = kFreshMs;
    a.Put(ShardsClaimed{a.self(), {{shard, 1}}});
    a.Advance(absl::Milliseconds(20));
    BOOST_TEST(a.control.Status(a.now).shards_owned == 1u);
  }

  // entry-b's release of the shard; `job_count` as announced.
  ShardsReleased Release(int64_t doubt_ms,
                         uint32_t job_count,
                         std::vector<ReleasedJob> jobs) const {
    return {{{shard, 2}}, {{shard, 1, doubt_ms, job_count}}, std::move(jobs)};
  }

  const ReleasedJob job = JobAt("a17", "agent-1", 2);
  const ShardId shard = job.shard;
};

BOOST_FIXTURE_TEST_SUITE(HandoverTest, HandoverScene)

BOOST_AUTO_TEST_CASE(whole_release_after_agents_restart_leaves_no_doubt) {
  BOOST_TEST(!a.authority().Serves(shard));
  a.Arrive("entry-b", 1, Release(0, 0, {}));
  BOOST_TEST(a.authority().Serves(shard));
  BOOST_TEST(a.authority().DoubtMs(shard) == 0);
}

BOOST_AUTO_TEST_CASE(releasing_owners_own_doubt_is_passed_on) {
  a.Arrive("entry-b", 1, Release(kFreshMs - 5000, 0, {}));
  BOOST_TEST(a.authority().Serves(shard));
  BOOST_TEST(a.authority().DoubtMs(shard) == kFreshMs - 5000);
}

BOOST_AUTO_TEST_CASE(released_job_is_recovered_with_the_process_it_went_to) {
  a.Arrive("entry-b", 1, Release(0, 1, {job}));
  const RecoveredJob* found = a.authority().FindRecovered(job.key);
  BOOST_REQUIRE(found != nullptr);
  BOOST_TEST(found->digest == 9u);
  BOOST_TEST(found->task_count == 3u);
  BOOST_TEST(found->agent_by_task.at(2) == "agent-1");
  BOOST_TEST(found->sent_to.at(2) == 1u);
}

BOOST_AUTO_TEST_CASE(task_that_its_agent_holds_is_more_than_sent) {
  Holding holding;
  holding.key = job.key;
  holding.shard = shard;
  holding.digest = 9;
  holding.indexes = {2};
  a.Arrive("entry-b", 1, Release(0, 1, {job}));
  a.Arrive("agent-1", 1, FenceReply{{{shard, 2}}, 0, {holding}});
  const RecoveredJob* found = a.authority().FindRecovered(job.key);
  BOOST_REQUIRE(found != nullptr);
  BOOST_TEST(found->agent_by_task.at(2) == "agent-1");
  BOOST_TEST(found->sent_to.empty());
}

BOOST_AUTO_TEST_CASE(release_in_parts_is_whole_with_the_last_one) {
  const ReleasedJob other = [&] {
    ReleasedJob copy = job;
    copy.key.id = "a18";  // the sender says the shard
    return copy;
  }();
  a.Arrive("entry-b", 1, Release(0, 2, {job}));
  BOOST_TEST(!a.authority().Serves(shard));
  a.Arrive("entry-b", 1, ShardsReleased{{}, {}, {job}});
  BOOST_TEST(!a.authority().Serves(shard));
  a.Arrive("entry-b", 1, ShardsReleased{{}, {}, {other}});
  BOOST_TEST(a.authority().Serves(shard));
  BOOST_TEST(a.authority().DoubtMs(shard) == 0);
}

BOOST_AUTO_TEST_CASE(partial_release_leaves_the_ordinary_doubt) {
  a.Arrive("entry-b", 1, Release(0, 2, {job}));
  a.Advance(kReleasePatience);
  BOOST_TEST(a.authority().Serves(shard));
  BOOST_TEST(a.authority().DoubtMs(shard) == kFreshMs);
}

BOOST_AUTO_TEST_CASE(release_without_knowledge_leaves_the_ordinary_doubt) {
  a.Arrive("entry-b", 1, ShardsReleased{{{shard, 2}}});
  BOOST_TEST(a.authority().Serves(shard));
  BOOST_TEST(a.authority().DoubtMs(shard) == kFreshMs);
}

BOOST_AUTO_TEST_CASE(release_lost_serves_with_the_ordinary_doubt) {
  a.Advance(kReleasePatience - absl::Milliseconds(50));
  BOOST_TEST(!a.authority().Serves(shard));
  a.Advance(absl::Milliseconds(50));
  BOOST_TEST(a.authority().Serves(shard));
  BOOST_TEST(a.authority().DoubtMs(shard) == kFreshMs);
}

BOOST_AUTO_TEST_CASE(owner_ended_before_its_release_is_not_awaited) {
  KillB();
  BOOST_TEST(a.authority().Serves(shard));
  BOOST_TEST(a.authority().DoubtMs(shard) == kFreshMs);
}

BOOST_AUTO_TEST_CASE(late_release_lowers_the_doubt_and_is_merged) {
  a.Advance(kReleasePatience);
  BOOST_TEST(a.authority().DoubtMs(shard) == kFreshMs);
  a.Arrive("entry-b", 1, Release(0, 1, {job}));
  BOOST_TEST(a.authority().DoubtMs(shard) == 0);
  BOOST_TEST(a.authority().FindRecovered(job.key) != nullptr);
}

BOOST_AUTO_TEST_CASE(late_release_never_raises_the_doubt) {
  a.Advance(kReleasePatience);
  a.Arrive("entry-b", 1, Release(kFreshMs + 1, 0, {}));
  BOOST_TEST(a.authority().DoubtMs(shard) == kFreshMs);
}

// Another owner may have started tasks in between.
BOOST_AUTO_TEST_CASE(knowledge_of_an_earlier_epoch_is_not_whole) {
  a.PutEntry("entry-c");
  a.Put(ShardsClaimed{{"entry-c", 1}, {{shard, 2}}});
  a.Put(ShardsClaimed{a.self(), {{shard, 3}}});
  a.Advance(absl::Milliseconds(20));
  BOOST_TEST(a.authority().EpochOf(shard) == 4u);
  a.Arrive("entry-b", 1, {ShardsReleased{{{shard, 4}}, {{shard, 1, 0, 0}}}});
  a.Refuse("entry-c");
  a.Advance(absl::Milliseconds(20));
  BOOST_TEST(a.authority().Serves(shard));
  BOOST_TEST(a.authority().DoubtMs(shard) == kFreshMs);
}

// The agents are settled as without a release.
BOOST_AUTO_TEST_CASE(whole_release_settles_no_silent_agent) {
  a.agents["agent-2"].answers = false;
  a.Put(ShardsClaimed{a.self(), {{(shard + 1) % kAll, 1}}});
  a.Advance(absl::Milliseconds(20));
  const ShardId next = (shard + 1) % kAll;
  a.Arrive("entry-b", 1, {ShardsReleased{{{next, 2}}, {{next, 1, 0, 0}}}});
  a.Advance(kPermissionLife + kDriftMargin - absl::Milliseconds(1));
  BOOST_TEST(!a.authority().Serves(next));
  a.Advance(absl::Milliseconds(1));
  BOOST_TEST(a.authority().Serves(next));
  BOOST_TEST(a.authority().DoubtMs(next) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

// entry-a has taken everything over and then hands the shard of "a17" on.
struct ReleasingScene : TakeoverScene {
  ReleasingScene() {
    a.agents["agent-1"].memory_since_ms = 7000;
    KillB();
    a.Advance(absl::Milliseconds(50));
    a.PutEntry("entry-c");
    a.LinkEntry("entry-c");
  }

  std::vector<ShardsReleased> HandOver() {
    a.Put(ShardsClaimed{{"entry-c", 1}, {{shard, 2}}});
    a.Advance(absl::Milliseconds(10));
    return a.SentTo<ShardsReleased>("entry-c");
  }

  const ReleasedJob job = JobAt("a17", "agent-1", 2);
  const ShardId shard = job.shard;
};

BOOST_FIXTURE_TEST_SUITE(ReleasingTest, ReleasingScene)

BOOST_AUTO_TEST_CASE(release_of_a_served_shard_tells_jobs_and_doubt) {
  a.started[shard] = {job};
  const auto released = HandOver();
  BOOST_REQUIRE(released.size() == 1u);
  BOOST_REQUIRE(released[0].known.size() == 1u);
  BOOST_TEST(released[0].known[0].held_epoch == 2u);
  BOOST_TEST(released[0].known[0].doubt_ms == 7000);
  BOOST_TEST(released[0].known[0].job_count == 1u);
  BOOST_REQUIRE(released[0].jobs.size() == 1u);
  BOOST_TEST(released[0].jobs[0].held_epoch == 2u);
  BOOST_TEST(released[0].jobs[0].started[0].agent == "agent-1");
}

// Its caller hasn't sent it again, so the jobs' side doesn't know it.
BOOST_AUTO_TEST_CASE(release_tells_also_what_was_only_recovered) {
  Holding holding;
  holding.key = job.key;
  holding.shard = shard;
  holding.digest = 9;
  holding.indexes = {0, 2};
  a.Arrive("agent-2", 1, FenceReply{{{shard, 2}}, 0, {holding}});
  a.started[shard] = {job};
  const auto released = HandOver();
  BOOST_REQUIRE(released.size() == 1u);
  BOOST_REQUIRE(released[0].jobs.size() == 1u);
  const auto& started = released[0].jobs[0].started;
  BOOST_REQUIRE(started.size() == 2u);
  BOOST_TEST(started[0].indexes == std::vector<uint32_t>{2},
             boost::test_tools::per_element());
  BOOST_TEST(started[1].agent == "agent-2");
  BOOST_TEST(started[1].incarnation == 0u);
  BOOST_TEST(started[1].indexes == std::vector<uint32_t>{0},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SplitReleasesTest)

BOOST_AUTO_TEST_CASE(big_release_goes_in_parts_the_first_names_all) {
  ShardRelease release{{3, 6}, ShardKnowledge{3, 5, 0, 3}, {}};
  for (const char* id : {"a17", "a18", "a19"}) {
    release.jobs.push_back(JobAt(id, "agent-1", 0));
  }
  const auto parts = SplitReleases({release, {{4, 2}, std::nullopt, {}}}, 150);
  BOOST_REQUIRE(parts.size() == 3u);
  BOOST_TEST(parts[0].shards.size() == 2u);
  BOOST_TEST(parts[0].known.size() == 1u);
  for (const ShardsReleased& part : parts) {
    BOOST_TEST(part.jobs.size() == 1u);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
