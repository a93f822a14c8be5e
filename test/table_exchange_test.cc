// How entries help each other to the configuration and the members when the
// store doesn't, in virtual time, over links that take a message at a time.
#include "table_exchange.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <set>

#include "absl/strings/str_cat.h"
#include "msgpack_config.h"
#include "virtual_time.h"

namespace egretswitch::internal {
namespace {

constexpr VirtualUs kDelay = Ms(1);

ServiceConfig Config(uint64_t version, size_t queues) {
  ServiceConfig config{.version = version, .queues = {}};
  for (size_t i = 0; i < queues; ++i) {
    JobQueue queue;
    queue.name = absl::StrCat("queue-", i, "-of-", version);
    config.queues.push_back(queue);
  }
  return config;
}

MemberAddress Member(uint64_t version) {
  MemberAddress member;
  member.name = absl::StrCat("agent-", version);
  member.address = "10.1.0.14:7720";
  member.version = version;
  return member;
}

MembersRead Members(uint64_t count) {
  MembersRead read;
  for (uint64_t version = 1; version <= count; ++version) {
    read.members.push_back(Member(version));
  }
  read.next_offset = count;
  return read;
}

// Entries that are all linked to each other. Each sends over a link of its own
// that carries `bytes_per_ms`.
class Entries {
 public:
  explicit Entries(int count, int64_t bytes_per_ms = 1'000'000)
      : m_bytes_per_ms(bytes_per_ms) {
    for (int i = 0; i < count; ++i) {
      m_entries.push_back(std::make_unique<Entry>(i));
    }
    for (int i = 0; i < count; ++i) {
      for (int j = 0; j < count; ++j) {
        if (i != j) {
          const bool near = i % kDataCentres == j % kDataCentres;
          Tell(i, EntryLinked{Name(j), near ? PeerPlace::kSameDataCentre
                                            : PeerPlace::kElsewhere});
        }
      }
    }
    RunFor(Ms(50));
  }

  static std::string Name(int entry) { return absl::StrCat("entry-", entry); }

  void Tell(int entry, const TableEvent& event) {
    Entry& at = *m_entries[entry];
    if (at.stopped) {
      return;
    }
    for (const TableAction& action : at.exchange.Handle(event, Now())) {
      if (const auto* tell = std::get_if<TellEntry>(&action)) {
        Transmit(entry, *tell);
      } else if (std::holds_alternative<NoteStateChange>(action)) {
        ++at.notes;
      }
    }
    const MonoTime wake = at.exchange.NextWake();
    if (wake != absl::InfiniteDuration()) {
      m_time.At(absl::ToInt64Microseconds(wake), [this, entry, wake] {
        if (m_entries[entry]->exchange.NextWake() == wake) {
          Tell(entry, TableTimePassed{});
        }
      });
    }
  }

  void RunFor(VirtualUs us) { m_time.RunUntil(m_time.now() + us); }
  // An entry that answers nothing any more; its links stay.
  void Stop(int entry) { m_entries[entry]->stopped = true; }

  const TableExchange& operator[](int entry) const {
    return m_entries[entry]->exchange;
  }
  int notes(int entry) const { return m_entries[entry]->notes; }
  size_t queues_sent() const { return m_queues_sent; }
  size_t members_sent() const { return m_members_sent; }
  // Who has sent parts of a configuration.
  const std::set<int>& senders() const { return m_senders; }

 private:
  static constexpr int kDataCentres = 5;

  struct Entry {
    // Neighbouring small seeds draw alike.
    explicit Entry(int number)
        : exchange(2'654'435'761u * (static_cast<uint64_t>(number) + 1)) {}
    TableExchange exchange;
    VirtualUs link_free_at = 0;
    bool stopped = false;
    int notes = 0;
  };

  MonoTime Now() const { return absl::Microseconds(m_time.now()); }

  void Transmit(int from, const TellEntry& tell) {
    const int to = std::stoi(tell.name.substr(std::string("entry-").size()));
    if (const auto* part = std::get_if<ConfigPart>(&tell.body)) {
      m_queues_sent += part->queues.size();
      m_senders.insert(from);
    }
    if (const auto* part = std::get_if<MembersPart>(&tell.body)) {
      m_members_sent += part->members.size();
    }
    msgpack::sbuffer bytes;
    msgpack::pack(bytes, tell.body);
    VirtualUs& free_at = m_entries[from]->link_free_at;
    free_at = std::max(free_at, m_time.now()) +
              Ms(static_cast<int64_t>(bytes.size())) / m_bytes_per_ms;
    m_time.At(free_at + kDelay, [this, from, to, body = tell.body] {
      Tell(to, EntrySaid{Name(from), body});
    });
  }

  VirtualTime m_time{1};
  const int64_t m_bytes_per_ms;
  std::vector<std::unique_ptr<Entry>> m_entries;
  size_t m_queues_sent = 0;
  size_t m_members_sent = 0;
  std::set<int> m_senders;
};

constexpr size_t kLargeConfig = 1400;
// 2 Mbit/s.
constexpr int64_t kNarrowLink = 250;

BOOST_AUTO_TEST_SUITE(table_exchange)

BOOST_AUTO_TEST_CASE(version_that_all_entries_read_is_sent_by_none) {
  Entries entries(55);
  for (int i = 0; i < 55; ++i) {
    entries.Tell(i, ConfigRead{Config(7, kLargeConfig)});
    entries.Tell(i, Members(295));
    entries.RunFor(Ms(5));
  }
  entries.RunFor(Ms(5000));
  BOOST_TEST(entries.queues_sent() == 0);
  BOOST_TEST(entries.members_sent() == 0);
}

BOOST_AUTO_TEST_CASE(entry_that_the_store_refuses_gets_one_copy) {
  Entries entries(55);
  entries.Tell(9, StoreSeen{StoreTable::kConfig, true});
  for (int i = 0; i < 55; ++i) {
    if (i != 9) {
      entries.Tell(i, ConfigRead{Config(7, kLargeConfig)});
    }
  }
  entries.RunFor(Ms(120));
  BOOST_TEST((entries[9].config() == Config(7, kLargeConfig)));
  BOOST_TEST(entries.queues_sent() == kLargeConfig);
  BOOST_TEST(*entries.senders().begin() % 5 == 4, "not of the data centre");
}

BOOST_AUTO_TEST_CASE(entries_that_the_store_refuses_ask_different_neighbours) {
  Entries entries(55);
  for (int i = 0; i < 18; ++i) {
    entries.Tell(i, StoreSeen{StoreTable::kConfig, true});
  }
  for (int i = 18; i < 55; ++i) {
    entries.Tell(i, ConfigRead{Config(7, kLargeConfig)});
  }
  entries.RunFor(Ms(200));
  for (int i = 0; i < 18; ++i) {
    BOOST_TEST(entries[i].config().version == 7, "entry " << i);
  }
  BOOST_TEST(entries.queues_sent() == 18 * kLargeConfig);
  BOOST_TEST(entries.senders().size() >= 9);
}

// Its reads neither fail nor end.
BOOST_AUTO_TEST_CASE(entry_whose_store_is_silent_asks_after_a_second) {
  Entries entries(5);
  entries.Tell(0, ConfigRead{Config(7, kLargeConfig)});
  entries.RunFor(Ms(900));
  BOOST_TEST(entries[3].config().version == 0);
  entries.RunFor(Ms(300));
  BOOST_TEST(entries[3].config().version == 7);
}

BOOST_AUTO_TEST_CASE(neighbour_that_stops_midway_is_followed_by_another) {
  Entries entries(3, kNarrowLink);
  entries.Tell(2, StoreSeen{StoreTable::kConfig, true});
  entries.Tell(0, ConfigRead{Config(7, kLargeConfig)});
  entries.RunFor(Ms(60));
  BOOST_TEST(entries.queues_sent() > 0);
  entries.Tell(1, ConfigRead{Config(7, kLargeConfig)});
  entries.Stop(0);
  entries.RunFor(Ms(2000));
  BOOST_TEST((entries[2].config() == Config(7, kLargeConfig)));
  // What had come was not sent again, but for the part that was lost.
  BOOST_TEST(entries.queues_sent() <= kLargeConfig + 64);
}

BOOST_AUTO_TEST_CASE(neighbour_that_lies_about_its_version_is_asked_once) {
  Entries entries(3);
  entries.Tell(1, ConfigRead{Config(7, 2)});
  entries.Tell(2, ConfigRead{Config(7, 2)});
  entries.Tell(2, StoreSeen{StoreTable::kConfig, true});
  entries.Tell(2, EntrySaid{"entry-1", TablesHeld{.config = 99, .members = 0}});
  entries.RunFor(Ms(3000));
  BOOST_TEST(entries[2].config().version == 7);
  BOOST_TEST(entries.notes(2) == 1);
}

EvacuationsRead Evacuated(uint64_t through, const std::string& data_centre) {
  return {.records = {{data_centre, true, through}}, .through = through};
}

BOOST_AUTO_TEST_CASE(evacuation_reaches_those_that_the_store_turns_away) {
  Entries entries(55);
  entries.Tell(3, Evacuated(7, "south"));
  entries.RunFor(Ms(20));
  for (int i = 0; i < 55; ++i) {
    BOOST_TEST(entries[i].evacuations().Covers("south"), "entry " << i);
  }
}

BOOST_AUTO_TEST_CASE(taking_back_reaches_those_that_the_store_turns_away) {
  Entries entries(5);
  entries.Tell(3, Evacuated(7, "south"));
  entries.RunFor(Ms(20));
  entries.Tell(1,
               EvacuationsRead{.records = {{"south", false, 8}}, .through = 8});
  entries.RunFor(Ms(20));
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(!entries[i].evacuations().Covers("south"), "entry " << i);
  }
}

BOOST_AUTO_TEST_CASE(neighbour_with_an_old_state_undoes_nothing) {
  Entries entries(2);
  entries.Tell(0, Evacuated(7, "south"));
  entries.RunFor(Ms(20));
  entries.Tell(0, EntrySaid{"entry-1", Evacuations{6, {}}});
  BOOST_TEST(entries[0].evacuations().Covers("south"));
}

// The neighbour was turned away by the store between the two changes; this
// entry has read both at once.
BOOST_AUTO_TEST_CASE(neighbour_with_an_old_state_is_told_the_newer_one) {
  Entries entries(2);
  entries.Tell(1, EvacuationsRead{.records = {}, .through = 6, .whole = true});
  entries.RunFor(Ms(20));
  const EvacuationsRead both = {
      .records = {{"south", true, 7}, {"south", false, 8}}, .through = 8};
  entries.Tell(1, both);
  entries.Tell(0, Evacuated(7, "south"));
  entries.RunFor(Ms(20));
  BOOST_TEST(!entries[0].evacuations().Covers("south"));
}

BOOST_AUTO_TEST_CASE(entry_that_is_linked_later_is_told_what_is_evacuated) {
  TableExchange exchange(1);
  exchange.Handle(Evacuated(7, "south"), absl::Seconds(1));
  bool told = false;
  for (const TableAction& action : exchange.Handle(
           EntryLinked{"entry-9", PeerPlace::kElsewhere}, absl::Seconds(2))) {
    const auto* tell = std::get_if<TellEntry>(&action);
    told = told ||
           (tell != nullptr && std::holds_alternative<Evacuations>(tell->body));
  }
  BOOST_TEST(told);
}

// The version tells a new entry that nothing is evacuated from not knowing.
BOOST_AUTO_TEST_CASE(state_without_evacuations_is_told_once_known) {
  Entries entries(2);
  BOOST_TEST(!entries[1].evacuations().IsLoaded());
  entries.Tell(0, EvacuationsRead{.records = {}, .through = 3, .whole = true});
  entries.RunFor(Ms(20));
  BOOST_TEST(entries[1].evacuations().IsLoaded());
}

BOOST_AUTO_TEST_CASE(part_that_goes_on_nothing_changes_nothing) {
  Entries entries(3);
  entries.Tell(2, StoreSeen{StoreTable::kConfig, true});
  entries.Stop(1);
  entries.Tell(2, EntrySaid{"entry-1", TablesHeld{.config = 9, .members = 0}});
  entries.RunFor(Ms(30));
  entries.Tell(2, EntrySaid{"entry-1", ConfigPart{9, 5, 3, {JobQueue{}}}});
  entries.Tell(2, EntrySaid{"entry-1", ConfigPart{9, 1, 0, {}}});
  BOOST_TEST(entries[2].config().version == 0);
  BOOST_TEST(entries.notes(2) == 1);
}

BOOST_AUTO_TEST_CASE(version_older_than_the_present_one_is_not_taken) {
  Entries entries(2);
  entries.Tell(0, ConfigRead{Config(7, 2)});
  entries.Tell(0, ConfigRead{Config(6, 3)});
  BOOST_TEST((entries[0].config() == Config(7, 2)));
}

// A version each 330 ms, while a whole one takes half a second.
BOOST_AUTO_TEST_CASE(versions_faster_than_the_link_leave_the_reader_served) {
  Entries entries(2, kNarrowLink);
  entries.Tell(1, StoreSeen{StoreTable::kConfig, true});
  for (uint64_t version = 1; version <= 12; ++version) {
    entries.Tell(0, ConfigRead{Config(version, kLargeConfig)});
    entries.RunFor(Ms(330));
  }
  BOOST_TEST(entries[1].config().version >= 6);
  entries.RunFor(Ms(2000));
  BOOST_TEST((entries[1].config() == Config(12, kLargeConfig)));
}

BOOST_AUTO_TEST_CASE(members_are_sent_from_where_the_asker_stands) {
  Entries entries(2);
  entries.Tell(1, Members(100));
  entries.Tell(1, StoreSeen{StoreTable::kMembers, true});
  entries.Tell(0, Members(295));
  entries.RunFor(Ms(500));
  BOOST_TEST(entries[1].members().size() == 295);
  BOOST_TEST(entries.members_sent() == 195);
}

// Both restarted while the store was away: what either has, both have.
BOOST_AUTO_TEST_CASE(entry_without_a_store_learns_all_when_a_link_comes_up) {
  Entries entries(2);
  entries.Tell(1, EntryUnlinked{"entry-0"});
  entries.Tell(0, EntryUnlinked{"entry-1"});
  entries.Tell(0, ConfigRead{Config(7, 3)});
  entries.Tell(0, Members(60));
  entries.Tell(1, StoreSeen{StoreTable::kConfig, true});
  entries.Tell(1, StoreSeen{StoreTable::kMembers, true});
  entries.RunFor(Ms(1000));
  BOOST_TEST(entries[1].config().version == 0);
  entries.Tell(0, EntryLinked{"entry-1", PeerPlace::kElsewhere});
  entries.Tell(1, EntryLinked{"entry-0", PeerPlace::kElsewhere});
  entries.RunFor(Ms(100));
  BOOST_TEST(entries[1].config().version == 7);
  BOOST_TEST(entries[1].members().size() == 60);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
