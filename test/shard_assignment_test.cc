// Who claims what, when: joining, liveness, handing over, draining, leaving.
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "node_limits.h"
#include "takeover_scene.h"

namespace egretswitch::internal {
namespace {

constexpr absl::Duration kShort = absl::Milliseconds(100);
constexpr uint32_t kAll = ControlHarness::kShards;

// entry-a owns everything; entry-c has just joined, and is linked.
struct SecondEntry {
  SecondEntry() : a("entry-a") {
    a.Advance(absl::Seconds(3));
    a.PutEntry("entry-c");
    a.Advance(absl::Milliseconds(20));
    for (ShardId shard = 0; shard < kAll; ++shard) {
      if (PreferenceOf(shard, "entry-c") > PreferenceOf(shard, "entry-a")) {
        preferred_by_c.push_back(shard);
      }
    }
    BOOST_TEST_REQUIRE(!preferred_by_c.empty());
  }

  std::vector<ShardId> OwnedByC() const {
    std::vector<ShardId> owned;
    for (ShardId shard = 0; shard < kAll; ++shard) {
      if (a.control.control().shard(shard).owner == c) {
        owned.push_back(shard);
      }
    }
    return owned;
  }

  const EntryId c{"entry-c", 1};
  std::vector<ShardId> preferred_by_c;
  ControlHarness a;
};

BOOST_AUTO_TEST_SUITE(Assignment)

BOOST_AUTO_TEST_CASE(first_entry_start_claims_and_serves_every_shard) {
  ControlHarness entry("entry-a");
  entry.Advance(kShort);
  BOOST_TEST(entry.Logged<EntryJoined>().size() == 1u);
  BOOST_TEST(entry.Logged<ShardsClaimed>().size() == 1u);
  BOOST_TEST(entry.serving() == kAll);
  BOOST_TEST(entry.served.size() == kAll);
  BOOST_TEST(entry.changed.size() == kAll);
  BOOST_TEST(entry.authority().EpochOf(0) == 1u);
  BOOST_TEST(entry.MayStartNow());
}

BOOST_AUTO_TEST_CASE(entry_without_a_complete_read_neither_joins_nor_claims) {
  ControlHarness entry("entry-a");
  entry.log_mode = TestLogMode::kDown;
  entry.Advance(absl::Seconds(5));
  entry.log_mode = TestLogMode::kUp;
  BOOST_TEST(entry.log.empty());
  BOOST_TEST(!entry.MayStartNow());
  BOOST_TEST(!entry.authority().TakeoversPossible());
  BOOST_TEST(!entry.authority().OwnerOf(0).has_value());
  entry.Advance(absl::Seconds(1));
  BOOST_TEST(entry.serving() == kAll);
}

// A page of the stream that ends before its head: the rest may hold claims.
BOOST_AUTO_TEST_CASE(entry_that_read_a_part_neither_joins_nor_claims) {
  ControlHarness entry("entry-a");
  entry.log_mode = TestLogMode::kSilent;
  entry.Do([&] { entry.control.OnTick(); });
  const LogEntry first{0, {"outside", EntryJoined{"entry-b", 1, "b", "", ""}}};
  entry.Do([&] {
    entry.control.log().OnReadDone({entry.now.mono, 0, 1000, {first}});
  });
  entry.Do([&] { entry.control.OnTick(); });
  BOOST_TEST(entry.context.counters().Get(Counter::kLogAppends) == 0u);
  BOOST_TEST(!entry.MayStartNow());
  BOOST_TEST(!entry.authority().OwnerOf(0).has_value());
}

BOOST_AUTO_TEST_CASE(dial_targets_are_all_other_entries_and_all_agents) {
  TakeoverScene scene;
  BOOST_REQUIRE(!scene.a.targets.empty());
  const auto& peers = scene.a.targets.back().peers;
  BOOST_REQUIRE(peers.size() == 3u);
  BOOST_TEST(peers[0].name == "entry-b");
  BOOST_TEST((peers[0].role == ProcessRole::kEntry));
  BOOST_TEST(peers[1].name == "agent-1");
  BOOST_TEST((peers[1].role == ProcessRole::kAgent));
}

BOOST_FIXTURE_TEST_CASE(silent_owner_heard_by_a_peer_is_not_replaced,
                        TakeoverScene) {
  a.PutEntry("entry-c");
  a.LinkEntry("entry-c");
  FreezeB();
  for (int step = 0; step < 20; ++step) {
    a.Advance(absl::Milliseconds(300));
    PeerPing ping;
    ping.status.heard = {HeardPeer{"entry-b", 1, 200}};
    a.Arrive("entry-c", 1, ping);
  }
  BOOST_TEST(a.control.Status(a.now).shards_owned == 0u);
}

BOOST_FIXTURE_TEST_CASE(hearsay_of_old_hearing_does_not_keep_an_owner,
                        TakeoverScene) {
  a.PutEntry("entry-c");
  a.LinkEntry("entry-c");
  FreezeB();
  for (int step = 0; step < 20; ++step) {
    a.Advance(absl::Milliseconds(300));
    PeerPing ping;
    ping.status.heard = {HeardPeer{"entry-b", 1, 1600}};
    a.Arrive("entry-c", 1, ping);
  }
  BOOST_TEST(a.control.Status(a.now).shards_owned > 0u);
}

// entry-c's own hearing alone is passed on, so hearsay can't go round.
BOOST_FIXTURE_TEST_CASE(hearsay_is_not_passed_on, TakeoverScene) {
  a.PutEntry("entry-c");
  a.LinkEntry("entry-c");
  FreezeB();
  a.Advance(absl::Milliseconds(1400));
  PeerPing ping;
  ping.status.heard = {HeardPeer{"entry-b", 1, 0}};
  a.Arrive("entry-c", 1, ping);
  a.Advance(absl::Milliseconds(600));
  const auto pings = a.SentTo<PeerPing>("entry-c");
  BOOST_REQUIRE(!pings.empty());
  for (const HeardPeer& heard : pings.back().status.heard) {
    BOOST_TEST(heard.name != "entry-b");
  }
}

BOOST_FIXTURE_TEST_CASE(silent_owner_that_appends_is_not_replaced,
                        TakeoverScene) {
  FreezeB();
  for (int step = 0; step < 10; ++step) {
    a.Advance(absl::Seconds(1));
    a.Put(ShardsServed{}, "entry-b#1#" + std::to_string(step));
  }
  BOOST_TEST((a.control.control().shard(0).owner == b));
}

BOOST_AUTO_TEST_CASE(owner_without_the_log_is_replaced_after_its_lease) {
  TakeoverScene scene(TestPeer{.lacks_log = true});
  scene.a.Advance(kOwnerLease - absl::Seconds(1));
  BOOST_TEST(scene.a.serving() == 0u);
  scene.a.Advance(absl::Seconds(2));
  BOOST_TEST(scene.a.serving() == kAll);
}

BOOST_FIXTURE_TEST_CASE(log_that_comes_back_here_first_takes_nothing_at_once,
                        TakeoverScene) {
  a.log_mode = TestLogMode::kDown;
  a.peers["entry-b"].lacks_log = true;
  a.Advance(absl::Seconds(30));
  a.log_mode = TestLogMode::kUp;
  a.Advance(absl::Seconds(1));
  a.peers["entry-b"].lacks_log = false;
  a.Advance(absl::Seconds(10));
  BOOST_TEST(a.Logged<ShardsClaimed>().size() == kAll);
}

BOOST_FIXTURE_TEST_CASE(log_down_claims_nothing, TakeoverScene) {
  a.log_mode = TestLogMode::kDown;
  a.Advance(absl::Seconds(3));
  KillB();
  const uint64_t appends = a.context.counters().Get(Counter::kLogAppends);
  a.Advance(absl::Seconds(3));
  BOOST_TEST(a.context.counters().Get(Counter::kLogAppends) == appends);
}

// Handing over. -------------------------------------------------------------

BOOST_FIXTURE_TEST_CASE(preferred_entry_gets_its_shards_after_a_second,
                        SecondEntry) {
  a.LinkEntry("entry-c");
  a.Advance(absl::Milliseconds(800));
  BOOST_TEST(OwnedByC().empty());
  a.Advance(absl::Milliseconds(400));
  BOOST_TEST(OwnedByC() == preferred_by_c, boost::test_tools::per_element());
  BOOST_TEST(a.lost == preferred_by_c, boost::test_tools::per_element());
  const auto released = a.SentTo<ShardsReleased>("entry-c");
  BOOST_REQUIRE(released.size() == 1u);
  BOOST_TEST(released[0].shards.size() == preferred_by_c.size());
}

BOOST_FIXTURE_TEST_CASE(preferred_entry_without_a_link_gets_nothing,
                        SecondEntry) {
  // Alive, since it appends.
  for (int step = 0; step < 5; ++step) {
    a.Advance(absl::Seconds(1));
    a.Put(ShardsServed{}, "entry-c#1#" + std::to_string(step));
  }
  BOOST_TEST(OwnedByC().empty());
}

BOOST_FIXTURE_TEST_CASE(preferred_entry_without_the_log_gets_nothing,
                        SecondEntry) {
  a.LinkEntry("entry-c", TestPeer{.lacks_log = true});
  a.Advance(absl::Seconds(3));
  BOOST_TEST(OwnedByC().empty());
  a.Advance(absl::Seconds(7));
  BOOST_TEST(OwnedByC().empty());
}

BOOST_FIXTURE_TEST_CASE(preferred_entry_far_behind_gets_nothing, SecondEntry) {
  for (int record = 0; record < 30; ++record) {
    a.Put(ShardsServed{});
  }
  a.LinkEntry("entry-c", TestPeer{.fold_offset = 2});
  a.Advance(absl::Seconds(10));
  BOOST_TEST(OwnedByC().empty());
}

BOOST_FIXTURE_TEST_CASE(draining_entry_gets_nothing, SecondEntry) {
  a.LinkEntry("entry-c", TestPeer{.draining = true});
  a.Advance(absl::Seconds(10));
  BOOST_TEST(OwnedByC().empty());
}

BOOST_FIXTURE_TEST_CASE(shard_that_has_just_moved_stays_a_second, SecondEntry) {
  a.LinkEntry("entry-c");
  a.Advance(absl::Seconds(2));
  const ShardId shard = preferred_by_c.front();
  const uint64_t epoch = a.control.control().shard(shard).epoch;
  a.Put(ShardsClaimed{a.self(), {{shard, epoch}}});
  a.Advance(absl::Milliseconds(900));
  BOOST_TEST((a.control.control().shard(shard).owner == a.self()));
  a.Advance(absl::Milliseconds(300));
  BOOST_TEST((a.control.control().shard(shard).owner == c));
}

// Draining and leaving. -----------------------------------------------------

BOOST_FIXTURE_TEST_CASE(drain_hands_over_all_then_leaves_then_stops,
                        SecondEntry) {
  a.LinkEntry("entry-c");
  a.idle = false;
  a.Do([&] { a.control.BeginDrain(); });
  a.Advance(kShort);
  BOOST_TEST(OwnedByC().size() == kAll);
  BOOST_TEST(a.Logged<EntryLeft>().empty());
  BOOST_TEST(!a.stopped);
  a.idle = true;
  a.Advance(kShort);
  BOOST_TEST(a.Logged<EntryLeft>().size() == 1u);
  BOOST_TEST(a.stopped);
  BOOST_TEST(!a.MayStartNow());
}

BOOST_FIXTURE_TEST_CASE(drain_of_an_idle_entry_waits_for_its_successors_link,
                        SecondEntry) {
  a.LinkEntry("entry-c");
  a.Unlink("entry-c");  // heard just now, so it will take the shards
  a.Do([&] { a.control.BeginDrain(); });
  a.Advance(absl::Seconds(1));
  BOOST_TEST(a.Logged<EntryLeft>().empty());
  BOOST_TEST(!a.stopped);
  a.LinkEntry("entry-c");
  a.Advance(kShort);
  BOOST_TEST(OwnedByC().size() == kAll);
  BOOST_TEST(a.Logged<EntryLeft>().size() == 1u);
  BOOST_TEST(a.stopped);
}

BOOST_AUTO_TEST_CASE(drain_of_the_only_entry_waits_for_its_callers) {
  ControlHarness entry("entry-a");
  entry.Advance(kShort);
  entry.idle = false;
  entry.Do([&] { entry.control.BeginDrain(); });
  entry.Advance(absl::Seconds(10));
  BOOST_TEST(entry.serving() == kAll);
  BOOST_TEST(!entry.stopped);
  entry.idle = true;
  entry.Advance(kShort);
  BOOST_TEST(entry.Logged<EntryLeft>().size() == 1u);
  BOOST_TEST(entry.stopped);
}

BOOST_AUTO_TEST_CASE(drain_without_the_log_stops_without_its_word) {
  ControlHarness entry("entry-a");
  entry.Advance(kShort);
  entry.log_mode = TestLogMode::kDown;
  entry.Do([&] { entry.control.BeginDrain(); });
  entry.Advance(absl::Seconds(3));
  BOOST_TEST(entry.stopped);
}

BOOST_AUTO_TEST_CASE(another_incarnation_of_the_name_ends_this_one) {
  ControlHarness entry("entry-a");
  entry.Advance(kShort);
  entry.PutEntry("entry-a", 200);
  entry.Advance(kShort);
  BOOST_TEST(!entry.MayStartNow());
  BOOST_TEST(!entry.authority().Serves(0));
  BOOST_TEST(entry.lost.size() == kAll);
  BOOST_TEST(entry.stopped);
  const size_t records = entry.log.size();
  entry.Advance(absl::Seconds(10));
  BOOST_TEST(!entry.MayStartNow());
  BOOST_TEST(entry.log.size() == records);
}

// A lost append of its own EntryJoined may come in after the other one's.
BOOST_AUTO_TEST_CASE(entry_once_replaced_stays_stopped_when_joined_again) {
  ControlHarness entry("entry-a");
  entry.Advance(kShort);
  entry.PutEntry("entry-a", 200);
  entry.PutEntry("entry-a", ControlHarness::kIncarnation);
  entry.Advance(kShort);
  BOOST_TEST(!entry.MayStartNow());
  BOOST_TEST(entry.stopped);
}

BOOST_AUTO_TEST_CASE(former_incarnation_of_the_name_does_not_end_this_one) {
  ControlHarness entry("entry-a");
  entry.PutEntry("entry-a", 50);
  entry.PutClaim({"entry-a", 50});
  entry.Advance(kShort);
  BOOST_TEST(!entry.stopped);
  BOOST_TEST(entry.serving() == kAll);
  BOOST_TEST(entry.authority().EpochOf(0) == 2u);
}

BOOST_AUTO_TEST_CASE(entry_declared_ended_stops_for_good) {
  ControlHarness entry("entry-a");
  entry.Advance(kShort);
  entry.Put(EntryLeft{"entry-a", ControlHarness::kIncarnation});
  entry.Advance(kShort);
  BOOST_TEST(!entry.MayStartNow());
  BOOST_TEST(entry.stopped);
  entry.Advance(absl::Seconds(10));
  BOOST_TEST(entry.Logged<EntryJoined>().size() == 1u);
}

// Shards are not looked at in each tick; a death must show at once all the
// same, also of an entry that was no candidate while it lived.
BOOST_AUTO_TEST_CASE(silent_owner_that_was_draining_is_replaced_within_a_tick) {
  for (int phase = 0; phase < 10; ++phase) {
    TakeoverScene scene;
    ControlHarness& a = scene.a;
    a.peers["entry-b"].draining = true;
    a.Advance(absl::Seconds(3) + phase * 7 * kTickPeriod);
    BOOST_TEST(a.control.Status(a.now).shards_owned == 0u);
    scene.FreezeB();
    while (a.kernel.Find<PeerTable>("peers").IsAlive(scene.b)) {
      a.Advance(kTickPeriod);
    }
    a.Advance(kTickPeriod);
    BOOST_TEST(a.control.Status(a.now).shards_owned == kAll);
  }
}

BOOST_AUTO_TEST_CASE(drain_hands_over_within_two_ticks) {
  for (int phase = 0; phase < 10; ++phase) {
    SecondEntry scene;
    scene.a.LinkEntry("entry-c");
    scene.a.Advance(absl::Seconds(3) + phase * 3 * kTickPeriod);
    BOOST_TEST_REQUIRE(scene.OwnedByC().size() < kAll);
    scene.a.Do([&] { scene.a.control.BeginDrain(); });
    scene.a.Advance(2 * kTickPeriod);
    BOOST_TEST(scene.OwnedByC().size() == kAll);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
