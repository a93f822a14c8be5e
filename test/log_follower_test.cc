// Following the log through its failures, and operators' edits read back.
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "node_limits.h"
#include "takeover_scene.h"

namespace egretswitch::internal {
namespace {

TableRow Row(uint32_t weight) {
  TableRow row;
  row.kind = "search";
  row.weight = weight;
  return row;
}

RowEdited Edit(uint32_t weight, uint64_t expected_version) {
  return {"edit", "operator", expected_version, false, Row(weight)};
}

// entry-a alone, a member that serves everything.
struct Alone {
  Alone() : a("entry-a") {
    a.Advance(absl::Seconds(1));
    a.reads.clear();
  }

  void Submit(OperatorToken token, const RowEdited& edit) {
    a.Do([&] { a.control.edits().OnEdited({token, edit}); });
  }

  uint32_t Weight() const {
    const TableRow* row = a.control.control().FindRow("search");
    return row == nullptr ? 0 : row->weight;
  }

  ControlHarness a;
};

BOOST_FIXTURE_TEST_SUITE(LogFollowerTest, Alone)

// Reading. ------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(first_read_does_not_wait_later_ones_do) {
  ControlHarness entry("entry-a");
  entry.Advance(absl::Milliseconds(10));
  BOOST_REQUIRE(entry.reads.size() >= 2u);
  BOOST_TEST((entry.reads[0].wait == absl::ZeroDuration()));
  BOOST_TEST((entry.reads[1].wait == kLogReadWait));
}

BOOST_AUTO_TEST_CASE(idle_log_is_read_once_a_wait) {
  constexpr size_t kWaits = 10;
  a.Advance(kWaits * kLogReadWait);
  BOOST_TEST(a.reads.size() >= kWaits - 1);
  BOOST_TEST(a.reads.size() <= kWaits + 1);
}

BOOST_AUTO_TEST_CASE(failed_read_is_tried_again_after_a_pause) {
  a.log_mode = TestLogMode::kDown;
  a.Advance(absl::Seconds(2));
  BOOST_TEST(a.reads.size() >= 8u);
  BOOST_TEST(a.reads.size() <= 11u);
}

BOOST_AUTO_TEST_CASE(read_without_a_reply_is_given_up_and_tried_again) {
  while (a.reads.empty()) {
    a.Advance(absl::Milliseconds(10));
  }
  a.log_mode = TestLogMode::kSilent;
  const MonoTime given_up =
      a.reads.back().asked_at + kLogReadWait + absl::Seconds(2);
  a.reads.clear();
  a.Advance(given_up + kLogRetryPeriod - absl::Milliseconds(10) - a.now.mono);
  BOOST_TEST(a.reads.empty());
  a.Advance(absl::Milliseconds(10));
  BOOST_TEST(a.reads.size() == 1u);
}

BOOST_AUTO_TEST_CASE(late_reply_does_not_start_a_second_read) {
  a.log_mode = TestLogMode::kSilent;
  a.Advance(absl::Seconds(5));
  a.reads.clear();
  a.Do([&] {
    a.control.log().OnReadDone({absl::Seconds(1), 0, a.log.size(), {}});
  });
  BOOST_TEST(a.reads.empty());
}

BOOST_AUTO_TEST_CASE(snapshot_over_a_gap_begins_a_new_run_for_peers) {
  LogFollower& log = a.control.log();
  const uint64_t offset = log.control().next_offset() + 3;
  Snapshot snapshot = log.control().MakeSnapshot();
  snapshot.next_offset = offset;
  a.Do([&] { log.OnRelay(LogRelay{{{offset, {"snapshot", snapshot}}}}); });
  BOOST_REQUIRE(log.control().next_offset() == offset + 1);
  const std::vector<LogEntry> records = log.RecordsFrom(offset);
  BOOST_REQUIRE(records.size() == 1u);
  BOOST_TEST(records[0].offset == offset);
}

// Appending. ----------------------------------------------------------------

BOOST_AUTO_TEST_CASE(append_with_a_lost_reply_is_read_back_not_repeated) {
  a.log_mode = TestLogMode::kLoseReply;
  Submit(5, Edit(3, 0));
  a.log_mode = TestLogMode::kUp;
  a.Advance(absl::Seconds(2));
  BOOST_TEST(a.Logged<RowEdited>().size() == 1u);
  BOOST_REQUIRE(a.answers.size() == 1u);
  BOOST_TEST((a.answers[0].outcome == OperatorOutcome::kAccepted));
  BOOST_TEST(a.answers[0].row_version == 1u);
}

BOOST_AUTO_TEST_CASE(append_that_was_lost_is_repeated_under_the_same_id) {
  a.log_mode = TestLogMode::kLoseAppend;
  Submit(5, Edit(3, 0));
  a.log_mode = TestLogMode::kUp;
  const uint64_t before = a.log.size();
  a.Advance(absl::Seconds(2));
  BOOST_TEST(a.Logged<RowEdited>().size() == 1u);
  BOOST_TEST(a.log[before].record.append_id == "entry-a#100#3");
  BOOST_TEST((a.answers.at(0).outcome == OperatorOutcome::kAccepted));
}

BOOST_AUTO_TEST_CASE(append_without_any_reply_is_repeated) {
  a.log_mode = TestLogMode::kSilent;
  Submit(5, Edit(3, 0));
  a.log_mode = TestLogMode::kUp;
  a.Advance(absl::Seconds(6));
  BOOST_TEST(a.Logged<RowEdited>().size() == 1u);
  BOOST_TEST(Weight() == 3u);
}

BOOST_AUTO_TEST_CASE(append_repeated_and_refused_is_still_unknown) {
  a.log_mode = TestLogMode::kLoseAppend;
  Submit(5, Edit(3, 0));
  a.log_mode = TestLogMode::kDown;
  a.Do([&] { a.control.log().OnAppendFailed({"entry-a#100#3", false}); });
  BOOST_TEST(a.answers.empty());
}

BOOST_AUTO_TEST_CASE(both_copies_of_a_repeated_append_take_effect_once) {
  a.log_mode = TestLogMode::kLoseAppend;
  Submit(5, Edit(3, 0));
  a.log_mode = TestLogMode::kUp;
  a.Advance(absl::Seconds(2));
  a.Put(Edit(3, 0), "entry-a#100#3");
  a.Advance(absl::Milliseconds(100));
  BOOST_TEST(a.control.control().rows().at("search").version == 1u);
  BOOST_TEST(a.answers.size() == 1u);
}

// Retention. ----------------------------------------------------------------

BOOST_AUTO_TEST_CASE(new_process_finds_a_snapshot_behind_the_gap) {
  a.PutEntry("entry-z", 9);
  Submit(5, Edit(3, 0));
  a.Advance(absl::Milliseconds(100));
  ControlHarness entry("entry-b");
  const uint64_t covered = a.control.control().next_offset();
  entry.first_kept = covered;
  entry.PutEntry("entry-y", 8);
  entry.Put(a.control.control().MakeSnapshot());
  entry.PutEntry("entry-x", 7);
  entry.Advance(absl::Milliseconds(100));
  const auto& control = entry.control.control();
  BOOST_TEST(control.entries().contains("entry-z"));
  BOOST_TEST(control.entries().contains("entry-y"));
  BOOST_TEST(control.entries().contains("entry-x"));
  BOOST_REQUIRE(control.FindRow("search") != nullptr);
  BOOST_TEST(control.FindRow("search")->weight == 3u);
  BOOST_TEST(control.entries().contains("entry-b"));
}

BOOST_AUTO_TEST_CASE(new_process_without_a_snapshot_does_not_join) {
  ControlHarness entry("entry-b");
  entry.first_kept = 10;
  entry.PutEntry("entry-y", 8);
  entry.Advance(absl::Seconds(5));
  BOOST_TEST(entry.Logged<EntryJoined>().size() == 1u);
  BOOST_TEST(!entry.MayStartNow());
  entry.Put(a.control.control().MakeSnapshot());
  entry.Advance(absl::Seconds(5));
  BOOST_TEST(!entry.MayStartNow());
}

BOOST_AUTO_TEST_CASE(owner_of_shard_0_writes_a_snapshot_after_500_records) {
  while (a.log.size() < 499) {
    a.Put(ShardsServed{});
  }
  a.Advance(absl::Milliseconds(20));
  BOOST_TEST(a.Logged<Snapshot>().empty());
  a.Put(ShardsServed{});
  a.Advance(absl::Milliseconds(20));
  BOOST_TEST(a.Logged<Snapshot>().size() == 1u);
  BOOST_TEST(a.Logged<Snapshot>()[0].next_offset == 500u);
  a.Advance(absl::Seconds(5));
  BOOST_TEST(a.Logged<Snapshot>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(snapshot_is_written_after_ten_minutes_only_if_changed) {
  a.Advance(absl::Minutes(10));
  BOOST_TEST(a.Logged<Snapshot>().size() == 1u);
  a.Advance(absl::Minutes(11));
  BOOST_TEST(a.Logged<Snapshot>().size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(other_entries_write_no_snapshot, TakeoverScene) {
  for (int record = 0; record < 600; ++record) {
    a.Put(ShardsServed{});
  }
  a.Advance(absl::Seconds(1));
  BOOST_TEST(a.Logged<Snapshot>().empty());
}

// Relay. --------------------------------------------------------------------

BOOST_FIXTURE_TEST_CASE(peer_behind_and_without_the_log_is_given_records,
                        TakeoverScene) {
  a.peers["entry-b"].lacks_log = true;
  a.peers["entry-b"].fold_offset = 5;
  a.Advance(kPeerPingPeriod);
  const auto relays = a.SentTo<LogRelay>("entry-b");
  BOOST_REQUIRE(!relays.empty());
  BOOST_TEST(relays[0].entries.front().offset == 5u);
  BOOST_TEST(relays[0].entries.back().offset + 1 ==
             a.control.control().next_offset());
}

// An entry with an append of its own open never says that it lacks the log.
BOOST_FIXTURE_TEST_CASE(
    peer_that_stays_behind_is_given_records_whatever_it_says,
    TakeoverScene) {
  a.peers["entry-b"].fold_offset = 5;
  a.Advance(3 * kPeerPingPeriod);
  const auto relays = a.SentTo<LogRelay>("entry-b");
  BOOST_REQUIRE(!relays.empty());
  BOOST_TEST(relays[0].entries.front().offset == 5u);
  BOOST_TEST(relays[0].entries.back().offset + 1 ==
             a.control.control().next_offset());
}

BOOST_FIXTURE_TEST_CASE(peer_behind_in_one_status_is_given_nothing,
                        TakeoverScene) {
  a.peers["entry-b"].fold_offset = 5;
  a.Advance(kPeerPingPeriod);
  a.peers["entry-b"].fold_offset.reset();
  a.Advance(absl::Seconds(1));
  BOOST_TEST(a.SentTo<LogRelay>("entry-b").empty());
}

// Reading a log that grows, it is behind in each status and yet up to date.
BOOST_FIXTURE_TEST_CASE(peer_that_follows_a_growing_log_is_given_nothing,
                        TakeoverScene) {
  for (int step = 0; step < 100; ++step) {
    a.Put(ShardsServed{});
    a.peers["entry-b"].fold_offset = a.control.control().next_offset();
    a.Advance(absl::Milliseconds(50));
  }
  BOOST_TEST(a.SentTo<LogRelay>("entry-b").empty());
}

BOOST_FIXTURE_TEST_CASE(relayed_claim_takes_the_shard_away, TakeoverScene) {
  KillB();
  a.Advance(absl::Milliseconds(100));
  a.log_mode = TestLogMode::kDown;
  a.LinkEntry("entry-c");
  const uint64_t next = a.control.control().next_offset();
  std::vector<LogEntry> records;
  records.push_back({next, {"x", EntryJoined{"entry-c", 1, "addr", "", ""}}});
  records.push_back({next + 1, {"y", ShardsClaimed{{"entry-c", 1}, {{2, 2}}}}});
  a.Arrive("entry-c", 1, LogRelay{records});
  BOOST_TEST(!a.authority().Serves(2));
  BOOST_TEST(a.SentTo<ShardsReleased>("entry-c").size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(relayed_records_beyond_a_gap_change_nothing,
                        TakeoverScene) {
  const uint64_t next = a.control.control().next_offset();
  a.Arrive("entry-b", 1,
           LogRelay{{{next + 1, {"x", EntryLeft{"entry-b", 1}}}}});
  BOOST_TEST(a.control.control().entries().contains("entry-b"));
}

// Operators' edits. ---------------------------------------------------------

BOOST_AUTO_TEST_CASE(first_edit_in_log_order_wins_the_other_is_superseded) {
  a.Put(Edit(7, 0), "other");
  Submit(5, Edit(3, 0));
  a.Advance(absl::Milliseconds(100));
  BOOST_TEST(Weight() == 7u);
  BOOST_REQUIRE(a.answers.size() == 1u);
  BOOST_TEST((a.answers[0].outcome == OperatorOutcome::kSuperseded));
  BOOST_TEST(a.answers[0].row_version == 1u);
  BOOST_TEST(a.table_changes == 1);
}

BOOST_AUTO_TEST_CASE(edit_is_answered_only_when_read_back) {
  a.log_mode = TestLogMode::kSilent;
  Submit(5, Edit(3, 0));
  a.Do([&] { a.control.log().OnAppendDone({"entry-a#100#3", 2}); });
  BOOST_TEST(a.answers.empty());
}

BOOST_AUTO_TEST_CASE(edit_out_of_range_is_refused_with_the_column) {
  Submit(5, Edit(5000, 0));
  BOOST_REQUIRE(a.answers.size() == 1u);
  BOOST_TEST((a.answers[0].outcome == OperatorOutcome::kInvalid));
  BOOST_TEST(a.answers[0].detail.find("weight") != std::string::npos);
  BOOST_TEST(a.Logged<RowEdited>().empty());
}

BOOST_AUTO_TEST_CASE(edit_with_the_log_lacking_is_refused_at_once) {
  a.log_mode = TestLogMode::kDown;
  a.Advance(absl::Seconds(3));
  Submit(5, Edit(3, 0));
  BOOST_REQUIRE(a.answers.size() == 1u);
  BOOST_TEST((a.answers[0].outcome == OperatorOutcome::kNotAppended));
  a.log_mode = TestLogMode::kUp;
  a.Advance(absl::Seconds(5));
  BOOST_TEST(a.Logged<RowEdited>().empty());
}

BOOST_AUTO_TEST_CASE(edit_with_the_log_silent_is_refused_at_once) {
  a.log_mode = TestLogMode::kSilent;
  a.Advance(absl::Seconds(6));
  Submit(5, Edit(3, 0));
  BOOST_REQUIRE(a.answers.size() == 1u);
  BOOST_TEST((a.answers[0].outcome == OperatorOutcome::kNotAppended));
}

BOOST_AUTO_TEST_CASE(edit_without_word_from_the_log_is_answered_unknown) {
  a.log_mode = TestLogMode::kSilent;
  Submit(5, Edit(3, 0));
  a.Advance(absl::Milliseconds(4990));
  BOOST_TEST(a.answers.empty());
  a.Advance(absl::Milliseconds(10));
  BOOST_REQUIRE(a.answers.size() == 1u);
  BOOST_TEST((a.answers[0].outcome == OperatorOutcome::kUnknown));
  a.log_mode = TestLogMode::kUp;
  a.Advance(absl::Seconds(10));
  BOOST_TEST(a.answers.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(living_entry_is_not_declared_ended, TakeoverScene) {
  a.Do([&] { a.control.edits().OnDeclaredEnded({5, "entry-b"}); });
  a.Do([&] { a.control.edits().OnDeclaredEnded({6, "entry-q"}); });
  a.Advance(absl::Milliseconds(100));
  BOOST_REQUIRE(a.answers.size() == 2u);
  BOOST_TEST((a.answers[0].outcome == OperatorOutcome::kInvalid));
  BOOST_TEST((a.answers[1].outcome == OperatorOutcome::kUnknownEntry));
  BOOST_TEST(a.Logged<EntryLeft>().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
