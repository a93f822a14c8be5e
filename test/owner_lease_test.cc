// How long an entry may start tasks, and on which evidence (docs/DESIGN.md,
// rule 5).
#include <boost/test/unit_test.hpp>

#include "node_limits.h"
#include "takeover_scene.h"

namespace egretswitch::internal {
namespace {

constexpr absl::Duration kOneMs = absl::Milliseconds(1);

// A proof that comes this long after the ping of the last pong is too late.
const absl::Duration kProofBound = kSuspectAfter - kDriftMargin;

// entry-b answers and lacks the log from now on, and so does entry-a.
struct LogDown : TakeoverScene {
  LogDown() {
    a.log_mode = TestLogMode::kDown;
    a.peers["entry-b"].lacks_log = true;
  }

  // Longer than any lease from before the outage.
  void Outlast() { a.Advance(kOwnerLease + absl::Seconds(3)); }

  // entry-b answers one more ping, is silent, and is proved ended at `age`
  // after that ping was sent; the lease lasts all the time.
  void EndAfterLastPing(absl::Duration age) {
    Outlast();
    FreezeB();
    const MonoTime asked =
        a.kernel.Find<PeerTable>("peers").EvidenceOf(b)->asked_at;
    a.Advance(asked + age - a.now.mono);
    BOOST_TEST(a.control.Status(a.now).may_start_tasks);
    KillB();
    BOOST_TEST(a.ended.size() == 1u);
    Outlast();
  }
};

BOOST_AUTO_TEST_SUITE(OwnerLeaseTest)

// entry-b has the log all the time, so that only reads give evidence.
BOOST_FIXTURE_TEST_CASE(permission_that_outlives_the_lease_may_not_be_used,
                        TakeoverScene) {
  a.log_mode = TestLogMode::kSilent;
  a.Advance(absl::Seconds(1));
  const MonoTime last_use =
      a.control.log().last_success_asked() + kOwnerLease - kPermissionLife;
  BOOST_TEST(a.authority().MayStart(last_use));
  BOOST_TEST(!a.authority().MayStart(last_use + kOneMs));
}

BOOST_FIXTURE_TEST_CASE(lease_counts_from_the_asking_not_the_answer,
                        TakeoverScene) {
  const MonoTime asked = a.reads.back().asked_at;
  a.log_mode = TestLogMode::kSilent;
  a.Advance(absl::Seconds(2));
  const uint64_t head = a.log.size();
  a.Do([&] { a.control.log().OnReadDone({asked, 0, head, {}}); });
  const MonoTime last_use = asked + kOwnerLease - kPermissionLife;
  BOOST_TEST(a.authority().MayStart(last_use));
  BOOST_TEST(!a.authority().MayStart(last_use + kOneMs));
}

BOOST_FIXTURE_TEST_CASE(read_that_did_not_reach_the_head_is_no_evidence,
                        TakeoverScene) {
  a.log_mode = TestLogMode::kSilent;
  a.Advance(kOwnerLease);
  BOOST_TEST(!a.MayStartNow());
  const uint64_t head = a.log.size() + 1;
  a.Do([&] { a.control.log().OnReadDone({a.now.mono, 0, head, {}}); });
  BOOST_TEST(!a.MayStartNow());
}

BOOST_AUTO_TEST_CASE(only_entry_log_down_goes_on) {
  ControlHarness entry("entry-a");
  entry.Advance(absl::Milliseconds(500));
  entry.log_mode = TestLogMode::kDown;
  entry.Advance(absl::Seconds(30));
  BOOST_TEST(entry.MayStartNow());
}

BOOST_FIXTURE_TEST_CASE(all_peers_lacking_the_log_keep_the_lease, LogDown) {
  Outlast();
  BOOST_TEST(a.MayStartNow());
}

BOOST_FIXTURE_TEST_CASE(peer_that_has_the_log_does_not_keep_the_lease,
                        LogDown) {
  a.peers["entry-b"].lacks_log = false;
  Outlast();
  BOOST_TEST(!a.MayStartNow());
}

BOOST_FIXTURE_TEST_CASE(peer_with_another_fold_does_not_keep_the_lease,
                        LogDown) {
  a.peers["entry-b"].fold_offset = a.control.control().next_offset() + 1;
  Outlast();
  BOOST_TEST(!a.MayStartNow());
  a.peers["entry-b"].fold_offset = a.control.control().next_offset();
  a.Advance(absl::Seconds(1));
  BOOST_TEST(a.MayStartNow());
}

BOOST_FIXTURE_TEST_CASE(peer_with_a_lower_fold_does_not_keep_the_lease,
                        LogDown) {
  a.peers["entry-b"].fold_offset = a.control.control().next_offset() - 1;
  Outlast();
  BOOST_TEST(!a.MayStartNow());
}

BOOST_FIXTURE_TEST_CASE(silent_peer_does_not_keep_the_lease, LogDown) {
  FreezeB();
  Outlast();
  BOOST_TEST(!a.MayStartNow());
}

BOOST_FIXTURE_TEST_CASE(late_answer_counts_from_its_ping, LogDown) {
  FreezeB();
  Outlast();
  const uint64_t sequence = a.SentTo<PeerPing>("entry-b").back().sequence;
  a.Advance(kOwnerLease - kPermissionLife + absl::Milliseconds(10));
  PeerPong pong{sequence, {}};
  pong.status.lacks_log = true;
  pong.status.fold_offset = a.control.control().next_offset();
  a.Arrive("entry-b", 1, pong);
  BOOST_TEST(a.control.Status(a.now).may_start_tasks == false);
}

BOOST_FIXTURE_TEST_CASE(ping_of_a_peer_is_no_answer, LogDown) {
  FreezeB();
  for (int step = 0; step < 30; ++step) {
    a.Advance(absl::Milliseconds(300));
    PeerPing ping;
    ping.status.lacks_log = true;
    ping.status.fold_offset = a.control.control().next_offset();
    a.Arrive("entry-b", 1, ping);
  }
  BOOST_TEST(!a.MayStartNow());
}

BOOST_FIXTURE_TEST_CASE(answer_of_another_incarnation_does_not_keep_the_lease,
                        LogDown) {
  Outlast();
  FreezeB();
  a.Advance(kOwnerLease);
  a.Unlink("entry-b");
  a.LinkEntry("entry-b", TestPeer{.incarnation = 2, .lacks_log = true});
  a.Advance(absl::Seconds(2));
  BOOST_TEST(!a.MayStartNow());
}

BOOST_FIXTURE_TEST_CASE(one_peer_of_two_does_not_keep_the_lease, LogDown) {
  a.log_mode = TestLogMode::kUp;
  a.PutEntry("entry-c");
  a.Advance(absl::Milliseconds(50));
  a.log_mode = TestLogMode::kDown;
  Outlast();
  BOOST_TEST(!a.MayStartNow());
  a.LinkEntry("entry-c", TestPeer{.lacks_log = true});
  a.Advance(absl::Milliseconds(400));
  BOOST_TEST(a.MayStartNow());
}

BOOST_FIXTURE_TEST_CASE(oldest_answer_dates_the_lease, LogDown) {
  a.log_mode = TestLogMode::kUp;
  a.PutEntry("entry-c");
  a.LinkEntry("entry-c", TestPeer{.lacks_log = true});
  a.Advance(absl::Milliseconds(50));
  a.log_mode = TestLogMode::kDown;
  Outlast();
  a.peers["entry-c"].answers = false;
  a.Advance(kOwnerLease - kPermissionLife + kPeerPingPeriod);
  BOOST_TEST(!a.MayStartNow());
}

// Proofs of an end. ---------------------------------------------------------

BOOST_FIXTURE_TEST_CASE(end_proved_during_the_lease_counts, LogDown) {
  Outlast();
  KillB();
  Outlast();
  BOOST_TEST(a.MayStartNow());
}

BOOST_FIXTURE_TEST_CASE(end_proved_after_the_lease_does_not_count, LogDown) {
  FreezeB();
  Outlast();
  KillB();
  BOOST_TEST(a.ended.size() == 1u);
  a.Advance(absl::Seconds(1));
  BOOST_TEST(!a.MayStartNow());
}

BOOST_FIXTURE_TEST_CASE(end_proved_soon_after_the_last_ping_counts, LogDown) {
  EndAfterLastPing(kProofBound - kOneMs);
  BOOST_TEST(a.MayStartNow());
}

// In the meantime entry-b may have got the log, taken this entry for dead,
// claimed its shards, started tasks and ended.
BOOST_FIXTURE_TEST_CASE(end_proved_long_after_the_last_ping_does_not_count,
                        LogDown) {
  EndAfterLastPing(kProofBound);
  BOOST_TEST(!a.MayStartNow());
}

BOOST_FIXTURE_TEST_CASE(end_of_a_peer_that_had_the_log_does_not_count,
                        LogDown) {
  Outlast();
  a.peers["entry-b"].lacks_log = false;
  a.Advance(kPeerPingPeriod);
  KillB();
  Outlast();
  BOOST_TEST(!a.MayStartNow());
}

BOOST_FIXTURE_TEST_CASE(end_of_a_peer_with_another_fold_does_not_count,
                        LogDown) {
  Outlast();
  a.peers["entry-b"].fold_offset = a.control.control().next_offset() + 1;
  a.Advance(kPeerPingPeriod);
  KillB();
  Outlast();
  BOOST_TEST(!a.MayStartNow());
}

BOOST_FIXTURE_TEST_CASE(end_of_a_peer_that_never_answered_does_not_count,
                        TakeoverScene) {
  a.PutEntry("entry-c");
  a.LinkEntry("entry-c", TestPeer{.answers = false});
  a.Advance(absl::Milliseconds(50));
  a.log_mode = TestLogMode::kDown;
  a.peers["entry-b"].lacks_log = true;
  a.Unlink("entry-c");
  a.Refuse("entry-c");
  a.Advance(absl::Seconds(10));
  BOOST_TEST(!a.MayStartNow());
}

// What entry-b said stays good when this entry then folds more than it had.
BOOST_FIXTURE_TEST_CASE(end_counts_although_this_entry_has_folded_more_since,
                        LogDown) {
  Outlast();
  const LogEntry relayed{a.control.control().next_offset(),
                         {"entry-b#1#9", ShardsServed{}}};
  a.Arrive("entry-b", 1, LogRelay{{relayed}});
  KillB();
  Outlast();
  BOOST_TEST(a.MayStartNow());
}

// A claim of this entry for entry-b may be in the log: entry-b could have read
// it, taken the shards over and ended, all within the bound.
BOOST_AUTO_TEST_CASE(end_proved_with_an_own_claim_unknown_does_not_count) {
  ControlHarness a("entry-a");
  a.Advance(absl::Seconds(3));
  a.PutEntry("entry-c");
  a.LinkEntry("entry-c");
  a.Advance(absl::Milliseconds(20));
  a.log_mode = TestLogMode::kLoseAppend;
  a.Advance(absl::Milliseconds(1500));
  a.log_mode = TestLogMode::kDown;
  a.peers["entry-c"].lacks_log = true;
  a.Advance(absl::Seconds(10));
  BOOST_TEST(!a.control.log().SaysLacking());
  BOOST_TEST(a.MayStartNow());
  a.Unlink("entry-c");
  a.Refuse("entry-c");
  a.Advance(absl::Seconds(10));
  BOOST_TEST(!a.MayStartNow());
}

BOOST_FIXTURE_TEST_CASE(log_back_gives_the_lease_back, LogDown) {
  FreezeB();
  Outlast();
  a.log_mode = TestLogMode::kUp;
  a.Advance(absl::Milliseconds(300));
  BOOST_TEST(a.MayStartNow());
}

BOOST_FIXTURE_TEST_CASE(records_from_a_peer_are_no_evidence, LogDown) {
  FreezeB();
  Outlast();
  const LogEntry relayed{a.control.control().next_offset(),
                         {"entry-b#1#9", ShardsServed{}}};
  a.Arrive("entry-b", 1, LogRelay{{relayed}});
  BOOST_TEST(a.control.control().next_offset() == relayed.offset + 1);
  BOOST_TEST(!a.MayStartNow());
}

// What this entry says of itself. -------------------------------------------

BOOST_FIXTURE_TEST_CASE(entry_with_an_idle_log_never_says_it_lacks_it,
                        TakeoverScene) {
  a.Advance(absl::Seconds(10));
  for (const PeerPing& ping : a.SentTo<PeerPing>("entry-b")) {
    BOOST_TEST(!ping.status.lacks_log);
  }
}

BOOST_FIXTURE_TEST_CASE(entry_says_it_lacks_the_log_after_a_while, LogDown) {
  const MonoTime asked = a.control.log().last_success_asked();
  a.Advance(asked + kLogLackingAfter - a.now.mono);
  a.sent.clear();
  BOOST_TEST(!a.control.log().SaysLacking());
  a.Advance(absl::Milliseconds(400));
  BOOST_REQUIRE(!a.SentTo<PeerPing>("entry-b").empty());
  BOOST_TEST(a.SentTo<PeerPing>("entry-b").back().status.lacks_log);
}

BOOST_FIXTURE_TEST_CASE(read_that_is_late_says_the_log_is_lacking,
                        TakeoverScene) {
  a.log_mode = TestLogMode::kSilent;
  a.Advance(absl::Milliseconds(10));
  const MonoTime asked = a.reads.back().asked_at;
  a.Advance(asked + kLogLackingAfter + absl::Milliseconds(20) - a.now.mono);
  BOOST_TEST((a.reads.back().asked_at == asked));
  BOOST_TEST(a.control.log().SaysLacking());
}

BOOST_FIXTURE_TEST_CASE(entry_with_a_log_that_hangs_says_it_lacks_it, LogDown) {
  a.log_mode = TestLogMode::kSilent;
  a.Advance(absl::Seconds(4));
  for (int step = 0; step < 500; ++step) {
    a.Advance(absl::Milliseconds(10));
    BOOST_TEST(a.control.log().SaysLacking());
  }
}

BOOST_FIXTURE_TEST_CASE(entry_with_an_append_outstanding_does_not_say_it,
                        TakeoverScene) {
  a.log_mode = TestLogMode::kLoseAppend;
  KillB();
  a.Advance(absl::Milliseconds(10));
  a.log_mode = TestLogMode::kDown;
  a.Advance(absl::Seconds(10));
  BOOST_TEST(!a.control.log().Answers());
  BOOST_TEST(!a.control.log().SaysLacking());
}

// Neither can give a shard to anyone or take one away.
BOOST_FIXTURE_TEST_CASE(entry_with_an_edit_outstanding_says_it, TakeoverScene) {
  a.log_mode = TestLogMode::kLoseAppend;
  TableRow row;
  row.kind = "search";
  a.Do([&] {
    a.control.edits().OnEdited({5, {"edit", "operator", 0, false, row}});
  });
  a.log_mode = TestLogMode::kDown;
  a.Advance(absl::Seconds(10));
  BOOST_TEST(a.control.log().SaysLacking());
}

BOOST_FIXTURE_TEST_CASE(entry_with_its_leave_outstanding_does_not_say_it,
                        TakeoverScene) {
  a.log_mode = TestLogMode::kLoseAppend;
  a.Do([&] { a.control.log().Append(EntryLeft{"entry-b", 1}); });
  a.log_mode = TestLogMode::kDown;
  a.Advance(absl::Seconds(10));
  BOOST_TEST(!a.control.log().SaysLacking());
}

BOOST_AUTO_TEST_CASE(entry_with_its_join_outstanding_does_not_say_it) {
  ControlHarness a("entry-a");
  a.log_mode = TestLogMode::kLoseAppend;
  a.Advance(absl::Milliseconds(20));
  a.log_mode = TestLogMode::kDown;
  a.Advance(absl::Seconds(10));
  BOOST_TEST(!a.control.log().Answers());
  BOOST_TEST(!a.control.log().SaysLacking());
}

BOOST_FIXTURE_TEST_CASE(
    entry_with_an_append_written_but_not_read_does_not_say_it,
    TakeoverScene) {
  a.log_mode = TestLogMode::kSilent;
  a.Advance(absl::Milliseconds(10));
  KillB();
  a.Advance(absl::Milliseconds(10));
  const std::string id = "entry-a#100#2";
  a.Do([&] { a.control.log().OnAppendDone({id, 1000}); });
  a.Advance(absl::Seconds(10));
  BOOST_TEST(!a.control.log().Answers());
  BOOST_TEST(!a.control.log().SaysLacking());
}

BOOST_FIXTURE_TEST_CASE(log_outage_notes_each_change_of_state_once,
                        TakeoverScene) {
  using Events = std::vector<std::string>;
  BOOST_TEST((a.TakeNoted() == Events{"log answers", "owner lease held"}));
  a.log_mode = TestLogMode::kDown;
  a.Advance(kLogLackingAfter + kLogReadWait);
  BOOST_TEST((a.TakeNoted() == Events{"log lost"}));
  a.Advance(kOwnerLease);
  BOOST_TEST((a.TakeNoted() == Events{"owner lease lapsed"}));
  a.Advance(absl::Seconds(5));
  BOOST_TEST(a.TakeNoted().empty());
  a.log_mode = TestLogMode::kUp;
  a.Advance(absl::Seconds(2));
  BOOST_TEST((a.TakeNoted() == Events{"log answers", "owner lease held"}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
