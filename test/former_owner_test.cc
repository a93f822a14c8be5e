// A takeover waits for every former owner that might still act, and takes only
// what proves that it can't (docs/DESIGN.md, rules 6 and 8).
#include <boost/test/unit_test.hpp>

#include "node_limits.h"
#include "takeover_scene.h"

namespace egretswitch::internal {
namespace {

constexpr absl::Duration kOneMs = absl::Milliseconds(1);
constexpr uint32_t kAll = ControlHarness::kShards;

// entry-b has never folded that entry-a joined.
struct UnawareOwner : TakeoverScene {
  UnawareOwner() : TakeoverScene(TestPeer{.fold_offset = 1}) {}
};

BOOST_AUTO_TEST_SUITE(FormerOwner)

BOOST_FIXTURE_TEST_CASE(unaware_owner_silent_is_waited_for_without_end,
                        UnawareOwner) {
  FreezeB();
  a.Advance(absl::Seconds(60));
  BOOST_TEST(a.control.Status(a.now).shards_owned == kAll);
  BOOST_TEST(a.serving() == 0u);
}

// An answer from before the owner was bounded would not survive a restart of
// the agent.
BOOST_FIXTURE_TEST_CASE(unaware_owner_agents_are_not_fenced, UnawareOwner) {
  FreezeB();
  a.Advance(absl::Seconds(5));
  BOOST_TEST(a.SentTo<FenceShards>("agent-1").empty());
}

BOOST_FIXTURE_TEST_CASE(unaware_owner_agent_linked_again_is_not_fenced,
                        UnawareOwner) {
  FreezeB();
  a.Advance(absl::Seconds(5));
  a.Unlink("agent-1");
  a.LinkAgent("agent-1");
  BOOST_TEST(a.SentTo<FenceShards>("agent-1").empty());
}

BOOST_FIXTURE_TEST_CASE(answer_from_before_the_owner_was_bounded_is_void,
                        UnawareOwner) {
  FreezeB();
  a.Advance(absl::Seconds(5));
  a.agents["agent-1"].answers = false;
  a.Arrive("agent-1", 1, FenceReply{{{0, 2}, {1, 2}, {2, 2}, {3, 2}}, 0, {}});
  KillB();
  BOOST_TEST(a.serving() == 0u);
}

BOOST_AUTO_TEST_CASE(unaware_owner_is_waited_for_also_without_any_agent) {
  ControlHarness alone("entry-a");
  alone.PutEntry("entry-b");
  alone.PutClaim({"entry-b", 1});
  alone.Advance(absl::Seconds(10));
  BOOST_TEST(alone.control.Status(alone.now).shards_owned == kAll);
  BOOST_TEST(alone.serving() == 0u);
}

BOOST_FIXTURE_TEST_CASE(unaware_owner_proved_ended_is_taken_over,
                        UnawareOwner) {
  FreezeB();
  a.Advance(absl::Seconds(10));
  KillB();
  BOOST_TEST(a.serving() == kAll);
}

BOOST_FIXTURE_TEST_CASE(unaware_owner_declared_ended_is_taken_over,
                        UnawareOwner) {
  FreezeB();
  a.Advance(absl::Seconds(10));
  a.Do([&] { a.control.edits().OnDeclaredEnded({5, "entry-b"}); });
  a.Advance(absl::Milliseconds(10));
  BOOST_TEST(a.serving() == kAll);
  BOOST_REQUIRE(a.answers.size() == 1u);
  BOOST_TEST((a.answers[0].outcome == OperatorOutcome::kAccepted));
}

BOOST_FIXTURE_TEST_CASE(owner_acknowledging_late_waits_a_lease_from_then,
                        UnawareOwner) {
  a.agents["agent-2"].answers = false;
  FreezeB();
  a.Advance(absl::Seconds(10));
  PeerPing ping;
  ping.status.fold_offset = 100;
  a.Arrive("entry-b", 1, ping);
  a.Advance(kOwnerLease + kDriftMargin - kOneMs);
  BOOST_TEST(a.serving() == 0u);
  a.Advance(kOneMs);
  BOOST_TEST(a.serving() == kAll);
}

BOOST_FIXTURE_TEST_CASE(owner_acknowledging_late_is_then_fenced, UnawareOwner) {
  FreezeB();
  a.Advance(absl::Seconds(10));
  PeerPing ping;
  ping.status.fold_offset = 100;
  a.Arrive("entry-b", 1, ping);
  BOOST_TEST(a.SentTo<FenceShards>("agent-1").size() == 1u);
  BOOST_TEST(a.serving() == kAll);
}

// The joined_offset itself isn't folded yet when the fold offset equals it.
BOOST_AUTO_TEST_CASE(owner_folded_up_to_the_join_only_has_not_acknowledged) {
  TakeoverScene scene(TestPeer{.fold_offset = 7});
  const auto& entries = scene.a.control.control().entries();
  BOOST_TEST(entries.at("entry-a").joined_offset == 7u);
  scene.FreezeB();
  scene.a.Advance(absl::Seconds(20));
  BOOST_TEST(scene.a.serving() == 0u);
}

BOOST_AUTO_TEST_CASE(owner_folded_beyond_the_join_has_acknowledged) {
  TakeoverScene scene(TestPeer{.fold_offset = 8});
  scene.FreezeB();
  scene.a.Advance(absl::Seconds(3));
  BOOST_TEST(scene.a.serving() == kAll);
}

// entry-c took over from the unaware entry-b and ended before it served.
BOOST_FIXTURE_TEST_CASE(owner_before_the_last_is_waited_for_too, UnawareOwner) {
  a.PutEntry("entry-c");
  a.PutClaim({"entry-c", 1});
  a.Advance(absl::Milliseconds(50));
  a.Refuse("entry-c");
  FreezeB();
  a.Advance(absl::Seconds(30));
  BOOST_TEST(a.control.Status(a.now).shards_owned == kAll);
  BOOST_TEST(a.serving() == 0u);
  KillB();
  BOOST_TEST(a.serving() == kAll);
}

// Retention may drop the claims that name the former owners.
BOOST_AUTO_TEST_CASE(former_owners_survive_a_snapshot) {
  ControlHarness writer("entry-a");
  writer.PutEntry("entry-b");
  writer.PutEntry("entry-c");
  writer.PutClaim({"entry-b", 1});
  writer.PutClaim({"entry-c", 1});
  ControlState state(kAll);
  for (const LogEntry& entry : writer.log) {
    state.Apply(entry);
  }
  const Snapshot snapshot = state.MakeSnapshot();
  ControlState reader(kAll);
  reader.Apply({snapshot.next_offset, {"id", snapshot}});
  BOOST_TEST((reader.shard(0).owner == EntryId{"entry-c", 1}));
  BOOST_REQUIRE_EQUAL(reader.shard(0).former_owners.size(), 1u);
  BOOST_TEST((reader.shard(0).former_owners[0] == EntryId{"entry-b", 1}));
}

BOOST_FIXTURE_TEST_CASE(owner_before_a_served_takeover_is_not_waited_for,
                        UnawareOwner) {
  a.PutEntry("entry-c");
  a.PutClaim({"entry-c", 1});
  a.Put(ShardsServed{{{0, 2}, {1, 2}, {2, 2}, {3, 2}}});
  FreezeB();
  a.Advance(absl::Seconds(3));
  BOOST_TEST((a.ended.empty()));
  a.Refuse("entry-c");
  a.Advance(absl::Milliseconds(50));
  BOOST_TEST(a.serving() == kAll);
}

// Releases. -----------------------------------------------------------------

struct HandedOver : UnawareOwner {
  HandedOver() {
    a.agents["agent-2"].answers = false;
    a.Put(ShardsClaimed{a.self(), {{1, 1}}});
    a.Advance(absl::Milliseconds(20));
    BOOST_TEST(a.control.Status(a.now).shards_owned == 1u);
  }
};

BOOST_FIXTURE_TEST_CASE(release_by_the_owner_proves_its_end, HandedOver) {
  a.Arrive("entry-b", 1, ShardsReleased{{{1, 2}}});
  a.Advance(kPermissionLife + kDriftMargin - kOneMs);
  BOOST_TEST(!a.authority().Serves(1));
  a.Advance(kOneMs);
  BOOST_TEST(a.authority().Serves(1));
}

BOOST_FIXTURE_TEST_CASE(release_of_an_earlier_epoch_proves_nothing,
                        HandedOver) {
  a.Arrive("entry-b", 1, ShardsReleased{{{1, 1}}});
  a.Advance(absl::Seconds(10));
  BOOST_TEST(a.served.empty());
}

BOOST_FIXTURE_TEST_CASE(release_of_another_shard_proves_nothing, HandedOver) {
  a.Arrive("entry-b", 1, ShardsReleased{{{0, 2}}});
  a.Advance(absl::Seconds(10));
  BOOST_TEST(a.served.empty());
}

BOOST_FIXTURE_TEST_CASE(release_by_another_entry_proves_nothing, HandedOver) {
  a.LinkEntry("entry-c");
  a.Arrive("entry-c", 1, ShardsReleased{{{1, 2}}});
  a.Advance(absl::Seconds(10));
  BOOST_TEST(a.served.empty());
}

BOOST_FIXTURE_TEST_CASE(release_on_a_link_of_another_incarnation_proves_nothing,
                        HandedOver) {
  a.Arrive("entry-b", 2, ShardsReleased{{{1, 2}}});
  a.Advance(absl::Seconds(10));
  BOOST_TEST(a.served.empty());
}

// Proofs of an end. ---------------------------------------------------------

BOOST_FIXTURE_TEST_CASE(refusal_of_a_linked_peer_proves_nothing,
                        TakeoverScene) {
  a.Refuse("entry-b");
  a.Advance(absl::Seconds(1));
  BOOST_TEST(a.ended.empty());
  BOOST_TEST(a.serving() == 0u);
}

// The refusal came from the host before that process was started.
BOOST_FIXTURE_TEST_CASE(
    refusal_dialled_before_the_peer_was_known_proves_nothing,
    TakeoverScene) {
  const MonoTime dialled = a.now.mono;
  a.Advance(absl::Milliseconds(20));
  a.PutEntry("entry-c");
  a.Advance(absl::Milliseconds(20));
  a.Refuse("entry-c", dialled);
  BOOST_TEST(a.ended.empty());
  a.Refuse("entry-c", a.now.mono);
  BOOST_TEST(a.ended.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(
    refusal_dialled_before_the_peer_was_heard_proves_nothing,
    TakeoverScene) {
  const MonoTime dialled = a.now.mono - absl::Milliseconds(400);
  a.Unlink("entry-b");
  a.Refuse("entry-b", dialled);
  BOOST_TEST(a.ended.empty());
}

BOOST_FIXTURE_TEST_CASE(link_lost_alone_proves_nothing, UnawareOwner) {
  a.Unlink("entry-b");
  a.Advance(absl::Seconds(20));
  BOOST_TEST(a.ended.empty());
  BOOST_TEST(a.serving() == 0u);
}

BOOST_FIXTURE_TEST_CASE(next_incarnation_answering_proves_the_end,
                        UnawareOwner) {
  a.Unlink("entry-b");
  a.LinkEntry("entry-b", TestPeer{.incarnation = 2, .answers = false});
  BOOST_TEST(a.ended.empty());
  a.peers["entry-b"].answers = true;
  a.Advance(kPeerPingPeriod);
  BOOST_TEST((a.ended == std::vector<EntryId>{b}));
}

BOOST_FIXTURE_TEST_CASE(next_incarnation_joining_proves_the_end, UnawareOwner) {
  a.PutEntry("entry-b", 2);
  a.Advance(absl::Milliseconds(20));
  BOOST_TEST((a.ended == std::vector<EntryId>{b}));
}

// A paused former incarnation that wakes up says nothing of the present one.
BOOST_FIXTURE_TEST_CASE(replaced_incarnation_answering_proves_nothing,
                        TakeoverScene) {
  a.PutEntry("entry-b", 2);
  a.Advance(absl::Milliseconds(20));
  BOOST_TEST(a.ended.size() == 1u);
  a.Advance(absl::Milliseconds(600));
  BOOST_TEST(a.ended.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
