// Tests that every record of the control stream round-trips through JSON, and
// that other texts are rejected with the name of the invalid field.
#include "record_codec.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <limits>
#include <string>

namespace egretswitch::internal {
namespace {

constexpr uint64_t kLargest = std::numeric_limits<uint64_t>::max();

// Returns the msgpack bytes of `body`, which contain every field. The tests
// compare records by them.
std::string PackedBody(const RecordBody& body) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, body);
  return std::string(buffer.data(), buffer.size());
}

void CheckRoundTrip(const RecordBody& body) {
  const LogRecord record{"append-1", body};
  const absl::StatusOr<LogRecord> decoded = DecodeRecord(EncodeRecord(record));
  BOOST_REQUIRE_MESSAGE(decoded.ok(), decoded.status());
  BOOST_TEST(decoded->append_id == "append-1");
  BOOST_TEST((PackedBody(decoded->body) == PackedBody(body)));
}

std::string DecodeError(std::string_view text) {
  const absl::StatusOr<LogRecord> decoded = DecodeRecord(text);
  return decoded.ok() ? "decoded" : std::string(decoded.status().message());
}

const EntryJoined kJoined{"entry-a", kLargest, "127.0.0.1:7001", "dc1", "r1"};
const TableRow kRow{"pricing", 7, 100, 2000, 50, 10, 90};

}  // namespace

BOOST_AUTO_TEST_SUITE(record_codec)

BOOST_AUTO_TEST_CASE(entry_records_round_trip_keep_every_field) {
  CheckRoundTrip(kJoined);
  CheckRoundTrip(EntryLeft{"entry-a", kLargest});
  CheckRoundTrip(EntryAlive{{"entry-a", kLargest}});
}

BOOST_AUTO_TEST_CASE(slot_records_round_trip_keep_every_field) {
  CheckRoundTrip(SlotRegistered{"agent-1", "127.0.0.1:7101", "dc2", "r1"});
  CheckRoundTrip(SlotRemoved{"agent-1"});
}

BOOST_AUTO_TEST_CASE(shard_records_round_trip_keep_every_field) {
  CheckRoundTrip(
      ShardsClaimed{{"entry-a", kLargest}, {{3, 4}, {63, kLargest}}});
  CheckRoundTrip(ShardsClaimed{});
  CheckRoundTrip(ShardsServed{{{3, 5}, {4, 1}}});
}

BOOST_AUTO_TEST_CASE(row_edit_round_trip_keeps_every_field) {
  CheckRoundTrip(RowEdited{"edit-1", "ana", 3, true, kRow});
}

BOOST_AUTO_TEST_CASE(snapshot_round_trip_keeps_every_field) {
  Snapshot snapshot;
  snapshot.next_offset = 12;
  snapshot.shards = {{1, {"entry-a", 9}, {{"entry-b", 8}}}, {}};
  snapshot.entries = {{kJoined, 4}};
  snapshot.slots = {{"agent-1", "127.0.0.1:7101", "dc2", "r1"}};
  snapshot.rows = {{kRow, 2, false}};
  snapshot.table_version = 6;
  snapshot.former_entries = {{"entry-a", 7}, {"entry-b", 8}};
  CheckRoundTrip(snapshot);
}

BOOST_AUTO_TEST_CASE(snapshot_without_former_entries_is_decoded) {
  const absl::StatusOr<LogRecord> record = DecodeRecord(
      R"({"append_id":"a","type":"snapshot","next_offset":12,"shards":[],)"
      R"("entries":[],"slots":[],"rows":[],"table_version":6})");
  BOOST_REQUIRE_MESSAGE(record.ok(), record.status());
  BOOST_TEST(std::get<Snapshot>(record->body).table_version == 6u);
}

BOOST_AUTO_TEST_CASE(unreadable_round_trip_keeps_its_reason) {
  CheckRoundTrip(Unreadable{"field type: unknown type \"x\""});
}

BOOST_AUTO_TEST_CASE(text_published_by_hand_is_decoded) {
  const absl::StatusOr<LogRecord> record = DecodeRecord(
      R"({"append_id":"op-1","type":"entry_left","name":"e","incarnation":9})");
  BOOST_REQUIRE(record.ok());
  BOOST_TEST(std::get<EntryLeft>(record->body).incarnation == 9u);
}

BOOST_AUTO_TEST_CASE(text_that_is_no_record_is_refused) {
  BOOST_TEST(DecodeError("{") == "record is not a JSON object");
  BOOST_TEST(DecodeError("[]") == "record is not a JSON object");
  BOOST_TEST(DecodeError("{}") == "field type: missing or not a string");
  BOOST_TEST(DecodeError(R"({"append_id":"a","type":"entry_gone"})") ==
             "field type: unknown type \"entry_gone\"");
}

BOOST_AUTO_TEST_CASE(wrong_field_is_named_in_the_error) {
  BOOST_TEST(DecodeError(R"({"append_id":"a","type":"slot_removed"})") ==
             "field name: missing");
  BOOST_TEST(
      DecodeError(R"({"append_id":"a","type":"slot_removed","name":7})") ==
      "field name: found number, allowed string");
  BOOST_TEST(
      DecodeError(
          R"({"append_id":"a","type":"slot_removed","name":"n","nam":1})") ==
      "field nam: unknown");
}

BOOST_AUTO_TEST_CASE(number_out_of_range_is_refused_not_wrapped) {
  const std::string head =
      R"({"append_id":"a","type":"shards_served","shards":)";
  BOOST_TEST(DecodeError(head + R"([{"shard":-1,"epoch":1}]})") ==
             "field shards[0].shard: found -1, allowed 0 to 4294967295");
  BOOST_TEST(DecodeError(head + R"([{"shard":4294967296,"epoch":1}]})") ==
             "field shards[0].shard: found 4294967296, allowed 0 to "
             "4294967295");
  BOOST_TEST(DecodeError(head + R"([{"shard":1,"epoch":1.5}]})") ==
             "field shards[0].epoch: found 1.5, allowed 0 to "
             "18446744073709551615");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace egretswitch::internal
