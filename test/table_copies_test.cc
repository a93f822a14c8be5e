// Tests how agents keep the tables and give them to entries that have started
// while the store is unreachable.
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "copy_age.h"
#include "table_world.h"

namespace egretswitch::internal {
namespace {

constexpr size_t kLargeConfig = 1400;
constexpr size_t kPartsOfLargeConfig = 22;

// Two entries and three agents that keep version 7; then the store goes away
// and the entries lose power.
struct LostEntries : TableWorld {
  explicit LostEntries(int agents = 3) : TableWorld(2, agents) {
    Publish(ConfigOf(7, 3));
    RunFor(Ms(5000));
    SetStoreUp(false);
    RunFor(Ms(2000));
    LoseEntries();
    RunFor(Ms(1000));
  }
  bool Served(int i) const {
    return entry(i).config().version > 0 && entry(i).evacuations().IsLoaded() &&
           entry(i).members().size() > 0;
  }
};

BOOST_AUTO_TEST_SUITE(table_copies)

// The load that this answers: all entries of a large deployment lose power
// while the store is away.
BOOST_AUTO_TEST_CASE(entries_started_without_a_store_serve_within_a_second) {
  constexpr int kEntries = 12;
  TableWorld world(kEntries, 66);
  world.Publish(ConfigOf(7, kLargeConfig));
  world.RunFor(Ms(8000));
  world.SetStoreUp(false);
  world.RunFor(Ms(2000));
  world.LoseEntries();
  world.RunFor(Ms(1000));
  for (int i = 0; i < kEntries; ++i) {
    world.StartEntry(i);
  }
  world.RunFor(Ms(1000));
  for (int i = 0; i < kEntries; ++i) {
    BOOST_TEST((world.entry(i).config() == ConfigOf(7, kLargeConfig)),
               "entry " << i);
    BOOST_TEST(world.entry(i).evacuations().IsLoaded(), "entry " << i);
    BOOST_TEST(world.entry(i).members().size() == kEntries + 66u,
               "entry " << i);
  }
  BOOST_TEST(world.CopyRequests() == static_cast<size_t>(kEntries),
             "one copy for each entry");
}

BOOST_AUTO_TEST_CASE(entry_that_reads_the_store_in_time_requests_no_copy) {
  LostEntries world;
  world.StartEntry(0);
  world.RunFor(Ms(100));
  world.SetStoreUp(true);
  world.RunFor(Ms(3000));
  BOOST_TEST(world.entry(0).config().version == 7);
  BOOST_TEST(world.CopyRequests() == 0u);
}

BOOST_AUTO_TEST_CASE(entry_that_has_read_the_store_requests_no_copy_later) {
  TableWorld world(1, 2);
  world.Publish(ConfigOf(7, 3));
  world.RunFor(Ms(5000));
  world.SetStoreUp(false);
  world.Inject("agent-1", "entry-0", TableVersions{.config = 9, .members = 99});
  world.RunFor(Ms(5000));
  BOOST_TEST(world.entry(0).config().version == 7);
  BOOST_TEST(world.CopyRequests() == 0u);
}

// All agents but one were cut off before version 8 was published.
BOOST_AUTO_TEST_CASE(copy_of_an_agent_that_lags_is_never_in_force) {
  constexpr int kLagging = 5;
  TableWorld world(1, kLagging + 1);
  world.Publish(ConfigOf(7, kLargeConfig));
  world.RunFor(Ms(5000));
  for (int i = 0; i < kLagging; ++i) {
    world.StopDialling(i);
    world.Unlink(TableWorld::AgentName(i), "entry-0");
  }
  world.Publish(ConfigOf(8, kLargeConfig));
  world.RunFor(Ms(5000));
  world.SetStoreUp(false);
  world.LoseEntries();
  const size_t before = world.VersionsOf(0).size();
  world.StartEntry(0);
  for (int i = 0; i <= kLagging; ++i) {
    world.Link(TableWorld::AgentName(i), "entry-0");
  }
  world.RunFor(Ms(1000));
  BOOST_TEST(world.VersionsOf(0).size() == before + 1);
  BOOST_TEST(world.entry(0).config().version == 8);
}

BOOST_AUTO_TEST_CASE(copy_that_no_entry_has_vouched_for_lately_is_not_used) {
  LostEntries world;
  world.RunFor(absl::ToInt64Microseconds(kMaxCopyAge));
  world.StartEntry(0);
  world.Link("agent-0", "entry-0");
  world.RunFor(Ms(5000));
  BOOST_TEST(world.entry(0).config().version == 0);
  BOOST_TEST((std::find(world.notes().begin(), world.notes().end(),
                        "copy too old") != world.notes().end()));
}

BOOST_AUTO_TEST_CASE(agent_that_announces_a_version_it_lacks_is_passed_over) {
  LostEntries world;
  world.StartEntry(0);
  world.Link("agent-0", "entry-0");
  world.Link("agent-1", "entry-0");
  world.Inject(
      "agent-1", "entry-0",
      TableVersions{.config = 1'000'000'000'000'000'000, .members = 0});
  world.RunFor(Ms(1000));
  BOOST_TEST(world.entry(0).config().version == 7);
}

BOOST_AUTO_TEST_CASE(agent_that_never_delivers_its_copy_is_passed_over) {
  LostEntries world;
  world.StopDialling(0);
  world.StartEntry(0);
  world.Link("agent-0", "entry-0");
  world.Inject(
      "agent-0", "entry-0",
      TableVersions{.config = 1'000'000'000'000'000'000, .members = 0});
  world.Silence("agent-0");
  world.RunFor(Ms(1500));
  BOOST_TEST(world.entry(0).config().version == 7);
}

BOOST_AUTO_TEST_CASE(parts_that_do_not_fit_are_rejected) {
  LostEntries world;
  world.StartEntry(0);
  world.Link("agent-0", "entry-0");
  world.Silence("agent-0");
  world.Inject("agent-0", "entry-0", TableVersions{.config = 9, .members = 0});
  world.RunFor(Ms(160));
  world.Inject("agent-0", "entry-0", ConfigPart{9, 5, 3, {JobQueue{}}});
  world.Inject("agent-0", "entry-0", ConfigPart{9, 1, 0, {}});
  BOOST_TEST(world.entry(0).config().version == 0);
  world.RunFor(Ms(1000));
  BOOST_TEST(world.entry(0).config().version == 7);
}

// The store lacks version 10^18, so it would keep out all that follow.
BOOST_AUTO_TEST_CASE(copy_that_the_store_contradicts_is_replaced) {
  constexpr uint64_t kAbsurd = 1'000'000'000'000'000'000;
  LostEntries world;
  world.StartEntry(0);
  world.Link("agent-0", "entry-0");
  world.Silence("agent-0");
  world.Inject("agent-0", "entry-0",
               TableVersions{.config = kAbsurd, .members = kAbsurd});
  world.RunFor(Ms(160));
  world.Inject("agent-0", "entry-0", ConfigPart{kAbsurd, 1, 0, {JobQueue{}}});
  MemberAddress wrong = {"agent-1", "10.9.9.9:1", false, kAbsurd};
  world.Inject("agent-0", "entry-0", MembersPart{kAbsurd, {wrong}});
  world.StartEntry(1);
  world.RunFor(Ms(1000));
  BOOST_TEST(world.entry(0).config().version == kAbsurd);
  BOOST_TEST(world.entry(1).config().version == 7, "it is not passed on");
  world.SetStoreUp(true);
  BOOST_TEST(world.entry(0).config().version == 7);
  BOOST_REQUIRE(world.contradictions().size() == 1u);
  BOOST_TEST(world.contradictions()[0].copied == kAbsurd);
  BOOST_TEST(world.entry(0).members().Find("agent-1")->address ==
             "10.2.0.1:7720");
  world.Publish(ConfigOf(8, 2));
  BOOST_TEST(world.entry(0).config().version == 8);
}

// Entries and agents that hear of a copy only from an entry would take it for
// the store's.
BOOST_AUTO_TEST_CASE(copied_table_is_passed_on_only_once_the_store_has_it) {
  LostEntries world;
  world.StartEntry(0);
  world.RunFor(Ms(1000));
  BOOST_TEST(world.entry(0).config().version == 7);
  for (int i = 0; i < 3; ++i) {
    world.StopDialling(i);
  }
  world.StartEntry(1);
  world.Link("entry-0", "entry-1");
  world.RunFor(Ms(2000));
  BOOST_TEST(world.entry(1).config().version == 0);
  world.SetStoreUp(true);
  BOOST_TEST(world.entry(1).config().version == 7);
}

BOOST_AUTO_TEST_CASE(copies_that_differ_are_not_mixed) {
  LostEntries world;
  world.StartEntry(0);
  world.Link("agent-0", "entry-0");
  world.Silence("agent-0");
  world.Inject("agent-0", "entry-0", TableVersions{.config = 7, .members = 0});
  world.StopDialling(1);
  world.StopDialling(2);
  world.RunFor(Ms(160));
  world.Inject("agent-0", "entry-0",
               ConfigPart{7, 3, 0, ConfigOf(99, 1).queues});
  world.Unlink("agent-0", "entry-0");
  world.Link("agent-1", "entry-0");
  world.RunFor(Ms(1000));
  BOOST_TEST((world.entry(0).config() == ConfigOf(7, 3)));
}

// The version changes while an entry restarts: agent-0 was cut off before.
BOOST_AUTO_TEST_CASE(newer_copy_of_an_agent_that_is_linked_later_follows) {
  TableWorld world(1, 2);
  world.Publish(ConfigOf(7, 3));
  world.RunFor(Ms(5000));
  world.StopDialling(0);
  world.Unlink("agent-0", "entry-0");
  world.Publish(ConfigOf(8, 3));
  world.RunFor(Ms(5000));
  world.SetStoreUp(false);
  world.StopDialling(1);
  world.LoseEntries();
  world.StartEntry(0);
  world.Link("agent-0", "entry-0");
  world.RunFor(Ms(1000));
  BOOST_TEST(world.entry(0).config().version == 7);
  world.Link("agent-1", "entry-0");
  world.RunFor(Ms(1000));
  BOOST_TEST(world.entry(0).config().version == 8);
}

BOOST_AUTO_TEST_CASE(copy_is_taken_from_another_agent_when_one_is_lost_midway) {
  TableWorld world(1, 2);
  world.Publish(ConfigOf(7, kLargeConfig));
  world.RunFor(Ms(5000));
  world.SetStoreUp(false);
  world.LoseEntries();
  world.StopDialling(1);
  world.StartEntry(0);
  world.Link("agent-0", "entry-0");
  world.RunFor(Ms(165));
  BOOST_TEST(world.PartsSentBy("agent-0") > 0u);
  world.StopDialling(0);
  world.Unlink("agent-0", "entry-0");
  world.Link("agent-1", "entry-0");
  world.RunFor(Ms(500));
  BOOST_TEST((world.entry(0).config() == ConfigOf(7, kLargeConfig)));
  BOOST_TEST(world.PartsSentBy("agent-0") < kPartsOfLargeConfig);
}

BOOST_AUTO_TEST_CASE(store_that_answers_during_a_transfer_ends_it) {
  TableWorld world(1, 2);
  world.Publish(ConfigOf(7, kLargeConfig));
  world.RunFor(Ms(5000));
  world.SetStoreUp(false);
  world.LoseEntries();
  world.StartEntry(0);
  world.Link("agent-0", "entry-0");
  world.RunFor(Ms(165));
  world.SetStoreUp(true);
  world.RunFor(Ms(1000));
  BOOST_TEST((world.entry(0).config() == ConfigOf(7, kLargeConfig)));
  BOOST_TEST(world.PartsSentBy("agent-0") < kPartsOfLargeConfig);
}

// The store refuses entry-0 alone.
BOOST_AUTO_TEST_CASE(entry_is_preferred_to_agents) {
  TableWorld world(2, 3);
  world.Publish(ConfigOf(7, 3));
  world.RunFor(Ms(5000));
  world.SetStoreUp(false);
  world.LoseEntry(0);
  world.StartEntry(0);
  world.Link("entry-0", "entry-1");
  world.RunFor(Ms(1000));
  BOOST_TEST(world.entry(0).config().version == 7);
  BOOST_TEST(world.entry(0).config_confirmed());
  BOOST_TEST(world.CopyRequests() == 0u);
}

// ---- Evacuations

EvacuationsRead Evacuated(uint64_t through, std::vector<std::string> names) {
  EvacuationsRead read{.records = {}, .through = through, .whole = true};
  for (const std::string& name : names) {
    read.records.push_back({name, true, through});
  }
  return read;
}

BOOST_AUTO_TEST_CASE(newest_evacuations_of_the_agents_are_in_force) {
  LostEntries world;
  world.StartEntry(0);
  world.Link("agent-0", "entry-0");
  world.Inject("agent-0", "entry-0", Evacuations{5, {"south"}});
  world.Inject("agent-1", "entry-0", Evacuations{9, {"west"}});
  BOOST_TEST(!world.entry(0).evacuations().Covers("west"),
             "agent-1 isn't linked");
  world.Link("agent-1", "entry-0");
  world.Inject("agent-1", "entry-0", Evacuations{4, {}});
  BOOST_TEST(world.entry(0).evacuations().Covers("south"));
  BOOST_TEST(!world.entry(0).evacuations_confirmed());
}

BOOST_AUTO_TEST_CASE(unreadable_evacuations_of_an_agent_are_rejected) {
  LostEntries world;
  world.StartEntry(0);
  world.Link("agent-0", "entry-0");
  world.Inject("agent-0", "entry-0", Evacuations{5, {"west", "south"}});
  world.Inject("agent-0", "entry-0", Evacuations{6, {""}});
  BOOST_TEST(world.entry(0).evacuations().through <= 1u);
  BOOST_TEST(world.notes().size() == 2u);
}

// The store's first answer after an outage may be outdated.
BOOST_AUTO_TEST_CASE(data_centre_that_a_copy_lists_stays_evacuated) {
  LostEntries world;
  world.StartEntry(0);
  world.Link("agent-0", "entry-0");
  world.Inject("agent-0", "entry-0",
               Evacuations{1'000'000'000'000'000'000, {"south"}});
  world.SetEvacuations(Evacuated(3, {"west"}));
  world.SetStoreUp(true);
  BOOST_TEST(world.entry(0).evacuations().Covers("south"));
  BOOST_TEST(world.entry(0).evacuations().Covers("west"));
  BOOST_TEST(world.entry(0).evacuations().through == 3u);
}

BOOST_AUTO_TEST_CASE(store_replaces_an_older_copy_of_the_evacuations) {
  LostEntries world;
  world.StartEntry(0);
  world.Link("agent-0", "entry-0");
  world.Inject("agent-0", "entry-0", Evacuations{5, {"south"}});
  world.SetEvacuations(Evacuated(8, {}));
  world.SetStoreUp(true);
  BOOST_TEST(!world.entry(0).evacuations().Covers("south"));
}

// ---- Agents

// The load that this answers: a new configuration each second.
BOOST_AUTO_TEST_CASE(agents_skip_versions_that_follow_in_quick_succession) {
  constexpr int kAgents = 40;
  constexpr int kVersions = 20;
  TableWorld world(2, kAgents);
  for (uint64_t version = 1; version <= kVersions; ++version) {
    world.Publish(ConfigOf(version, kLargeConfig));
    world.RunFor(Ms(1000));
  }
  const size_t parts =
      world.PartsSentBy("entry-0") + world.PartsSentBy("entry-1");
  // One fetch in 2 s, and some that were restarted by a further version.
  BOOST_TEST(parts <=
             kAgents * (kVersions / 2 + 1) * kPartsOfLargeConfig * 3 / 2);
  world.RunFor(Ms(4000));
  for (int i = 0; i < kAgents; ++i) {
    BOOST_TEST(world.agent(i).config().version == kVersions, "agent " << i);
  }
}

BOOST_AUTO_TEST_CASE(agents_do_not_fetch_a_version_at_the_same_time) {
  constexpr int kAgents = 40;
  TableWorld world(1, kAgents);
  world.Publish(ConfigOf(7, kLargeConfig));
  size_t largest = 0;
  size_t before = 0;
  for (int i = 0; i < 30; ++i) {
    world.RunFor(Ms(50));
    largest = std::max(largest, world.PartsSentBy("entry-0") - before);
    before = world.PartsSentBy("entry-0");
  }
  BOOST_TEST(before == kAgents * kPartsOfLargeConfig);
  // An even spread over a second has a twentieth of them in 50 ms.
  BOOST_TEST(largest <= before / 4);
}

// An agent of the former version sends no message of the tables.
BOOST_AUTO_TEST_CASE(agent_that_keeps_no_copies_changes_nothing) {
  LostEntries world;
  for (int i = 0; i < 3; ++i) {
    world.StopDialling(i);
    world.Silence(TableWorld::AgentName(i));
  }
  world.StartEntry(0);
  world.Link("agent-0", "entry-0");
  world.RunFor(Ms(2000));
  BOOST_TEST(world.entry(0).config().version == 0);
  world.SetStoreUp(true);
  BOOST_TEST(world.entry(0).config().version == 7);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
