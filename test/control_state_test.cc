// Proves that the fold of the control stream decides every race by log order
// and never goes back.
#include "control_state.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>

namespace egretswitch::internal {
namespace {

constexpr uint32_t kShards = 4;
const EntryId kEntryA{"entry-a", 1};
const EntryId kEntryB{"entry-b", 2};
const EntryId kEntryC{"entry-c", 3};

struct ControlStateFixture {
  ControlStateFixture() {
    Append(Joined(kEntryA));
    Append(Joined(kEntryB));
    Append(Joined(kEntryC));
  }

  static EntryJoined Joined(const EntryId& id) {
    return EntryJoined{id.name, id.incarnation, "127.0.0.1:7001", "dc1", "r1"};
  }

  static ShardsClaimed Claim(const EntryId& owner,
                             ShardId shard,
                             uint64_t epoch) {
    return ShardsClaimed{owner, {{shard, epoch}}};
  }

  static RowEdited Edit(const std::string& kind,
                        uint64_t version,
                        uint32_t weight) {
    TableRow row;
    row.kind = kind;
    row.weight = weight;
    return RowEdited{"edit", "operator", version, false, row};
  }

  FoldVerdict Append(RecordBody body) {
    m_log.push_back({m_log.size(), {"id", std::move(body)}});
    return m_state.Apply(m_log.back());
  }

  // The current incarnation of the entry, 0 when it is no member.
  uint64_t Incarnation(const std::string& name) const {
    const auto it = m_state.entries().find(name);
    return it == m_state.entries().end() ? 0 : it->second.joined.incarnation;
  }

  ControlState m_state{kShards};
  std::vector<LogEntry> m_log;
};

BOOST_FIXTURE_TEST_SUITE(ControlStateTest, ControlStateFixture)

BOOST_AUTO_TEST_CASE(
    claim_of_the_current_epoch_gives_the_shard_under_the_next) {
  BOOST_TEST((Append(Claim(kEntryA, 1, 0)) == FoldVerdict::kAccepted));
  BOOST_TEST(m_state.shard(1).epoch == 1u);
  BOOST_TEST((m_state.shard(1).owner == kEntryA));
}

BOOST_AUTO_TEST_CASE(second_claim_of_the_same_epoch_is_superseded) {
  Append(Claim(kEntryA, 1, 0));
  BOOST_TEST((Append(Claim(kEntryB, 1, 0)) == FoldVerdict::kSuperseded));
  BOOST_TEST((m_state.shard(1).owner == kEntryA));
}

BOOST_AUTO_TEST_CASE(claim_for_an_entry_that_left_is_superseded) {
  Append(EntryLeft{kEntryA.name, kEntryA.incarnation});
  BOOST_TEST((Append(Claim(kEntryA, 1, 0)) == FoldVerdict::kSuperseded));
  BOOST_TEST(m_state.shard(1).epoch == 0u);
}

BOOST_AUTO_TEST_CASE(claim_for_a_former_incarnation_is_superseded) {
  Append(Joined({kEntryA.name, 99}));
  BOOST_TEST((Append(Claim(kEntryA, 1, 0)) == FoldVerdict::kSuperseded));
}

// A join whose reply was lost is appended again; the first copy may come late.
BOOST_AUTO_TEST_CASE(late_join_of_a_replaced_incarnation_is_superseded) {
  Append(Joined({"entry-a", 99}));
  BOOST_TEST((Append(Joined(kEntryA)) == FoldVerdict::kSuperseded));
  BOOST_TEST(Incarnation("entry-a") == 99u);
}

BOOST_AUTO_TEST_CASE(late_join_of_an_incarnation_that_left_is_superseded) {
  Append(EntryLeft{kEntryA.name, kEntryA.incarnation});
  BOOST_TEST((Append(Joined(kEntryA)) == FoldVerdict::kSuperseded));
  BOOST_TEST(Incarnation("entry-a") == 0u);
  BOOST_TEST((Append(Joined({"entry-a", 99})) == FoldVerdict::kAccepted));
}

BOOST_AUTO_TEST_CASE(join_of_the_current_incarnation_again_is_accepted) {
  BOOST_TEST((Append(Joined(kEntryA)) == FoldVerdict::kAccepted));
  BOOST_TEST(Incarnation("entry-a") == kEntryA.incarnation);
}

BOOST_AUTO_TEST_CASE(late_join_is_superseded_also_behind_a_snapshot) {
  Append(Joined({"entry-a", 99}));
  ControlState reader(kShards);
  reader.Apply({m_log.size(), {"id", m_state.MakeSnapshot()}});
  const LogEntry late{reader.next_offset(), {"id", Joined(kEntryA)}};
  BOOST_TEST((reader.Apply(late) == FoldVerdict::kSuperseded));
}

BOOST_AUTO_TEST_CASE(last_four_former_incarnations_of_a_name_are_kept) {
  for (uint64_t incarnation = 10; incarnation < 20; ++incarnation) {
    Append(Joined({"entry-a", incarnation}));
  }
  BOOST_TEST(m_state.MakeSnapshot().former_entries.size() == 4u);
  BOOST_TEST((Append(Joined({"entry-a", 15})) == FoldVerdict::kSuperseded));
  BOOST_TEST((Append(Joined({"entry-a", 18})) == FoldVerdict::kSuperseded));
}

BOOST_AUTO_TEST_CASE(former_incarnations_kept_are_bounded_over_all_names) {
  for (uint64_t n = 0; n < 600; ++n) {
    const EntryId id{"pod-" + std::to_string(n), 7};
    Append(Joined(id));
    Append(EntryLeft{id.name, id.incarnation});
  }
  BOOST_TEST(m_state.MakeSnapshot().former_entries.size() == 500u);
  BOOST_TEST((Append(Joined({"pod-599", 7})) == FoldVerdict::kSuperseded));
}

BOOST_AUTO_TEST_CASE(sign_of_life_is_accepted_only_of_the_current_incarnation) {
  BOOST_TEST((Append(EntryAlive{kEntryA}) == FoldVerdict::kAccepted));
  BOOST_TEST((Append(EntryAlive{{"entry-a", 9}}) == FoldVerdict::kSuperseded));
  BOOST_TEST((Append(EntryAlive{{"entry-q", 1}}) == FoldVerdict::kSuperseded));
}

BOOST_AUTO_TEST_CASE(former_owners_stay_listed_until_the_shard_is_served) {
  Append(Claim(kEntryA, 1, 0));
  Append(Claim(kEntryB, 1, 1));
  Append(Claim(kEntryC, 1, 2));
  BOOST_TEST(m_state.shard(1).former_owners.size() == 2u);
  Append(ShardsServed{{{1, 3}}});
  BOOST_TEST(m_state.shard(1).former_owners.empty());
}

BOOST_AUTO_TEST_CASE(served_record_of_an_earlier_epoch_changes_nothing) {
  Append(Claim(kEntryA, 1, 0));
  Append(Claim(kEntryB, 1, 1));
  BOOST_TEST((Append(ShardsServed{{{1, 1}}}) == FoldVerdict::kSuperseded));
  BOOST_TEST(m_state.shard(1).former_owners.size() == 1u);
}

BOOST_AUTO_TEST_CASE(first_of_two_edits_of_one_version_wins) {
  BOOST_TEST((Append(Edit("check", 0, 5)) == FoldVerdict::kAccepted));
  BOOST_TEST((Append(Edit("check", 0, 9)) == FoldVerdict::kSuperseded));
  BOOST_TEST(m_state.FindRow("check")->weight == 5u);
  BOOST_TEST(m_state.table_version() == 1u);
}

BOOST_AUTO_TEST_CASE(edit_out_of_range_is_invalid_everywhere) {
  BOOST_TEST((Append(Edit("check", 0, 0)) == FoldVerdict::kInvalid));
  BOOST_TEST((Append(Edit("Check!", 0, 1)) == FoldVerdict::kInvalid));
  BOOST_TEST(m_state.table_version() == 0u);
}

BOOST_AUTO_TEST_CASE(deleted_row_keeps_its_version) {
  Append(Edit("check", 0, 5));
  RowEdited removal = Edit("check", 1, 5);
  removal.deleted = true;
  Append(removal);
  BOOST_TEST(m_state.FindRow("check") == nullptr);
  BOOST_TEST((Append(Edit("check", 0, 7)) == FoldVerdict::kSuperseded));
  BOOST_TEST((Append(Edit("check", 2, 7)) == FoldVerdict::kAccepted));
}

BOOST_AUTO_TEST_CASE(record_folded_twice_is_skipped) {
  Append(Edit("check", 0, 5));
  BOOST_TEST((m_state.Apply(m_log.back()) == FoldVerdict::kSkipped));
  BOOST_TEST(m_state.table_version() == 1u);
}

BOOST_AUTO_TEST_CASE(record_after_a_gap_changes_nothing) {
  const uint64_t before = m_state.next_offset();
  const LogEntry late{before + 3, {"id", Edit("check", 0, 5)}};
  BOOST_TEST((m_state.Apply(late) == FoldVerdict::kGap));
  BOOST_TEST(m_state.next_offset() == before);
}

BOOST_AUTO_TEST_CASE(snapshot_after_a_gap_gives_the_writers_state) {
  Append(Claim(kEntryA, 1, 0));
  Append(Edit("check", 0, 5));
  const Snapshot snapshot = m_state.MakeSnapshot();
  ControlState reader(kShards);
  const uint64_t offset = m_log.size();
  BOOST_TEST(
      (reader.Apply({offset, {"id", snapshot}}) == FoldVerdict::kAccepted));
  BOOST_TEST(reader.next_offset() == offset + 1);
  BOOST_TEST((reader.shard(1).owner == kEntryA));
  BOOST_TEST(reader.FindRow("check")->weight == 5u);
}

BOOST_AUTO_TEST_CASE(
    snapshot_older_than_its_offset_leaves_the_records_between) {
  const Snapshot snapshot = m_state.MakeSnapshot();
  Append(Edit("check", 0, 5));  // appended while the snapshot was on its way
  Append(snapshot);
  ControlState reader(kShards);
  reader.Apply(m_log.back());
  BOOST_TEST(reader.next_offset() == snapshot.next_offset);
  reader.Apply(m_log[snapshot.next_offset]);
  reader.Apply(m_log.back());
  BOOST_TEST(reader.FindRow("check")->weight == 5u);
  BOOST_TEST(reader.next_offset() == m_log.size());
}

BOOST_AUTO_TEST_CASE(snapshot_behind_the_state_takes_nothing_back) {
  const Snapshot old_snapshot = m_state.MakeSnapshot();
  Append(Edit("check", 0, 5));
  Append(old_snapshot);
  BOOST_TEST(m_state.FindRow("check")->weight == 5u);
  BOOST_TEST(m_state.next_offset() == m_log.size());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
