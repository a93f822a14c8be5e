// Which entries count as alive, also between islands that both reach the log,
// and how long what is known of an entry is kept.
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "node_limits.h"
#include "takeover_scene.h"

namespace egretswitch::internal {
namespace {

BOOST_AUTO_TEST_SUITE(EntryLiveness)

// Signs of life in the log. ------------------------------------------------

const absl::Duration kShown = absl::Seconds(2) + kSuspectAfter;

// entry-b is cut off from entry-a; both reach the log.
struct Island : TakeoverScene {
  Island() { a.peers["entry-b"].answers = false; }

  void PutByB(RecordBody body) {
    a.Put(std::move(body), "entry-b#1#" + std::to_string(++appended));
  }
  // Time until entry-a takes the shards of entry-b, up to 10 s.
  absl::Duration UntilClaimed() {
    const MonoTime start = a.now.mono;
    while (owned() == 0 && a.now.mono - start < absl::Seconds(10)) {
      a.Advance(absl::Milliseconds(10));
    }
    return a.now.mono - start;
  }
  int OwnSigns() const {
    const auto signs = a.Logged<EntryAlive>();
    return static_cast<int>(std::count_if(
        signs.begin(), signs.end(),
        [this](const auto& sign) { return sign.entry == a.self(); }));
  }
  uint32_t owned() const { return a.control.Status(a.now).shards_owned; }

  int appended = 0;
};

BOOST_FIXTURE_TEST_CASE(owner_that_shows_life_in_the_log_is_not_replaced,
                        Island) {
  for (int record = 0; record < 10; ++record) {
    PutByB(EntryAlive{b});
    a.Advance(absl::Seconds(2));
    BOOST_TEST(owned() == 0u);
  }
  const absl::Duration until = UntilClaimed();
  BOOST_TEST((until >= kShown - absl::Seconds(2)));
  BOOST_TEST((until <= kShown - absl::Seconds(2) + absl::Milliseconds(100)));
}

BOOST_FIXTURE_TEST_CASE(owner_alive_by_the_log_has_been_alive_all_along,
                        Island) {
  const PeerTable& peers = a.kernel.Find<PeerTable>("peers");
  const MonoTime since = peers.AliveSince(b);
  for (int record = 0; record < 5; ++record) {
    PutByB(EntryAlive{b});
    a.Advance(absl::Seconds(2));
  }
  BOOST_TEST((peers.AliveSince(b) == since));
}

// Only a sign of life says that more will follow.
BOOST_FIXTURE_TEST_CASE(other_record_of_a_silent_owner_buys_no_more_time,
                        Island) {
  a.Advance(absl::Seconds(1));
  PutByB(ShardsServed{});
  const absl::Duration until = UntilClaimed();
  BOOST_TEST((until >= kSuspectAfter));
  BOOST_TEST((until <= kSuspectAfter + absl::Milliseconds(100)));
}

BOOST_FIXTURE_TEST_CASE(sign_of_life_of_an_ended_incarnation_is_none, Island) {
  PutByB(EntryAlive{b});
  a.Unlink("entry-b");
  a.Refuse("entry-b");
  PutByB(EntryAlive{b});
  BOOST_TEST((UntilClaimed() <= absl::Milliseconds(100)));
}

// Both islands reach the log: entry-b shows life there too.
BOOST_FIXTURE_TEST_CASE(entry_that_misses_another_shows_life_each_second,
                        Island) {
  a.Advance(kSuspectAfter / 2 - kPeerPingPeriod);
  BOOST_TEST(OwnSigns() == 0);
  for (int second = 0; second < 60; ++second) {
    PutByB(EntryAlive{b});
    a.Advance(absl::Seconds(1));
  }
  BOOST_TEST(OwnSigns() >= 58);
  BOOST_TEST(OwnSigns() <= 60);
}

BOOST_FIXTURE_TEST_CASE(silently_lost_member_stops_the_signs_of_life, Island) {
  a.Advance(kSuspectAfter / 2 + kOwnerLease + absl::Seconds(2));
  BOOST_TEST(OwnSigns() >= 6);
  BOOST_TEST(OwnSigns() <= 7);
  const int shown = OwnSigns();
  a.Advance(absl::Minutes(5));
  BOOST_TEST(OwnSigns() == shown);
}

// entry-b had lost the log, or its sight of entry-a was cut later.
BOOST_FIXTURE_TEST_CASE(sign_of_life_after_long_silence_is_answered_at_once,
                        Island) {
  a.Advance(absl::Minutes(1));
  const int before = OwnSigns();
  PutByB(EntryAlive{b});
  a.Advance(absl::Milliseconds(50));
  BOOST_TEST(OwnSigns() == before + 1);
  a.Advance(absl::Minutes(1));
  BOOST_TEST(OwnSigns() <= before + 6);
}

// While the log was away nobody could show life, so silence in it says nothing.
BOOST_FIXTURE_TEST_CASE(returned_log_lets_the_others_show_life_before_a_claim,
                        Island) {
  a.log_mode = TestLogMode::kDown;
  a.Advance(absl::Minutes(1));
  a.log_mode = TestLogMode::kUp;
  const int before = OwnSigns();
  a.Advance(absl::Seconds(1));
  BOOST_TEST(OwnSigns() >= before + 1);
  BOOST_TEST(owned() == 0u);
  for (int second = 0; second < 10; ++second) {
    PutByB(EntryAlive{b});
    a.Advance(absl::Seconds(1));
    BOOST_TEST(owned() == 0u);
  }
  BOOST_TEST((UntilClaimed() <= kShown));
}

// Hearsay keeps entry-b alive here, but entry-b may have nobody to tell it that
// entry-a is.
BOOST_FIXTURE_TEST_CASE(entry_that_hears_another_by_hearsay_shows_life,
                        Island) {
  a.PutEntry("entry-c");
  a.LinkEntry("entry-c");
  for (int step = 0; step < 10; ++step) {
    a.Advance(absl::Milliseconds(300));
    PeerPing ping;
    ping.status.heard = {HeardPeer{"entry-b", 1, 0}};
    a.Arrive("entry-c", 1, ping);
  }
  BOOST_TEST(!a.Logged<EntryAlive>().empty());
}

BOOST_FIXTURE_TEST_CASE(entry_that_hears_all_others_appends_no_sign_of_life,
                        TakeoverScene) {
  a.Advance(absl::Seconds(20));
  BOOST_TEST(a.Logged<EntryAlive>().empty());
}

BOOST_FIXTURE_TEST_CASE(entry_that_misses_only_the_ended_appends_none,
                        TakeoverScene) {
  KillB();
  a.Advance(absl::Seconds(20));
  BOOST_TEST(a.Logged<EntryAlive>().empty());
}

BOOST_FIXTURE_TEST_CASE(sign_of_life_of_unknown_outcome_is_not_repeated,
                        Island) {
  a.log_mode = TestLogMode::kLoseReply;
  a.Advance(absl::Milliseconds(1400));
  BOOST_TEST(a.Logged<EntryAlive>().size() == 1u);
  a.log_mode = TestLogMode::kSilent;
  a.Advance(absl::Seconds(10));
  BOOST_TEST(a.Logged<EntryAlive>().size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(entry_that_has_stopped_shows_no_life, Island) {
  a.PutEntry("entry-a", 200);
  a.Advance(absl::Seconds(5));
  BOOST_TEST(a.stopped);
  BOOST_TEST(a.Logged<EntryAlive>().empty());
}

// Members. ------------------------------------------------------------------

// Its own join, repeated after a lost reply, must not bring it back or be tried
// for ever.
BOOST_AUTO_TEST_CASE(entry_declared_ended_behind_a_gap_stops_and_stays_out) {
  ControlHarness entry("entry-a");
  ControlState writer(ControlHarness::kShards);
  writer.Apply({0,
                {"x", EntryJoined{"entry-a", ControlHarness::kIncarnation,
                                  "127.0.0.1:7000", "", ""}}});
  writer.Apply({1, {"y", EntryLeft{"entry-a", ControlHarness::kIncarnation}}});
  entry.first_kept = 2;
  entry.Put(writer.MakeSnapshot());
  entry.Advance(absl::Seconds(5));
  BOOST_TEST(entry.stopped);
  BOOST_TEST(!entry.MayStartNow());
  BOOST_TEST(entry.Logged<EntryJoined>().size() == 1u);
}

// What is known of ended incarnations. --------------------------------------

// entry-b was replaced by its next incarnation, which took all its shards and
// serves them: nothing refers to the former one any more.
struct ReplacedB : TakeoverScene {
  ReplacedB() {
    Replace(1);
    a.Put(ShardsServed{{{0, 2}, {1, 2}, {2, 2}, {3, 2}}});
    a.Advance(absl::Milliseconds(50));
  }

  void Replace(uint64_t expected_epoch) {
    a.Unlink("entry-b");
    a.PutEntry("entry-b", 2);
    std::vector<ShardClaim> claims;
    for (ShardId shard = 0; shard < ControlHarness::kShards; ++shard) {
      claims.push_back({shard, expected_epoch});
    }
    a.Put(ShardsClaimed{{"entry-b", 2}, claims});
    a.LinkEntry("entry-b", TestPeer{.incarnation = 2});
    a.Advance(absl::Milliseconds(50));
  }

  bool Remembers(const EntryId& id) {
    return peers().EndKnownSince(id).has_value();
  }
  PeerTable& peers() { return a.kernel.Find<PeerTable>("peers"); }
};

BOOST_FIXTURE_TEST_CASE(ended_incarnation_is_forgotten_after_ten_minutes,
                        ReplacedB) {
  BOOST_TEST(Remembers(b));
  a.Advance(absl::Minutes(9));
  BOOST_TEST(Remembers(b));
  a.Advance(absl::Minutes(3));
  BOOST_TEST(!Remembers(b));
  BOOST_TEST(peers().IsAlive({"entry-b", 2}));
}

BOOST_FIXTURE_TEST_CASE(ended_member_is_not_forgotten, TakeoverScene) {
  a.log_mode = TestLogMode::kDown;
  a.Advance(absl::Seconds(2));
  KillB();
  a.Advance(absl::Minutes(12));
  PeerTable& peers = a.kernel.Find<PeerTable>("peers");
  BOOST_TEST(peers.EndKnownSince(b).has_value());
}

BOOST_FIXTURE_TEST_CASE(ended_former_owner_is_not_forgotten, TakeoverScene) {
  a.PutEntry("entry-b", 2);
  a.Advance(absl::Milliseconds(20));
  a.PutClaim({"entry-b", 2});
  a.Advance(absl::Minutes(12));
  PeerTable& peers = a.kernel.Find<PeerTable>("peers");
  BOOST_TEST(peers.EndKnownSince(b).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
