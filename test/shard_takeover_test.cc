// A takeover serves only when no former owner can act any more: bounded former
// owners, settled agents, tasks read back (docs/DESIGN.md, rules 3, 6 and 8).
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "node_limits.h"
#include "takeover_scene.h"

namespace egretswitch::internal {
namespace {

constexpr absl::Duration kOneMs = absl::Milliseconds(1);
constexpr uint32_t kAll = ControlHarness::kShards;

std::vector<ShardEpoch> AllAtEpoch(Epoch epoch) {
  std::vector<ShardEpoch> shards;
  for (ShardId shard = 0; shard < kAll; ++shard) {
    shards.push_back({shard, epoch});
  }
  return shards;
}

Holding Held(const std::string& id, uint64_t digest, uint32_t index) {
  Holding holding;
  holding.key = {"desk", id};
  holding.shard = ShardOf(holding.key, kAll);
  holding.digest = digest;
  holding.task_count = digest == 0 ? 0 : 3;
  holding.submitted_ms = ControlHarness::kWallAtStart;
  holding.indexes = {index};
  return holding;
}

BOOST_FIXTURE_TEST_SUITE(ShardTakeoverTest, TakeoverScene)

BOOST_AUTO_TEST_CASE(living_owner_keeps_its_shards) {
  a.Advance(absl::Seconds(20));
  BOOST_TEST(a.serving() == 0u);
  BOOST_TEST(a.Logged<ShardsClaimed>().size() == kAll);
  BOOST_TEST((a.authority().OwnerOf(0) == b));
}

BOOST_AUTO_TEST_CASE(killed_owner_agents_answer_serves_at_once) {
  KillB();
  BOOST_TEST(!a.authority().OwnerOf(0).has_value());
  a.Advance(absl::Milliseconds(10));
  BOOST_TEST(a.SentTo<FenceShards>("agent-1").size() == 1u);
  BOOST_TEST(a.SentTo<FenceShards>("agent-1")[0].shards.size() == kAll);
  BOOST_TEST(a.SentTo<FenceShards>("agent-1")[0].shards[0].epoch == 2u);
  BOOST_TEST(a.serving() == kAll);
  BOOST_TEST((a.authority().OwnerOf(0) == a.self()));
}

BOOST_AUTO_TEST_CASE(killed_owner_one_agent_unanswered_serves_nothing) {
  a.agents["agent-2"].answers = false;
  KillB();
  a.Advance(absl::Milliseconds(500));
  BOOST_TEST(a.control.Status(a.now).shards_owned == kAll);
  BOOST_TEST(a.serving() == 0u);
  BOOST_TEST(a.Logged<ShardsServed>().size() == 0u);
}

BOOST_AUTO_TEST_CASE(killed_owner_silent_agent_settles_after_permission_life) {
  a.agents["agent-2"].answers = false;
  KillB();
  a.Advance(kPermissionLife + kDriftMargin - kOneMs);
  BOOST_TEST(a.serving() == 0u);
  a.Advance(kOneMs);
  BOOST_TEST(a.serving() == kAll);
  BOOST_TEST(a.authority().DoubtMs(0) == a.now.wall_ms);
}

BOOST_AUTO_TEST_CASE(frozen_owner_agents_answer_serves_after_suspicion) {
  FreezeB();
  a.Advance(kSuspectAfter - absl::Milliseconds(300));
  BOOST_TEST(a.serving() == 0u);
  a.Advance(absl::Milliseconds(400));
  BOOST_TEST(a.serving() == kAll);
}

BOOST_AUTO_TEST_CASE(frozen_owner_without_log_keeps_shards_and_is_silent) {
  a.log_mode = TestLogMode::kDown;
  a.Advance(absl::Seconds(2));
  BOOST_TEST((a.authority().OwnerSilentFor(0) <= kPeerPingPeriod));
  FreezeB();
  a.Advance(kOwnerPatience + kPeerPingPeriod);
  BOOST_TEST((a.authority().OwnerOf(0) == b));
  BOOST_TEST(!a.authority().TakeoversPossible());
  BOOST_TEST((a.authority().OwnerSilentFor(0) >= kOwnerPatience));
}

BOOST_AUTO_TEST_CASE(frozen_owner_silent_agent_settles_after_lease) {
  a.agents["agent-2"].answers = false;
  FreezeB();
  AdvanceToClaim();
  a.Advance(kOwnerLease + kDriftMargin - kOneMs);
  BOOST_TEST(a.serving() == 0u);
  a.Advance(kOneMs);
  BOOST_TEST(a.serving() == kAll);
  BOOST_TEST(a.authority().DoubtMs(0) == a.now.wall_ms);
}

BOOST_AUTO_TEST_CASE(shards_claimed_by_another_notes_how_many_are_lost) {
  KillB();
  a.Advance(absl::Milliseconds(50));
  BOOST_TEST(a.serving() == kAll);
  a.TakeNoted();
  a.PutEntry("entry-c");
  a.PutClaim({"entry-c", 1});
  a.Advance(absl::Milliseconds(20));
  BOOST_REQUIRE_EQUAL(a.notes.size(), 1u);
  BOOST_TEST(a.notes[0].what == "shards lost");
  BOOST_TEST(a.notes[0].fields.at(0).value == std::to_string(kAll));
}

BOOST_AUTO_TEST_CASE(takeover_done_is_logged_and_clears_former_owners) {
  KillB();
  a.Advance(absl::Milliseconds(50));
  BOOST_TEST(a.Logged<ShardsServed>().size() == 1u);
  BOOST_TEST(a.control.control().shard(0).former_owners.empty());
}

BOOST_AUTO_TEST_CASE(takeover_done_is_logged_again_after_the_log_refused_it) {
  a.agents["agent-2"].answers = false;
  KillB();
  a.Advance(absl::Milliseconds(100));
  a.log_mode = TestLogMode::kDown;
  a.Arrive("agent-2", 1, FenceReply{AllAtEpoch(2), 0, {}});
  BOOST_TEST(a.serving() == kAll);
  BOOST_TEST(a.Logged<ShardsServed>().size() == 0u);
  a.log_mode = TestLogMode::kUp;
  a.Advance(absl::Seconds(2));
  BOOST_TEST(a.Logged<ShardsServed>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(fence_reply_without_a_shard_settles_nothing) {
  a.agents["agent-2"].answers = false;
  KillB();
  a.Advance(absl::Milliseconds(10));
  std::vector<ShardEpoch> some = AllAtEpoch(2);
  some.pop_back();
  a.Arrive("agent-2", 1, FenceReply{some, 0, {}});
  BOOST_TEST(a.serving() == 0u);
  a.Arrive("agent-2", 1, FenceReply{AllAtEpoch(2), 0, {}});
  BOOST_TEST(a.serving() == kAll);
}

BOOST_AUTO_TEST_CASE(fence_reply_of_another_epoch_settles_nothing) {
  a.agents["agent-2"].answers = false;
  KillB();
  a.Advance(absl::Milliseconds(10));
  a.Arrive("agent-2", 1, FenceReply{AllAtEpoch(1), 0, {}});
  BOOST_TEST(a.serving() == 0u);
  a.Arrive("agent-2", 1, FenceReply{AllAtEpoch(3), 0, {}});
  BOOST_TEST(a.serving() == 0u);
}

BOOST_AUTO_TEST_CASE(fence_reply_that_leaves_out_a_shard_settles_nothing) {
  a.agents["agent-2"].answers = false;
  KillB();
  a.Advance(absl::Milliseconds(10));
  std::vector<ShardEpoch> fenced = AllAtEpoch(2);
  fenced.erase(fenced.begin() + 1);
  a.Arrive("agent-2", 1, FenceReply{fenced, 0, {}});
  BOOST_TEST(a.serving() == 0u);
}

// As one to several rounds in one fence may be, with shards of others between.
BOOST_AUTO_TEST_CASE(fence_reply_in_any_order_settles_the_agent) {
  a.agents["agent-2"].answers = false;
  KillB();
  a.Advance(absl::Milliseconds(10));
  std::vector<ShardEpoch> fenced = AllAtEpoch(2);
  fenced.push_back({kAll + 3, 9});
  fenced.push_back({0, 1});
  std::reverse(fenced.begin(), fenced.end());
  a.Arrive("agent-2", 1, FenceReply{fenced, 0, {}});
  BOOST_TEST(a.serving() == kAll);
}

BOOST_AUTO_TEST_CASE(fence_reply_of_a_former_incarnation_settles_nothing) {
  a.agents["agent-2"].answers = false;
  KillB();
  a.Advance(absl::Milliseconds(10));
  a.Arrive("agent-2", 77, FenceReply{AllAtEpoch(2), 0, {}});
  BOOST_TEST(a.serving() == 0u);
}

BOOST_AUTO_TEST_CASE(agent_linked_during_takeover_is_fenced) {
  a.Unlink("agent-2");
  KillB();
  a.Advance(absl::Milliseconds(100));
  BOOST_TEST(a.serving() == 0u);
  a.LinkAgent("agent-2");
  BOOST_TEST(a.serving() == kAll);
}

BOOST_AUTO_TEST_CASE(agent_linked_again_while_serving_is_fenced_again) {
  KillB();
  a.Advance(absl::Milliseconds(50));
  a.Unlink("agent-1");
  a.sent.clear();
  TestAgent restarted;
  restarted.incarnation = 2;
  a.LinkAgent("agent-1", restarted);
  BOOST_TEST(a.SentTo<FenceShards>("agent-1").size() == 1u);
  BOOST_TEST(a.SentTo<FenceShards>("agent-1")[0].shards.size() == kAll);
}

// Doubt and reading back. ---------------------------------------------------

BOOST_AUTO_TEST_CASE(doubt_is_the_youngest_memory_of_the_agents) {
  a.agents["agent-1"].memory_since_ms = 5000;
  a.agents["agent-2"].memory_since_ms = 7000;
  KillB();
  a.Advance(absl::Milliseconds(10));
  BOOST_TEST(a.authority().DoubtMs(0) == 7000);
}

BOOST_AUTO_TEST_CASE(never_owned_shard_has_no_doubt) {
  ControlHarness alone("entry-a");
  alone.RegisterAgents({"agent-1"});
  alone.Advance(absl::Milliseconds(100));
  BOOST_TEST(alone.serving() == kAll);
  BOOST_TEST(alone.authority().DoubtMs(0) == 0);
}

BOOST_AUTO_TEST_CASE(slot_removed_before_takeover_raises_doubt) {
  a.Put(SlotRemoved{"agent-2"});
  a.Advance(absl::Milliseconds(100));
  const int64_t removed_by = a.now.wall_ms;
  KillB();
  a.Advance(absl::Milliseconds(10));
  BOOST_TEST(a.serving() == kAll);
  BOOST_TEST(a.authority().DoubtMs(0) >= removed_by - 100);
  BOOST_TEST(a.authority().DoubtMs(0) <= removed_by);
}

BOOST_AUTO_TEST_CASE(holdings_of_two_agents_are_one_recovered_job) {
  a.agents["agent-1"].holdings = {Held("a17", 9, 0)};
  a.agents["agent-2"].holdings = {Held("a17", 0, 2)};
  KillB();
  a.Advance(absl::Milliseconds(10));
  const RecoveredJob* job = a.authority().FindRecovered({"desk", "a17"});
  BOOST_REQUIRE(job != nullptr);
  BOOST_TEST(job->digest == 9u);
  BOOST_TEST(job->task_count == 3u);
  BOOST_TEST(job->submitted_ms == ControlHarness::kWallAtStart);
  BOOST_TEST(job->agent_by_task.size() == 2u);
  BOOST_TEST(job->agent_by_task.at(0) == "agent-1");
  BOOST_TEST(job->agent_by_task.at(2) == "agent-2");
  BOOST_TEST(a.authority().FindRecovered({"desk", "a18"}) == nullptr);
}

BOOST_AUTO_TEST_CASE(recovered_job_is_kept_until_the_horizon) {
  a.agents["agent-1"].holdings = {Held("a17", 9, 0)};
  KillB();
  a.Advance(absl::Milliseconds(10));
  a.now.wall_ms = ControlHarness::kWallAtStart + kHorizonMs;
  a.Advance(absl::Milliseconds(10));
  BOOST_TEST(a.authority().FindRecovered({"desk", "a17"}) != nullptr);
  a.now.wall_ms += 2 * kWallSkewMs + 1;
  a.Advance(absl::Milliseconds(10));
  BOOST_TEST(a.authority().FindRecovered({"desk", "a17"}) == nullptr);
}

BOOST_AUTO_TEST_CASE(lost_shard_forgets_what_was_recovered) {
  const Holding held = Held("a17", 9, 0);
  a.agents["agent-1"].holdings = {held};
  KillB();
  a.Advance(absl::Milliseconds(10));
  a.PutEntry("entry-c");
  a.Put(ShardsClaimed{{"entry-c", 1}, {{held.shard, 2}}});
  a.Advance(absl::Milliseconds(10));
  BOOST_TEST(a.authority().FindRecovered(held.key) == nullptr);
}

// Losing. -------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(superseded_owner_stops_then_tells_the_new_owner) {
  KillB();
  a.Advance(absl::Milliseconds(50));
  a.PutEntry("entry-c");
  a.LinkEntry("entry-c");
  a.Put(ShardsClaimed{{"entry-c", 1}, {{1, 2}}});
  a.Advance(absl::Milliseconds(10));
  BOOST_TEST(!a.authority().Serves(1));
  BOOST_TEST(a.authority().Serves(0));
  BOOST_TEST(a.lost == std::vector<ShardId>{1},
             boost::test_tools::per_element());
  const auto released = a.SentTo<ShardsReleased>("entry-c");
  BOOST_REQUIRE(released.size() == 1u);
  BOOST_TEST(released[0].shards.size() == 1u);
  BOOST_TEST(released[0].shards[0].shard == 1u);
  BOOST_TEST(released[0].shards[0].epoch == 3u);
  BOOST_TEST(!a.released_before_lost);
}

BOOST_AUTO_TEST_CASE(release_waits_for_the_link_to_the_new_owner) {
  KillB();
  a.Advance(absl::Milliseconds(50));
  a.PutEntry("entry-c");
  a.Put(ShardsClaimed{{"entry-c", 1}, {{1, 2}}});
  a.Advance(absl::Milliseconds(50));
  BOOST_TEST(a.SentTo<ShardsReleased>("entry-c").empty());
  a.LinkEntry("entry-c");
  BOOST_TEST(a.SentTo<ShardsReleased>("entry-c").size() == 1u);
}

BOOST_AUTO_TEST_CASE(shard_lost_during_takeover_is_never_served) {
  a.agents["agent-2"].answers = false;
  KillB();
  a.Advance(absl::Milliseconds(50));
  a.PutEntry("entry-c");
  a.Put(ShardsClaimed{{"entry-c", 1}, {{1, 2}}});
  a.Advance(absl::Milliseconds(10));
  a.Arrive("agent-2", 1, FenceReply{AllAtEpoch(2), 0, {}});
  BOOST_TEST(!a.authority().Serves(1));
  BOOST_TEST(a.authority().Serves(0));
}

BOOST_AUTO_TEST_CASE(shard_lost_and_regained_in_one_read_is_taken_over_anew) {
  KillB();
  a.Advance(absl::Milliseconds(50));
  a.agents["agent-1"].answers = false;
  a.PutEntry("entry-c");
  a.Put(ShardsClaimed{{"entry-c", 1}, {{1, 2}}});
  a.Put(ShardsClaimed{a.self(), {{1, 3}}});
  a.Advance(absl::Milliseconds(10));
  BOOST_TEST(!a.authority().Serves(1));
  BOOST_TEST(a.authority().EpochOf(1) == 4u);
  BOOST_TEST(a.lost.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
