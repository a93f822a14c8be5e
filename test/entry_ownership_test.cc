// Which shards an entry owns and when it serves them: joining, claiming, taking
// over, losing and handing over.
#include <boost/test/unit_test.hpp>

#include "control_harness.h"
#include "node_limits.h"

namespace egretswitch::internal {
namespace {

constexpr absl::Duration kShort = absl::Milliseconds(100);

BOOST_AUTO_TEST_SUITE(EntryOwnership)

BOOST_AUTO_TEST_CASE(first_entry_start_claims_and_serves_every_shard) {
  ControlHarness entry("entry-a");
  entry.Advance(kShort);
  BOOST_TEST(entry.Logged<EntryJoined>().size() == 1u);
  BOOST_TEST(entry.Logged<ShardsClaimed>().size() == 1u);
  BOOST_TEST(entry.serving() == ControlHarness::kShards);
  BOOST_TEST(entry.served.size() == ControlHarness::kShards);
  BOOST_TEST(entry.authority().EpochOf(0) == 1u);
  BOOST_TEST(entry.MayStartNow());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
