// Tests how entries exchange the configuration, the evacuations and the members
// when the store is unreachable or slow. Runs in virtual time, over links that
// transmit one message at a time.
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

// A set of entries that are all linked to each other. Each entry sends all its
// messages over one link that carries `bytes_per_ms`.
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
          const bool same_data_centre = i % kDataCentres == j % kDataCentres;
          Deliver(i, EntryConnected{Name(j),
                                    same_data_centre
                                        ? PeerProximity::kSameDataCentre
                                        : PeerProximity::kOtherDataCentre});
        }
      }
    }
    RunFor(Ms(50));
  }

  static std::string Name(int entry) { return absl::StrCat("entry-", entry); }

  void Deliver(int entry, const TableEvent& event) {
    Entry& target = *m_entries[entry];
    if (target.stopped) {
      return;
    }
    for (const TableAction& action : target.exchange.Handle(event, Now())) {
      if (const auto* send = std::get_if<SendTableMessage>(&action)) {
        Transmit(entry, *send);
      } else if (std::holds_alternative<NoteStateChange>(action)) {
        ++target.log_events;
      }
    }
    const MonoTime wake = target.exchange.NextWake();
    if (wake != absl::InfiniteDuration()) {
      m_time.At(absl::ToInt64Microseconds(wake), [this, entry, wake] {
        if (m_entries[entry]->exchange.NextWake() == wake) {
          Deliver(entry, TableTimePassed{});
        }
      });
    }
  }

  void RunFor(VirtualUs us) { m_time.RunUntil(m_time.now() + us); }
  // The entry stops answering; its links stay up.
  void Stop(int entry) { m_entries[entry]->stopped = true; }

  const TableExchange& operator[](int entry) const {
    return m_entries[entry]->exchange;
  }
  int log_events(int entry) const { return m_entries[entry]->log_events; }
  size_t queues_sent() const { return m_queues_sent; }
  size_t members_sent() const { return m_members_sent; }
  // The entries that have sent parts of a configuration.
  const std::set<int>& senders() const { return m_senders; }

 private:
  static constexpr int kDataCentres = 5;

  struct Entry {
    // Spreads the seeds, since consecutive small seeds yield similar sequences.
    explicit Entry(int number)
        : exchange(2'654'435'761u * (static_cast<uint64_t>(number) + 1)) {}
    TableExchange exchange;
    VirtualUs link_free_at = 0;
    bool stopped = false;
    int log_events = 0;
  };

  MonoTime Now() const { return absl::Microseconds(m_time.now()); }

  void Transmit(int from, const SendTableMessage& send) {
    const int to = std::stoi(send.name.substr(std::string("entry-").size()));
    if (const auto* part = std::get_if<ConfigPart>(&send.body)) {
      m_queues_sent += part->queues.size();
      m_senders.insert(from);
    }
    if (const auto* part = std::get_if<MembersPart>(&send.body)) {
      m_members_sent += part->members.size();
    }
    msgpack::sbuffer bytes;
    msgpack::pack(bytes, send.body);
    VirtualUs& free_at = m_entries[from]->link_free_at;
    free_at = std::max(free_at, m_time.now()) +
              Ms(static_cast<int64_t>(bytes.size())) / m_bytes_per_ms;
    m_time.At(free_at + kDelay, [this, from, to, body = send.body] {
      Deliver(to, TableMessageReceived{Name(from), body});
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
constexpr int64_t kSlowLink = 250;

BOOST_AUTO_TEST_SUITE(table_exchange)

BOOST_AUTO_TEST_CASE(
    version_read_from_the_store_by_all_entries_is_not_sent_between_them) {
  Entries entries(55);
  for (int i = 0; i < 55; ++i) {
    entries.Deliver(i, ConfigRead{Config(7, kLargeConfig)});
    entries.Deliver(i, Members(295));
    entries.RunFor(Ms(5));
  }
  entries.RunFor(Ms(5000));
  BOOST_TEST(entries.queues_sent() == 0);
  BOOST_TEST(entries.members_sent() == 0);
}

BOOST_AUTO_TEST_CASE(entry_refused_by_the_store_fetches_one_copy_from_a_peer) {
  Entries entries(55);
  entries.Deliver(9, StoreReadResult{StoreTable::kConfig, true});
  for (int i = 0; i < 55; ++i) {
    if (i != 9) {
      entries.Deliver(i, ConfigRead{Config(7, kLargeConfig)});
    }
  }
  entries.RunFor(Ms(120));
  BOOST_TEST((entries[9].config() == Config(7, kLargeConfig)));
  BOOST_TEST(entries.queues_sent() == kLargeConfig);
  BOOST_TEST(*entries.senders().begin() % 5 == 4,
             "sender is in another data centre");
}

BOOST_AUTO_TEST_CASE(entries_refused_by_the_store_fetch_from_different_peers) {
  Entries entries(55);
  for (int i = 0; i < 18; ++i) {
    entries.Deliver(i, StoreReadResult{StoreTable::kConfig, true});
  }
  for (int i = 18; i < 55; ++i) {
    entries.Deliver(i, ConfigRead{Config(7, kLargeConfig)});
  }
  entries.RunFor(Ms(200));
  for (int i = 0; i < 18; ++i) {
    BOOST_TEST(entries[i].config().version == 7, "entry " << i);
  }
  BOOST_TEST(entries.queues_sent() == 18 * kLargeConfig);
  BOOST_TEST(entries.senders().size() >= 9);
}

// The reads of an unresponsive store neither fail nor end.
BOOST_AUTO_TEST_CASE(
    entry_with_an_unresponsive_store_asks_a_peer_after_a_second) {
  Entries entries(5);
  entries.Deliver(0, ConfigRead{Config(7, kLargeConfig)});
  entries.RunFor(Ms(900));
  BOOST_TEST(entries[3].config().version == 0);
  entries.RunFor(Ms(300));
  BOOST_TEST(entries[3].config().version == 7);
}

BOOST_AUTO_TEST_CASE(fetch_resumes_from_another_peer_when_one_stops_midway) {
  Entries entries(3, kSlowLink);
  entries.Deliver(2, StoreReadResult{StoreTable::kConfig, true});
  entries.Deliver(0, ConfigRead{Config(7, kLargeConfig)});
  entries.RunFor(Ms(60));
  BOOST_TEST(entries.queues_sent() > 0);
  entries.Deliver(1, ConfigRead{Config(7, kLargeConfig)});
  entries.Stop(0);
  entries.RunFor(Ms(2000));
  BOOST_TEST((entries[2].config() == Config(7, kLargeConfig)));
  // Only the part that was lost is sent again.
  BOOST_TEST(entries.queues_sent() <= kLargeConfig + 64);
}

BOOST_AUTO_TEST_CASE(peer_that_claims_a_version_it_lacks_is_asked_once) {
  Entries entries(3);
  entries.Deliver(1, ConfigRead{Config(7, 2)});
  entries.Deliver(2, ConfigRead{Config(7, 2)});
  entries.Deliver(2, StoreReadResult{StoreTable::kConfig, true});
  entries.Deliver(2, TableMessageReceived{
                         "entry-1", TableVersions{.config = 99, .members = 0}});
  entries.RunFor(Ms(3000));
  BOOST_TEST(entries[2].config().version == 7);
  BOOST_TEST(entries.log_events(2) == 1);
}

EvacuationsRead Evacuated(uint64_t through, const std::string& data_centre) {
  return {.records = {{data_centre, true, through}}, .through = through};
}

BOOST_AUTO_TEST_CASE(evacuation_reaches_entries_refused_by_the_store) {
  Entries entries(55);
  entries.Deliver(3, Evacuated(7, "south"));
  entries.RunFor(Ms(20));
  for (int i = 0; i < 55; ++i) {
    BOOST_TEST(entries[i].evacuations().Covers("south"), "entry " << i);
  }
}

BOOST_AUTO_TEST_CASE(end_of_evacuation_reaches_entries_refused_by_the_store) {
  Entries entries(5);
  entries.Deliver(3, Evacuated(7, "south"));
  entries.RunFor(Ms(20));
  entries.Deliver(
      1, EvacuationsRead{.records = {{"south", false, 8}}, .through = 8});
  entries.RunFor(Ms(20));
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(!entries[i].evacuations().Covers("south"), "entry " << i);
  }
}

BOOST_AUTO_TEST_CASE(older_evacuation_state_of_a_peer_is_ignored) {
  Entries entries(2);
  entries.Deliver(0, Evacuated(7, "south"));
  entries.RunFor(Ms(20));
  entries.Deliver(0, TableMessageReceived{"entry-1", Evacuations{6, {}}});
  BOOST_TEST(entries[0].evacuations().Covers("south"));
}

// The store refused the peer's reads between the two changes; this entry has
// read both at once.
BOOST_AUTO_TEST_CASE(
    peer_with_an_older_evacuation_state_is_sent_the_newer_one) {
  Entries entries(2);
  entries.Deliver(1,
                  EvacuationsRead{.records = {}, .through = 6, .whole = true});
  entries.RunFor(Ms(20));
  const EvacuationsRead both = {
      .records = {{"south", true, 7}, {"south", false, 8}}, .through = 8};
  entries.Deliver(1, both);
  entries.Deliver(0, Evacuated(7, "south"));
  entries.RunFor(Ms(20));
  BOOST_TEST(!entries[0].evacuations().Covers("south"));
}

BOOST_AUTO_TEST_CASE(evacuations_are_sent_to_an_entry_that_connects_later) {
  TableExchange exchange(1);
  exchange.Handle(Evacuated(7, "south"), absl::Seconds(1));
  bool sent = false;
  for (const TableAction& action : exchange.Handle(
           EntryConnected{"entry-9", PeerProximity::kOtherDataCentre},
           absl::Seconds(2))) {
    const auto* send = std::get_if<SendTableMessage>(&action);
    sent = sent ||
           (send != nullptr && std::holds_alternative<Evacuations>(send->body));
  }
  BOOST_TEST(sent);
}

// The version lets a new entry distinguish "nothing is evacuated" from "not yet
// received".
BOOST_AUTO_TEST_CASE(empty_evacuation_state_is_sent_once_read_from_the_store) {
  Entries entries(2);
  BOOST_TEST(!entries[1].evacuations().IsLoaded());
  entries.Deliver(0,
                  EvacuationsRead{.records = {}, .through = 3, .whole = true});
  entries.RunFor(Ms(20));
  BOOST_TEST(entries[1].evacuations().IsLoaded());
}

BOOST_AUTO_TEST_CASE(config_part_that_does_not_continue_the_fetch_is_rejected) {
  Entries entries(3);
  entries.Deliver(2, StoreReadResult{StoreTable::kConfig, true});
  entries.Stop(1);
  entries.Deliver(2, TableMessageReceived{
                         "entry-1", TableVersions{.config = 9, .members = 0}});
  entries.RunFor(Ms(30));
  entries.Deliver(
      2, TableMessageReceived{"entry-1", ConfigPart{9, 5, 3, {JobQueue{}}}});
  entries.Deliver(2, TableMessageReceived{"entry-1", ConfigPart{9, 1, 0, {}}});
  BOOST_TEST(entries[2].config().version == 0);
  BOOST_TEST(entries.log_events(2) == 1);
}

BOOST_AUTO_TEST_CASE(older_configuration_version_is_ignored) {
  Entries entries(2);
  entries.Deliver(0, ConfigRead{Config(7, 2)});
  entries.Deliver(0, ConfigRead{Config(6, 3)});
  BOOST_TEST((entries[0].config() == Config(7, 2)));
}

// A new version is published every 330 ms, while transferring one takes half a
// second.
BOOST_AUTO_TEST_CASE(
    fetch_completes_when_versions_change_faster_than_the_link_carries_one) {
  Entries entries(2, kSlowLink);
  entries.Deliver(1, StoreReadResult{StoreTable::kConfig, true});
  for (uint64_t version = 1; version <= 12; ++version) {
    entries.Deliver(0, ConfigRead{Config(version, kLargeConfig)});
    entries.RunFor(Ms(330));
  }
  BOOST_TEST(entries[1].config().version >= 6);
  entries.RunFor(Ms(2000));
  BOOST_TEST((entries[1].config() == Config(12, kLargeConfig)));
}

BOOST_AUTO_TEST_CASE(only_members_newer_than_the_requested_version_are_sent) {
  Entries entries(2);
  entries.Deliver(1, Members(100));
  entries.Deliver(1, StoreReadResult{StoreTable::kMembers, true});
  entries.Deliver(0, Members(295));
  entries.RunFor(Ms(500));
  BOOST_TEST(entries[1].members().size() == 295);
  BOOST_TEST(entries.members_sent() == 195);
}

// Both entries restarted while the store was unreachable; each must receive the
// tables that the other has.
BOOST_AUTO_TEST_CASE(
    entry_without_a_store_receives_all_tables_when_a_peer_connects) {
  Entries entries(2);
  entries.Deliver(1, EntryDisconnected{"entry-0"});
  entries.Deliver(0, EntryDisconnected{"entry-1"});
  entries.Deliver(0, ConfigRead{Config(7, 3)});
  entries.Deliver(0, Members(60));
  entries.Deliver(1, StoreReadResult{StoreTable::kConfig, true});
  entries.Deliver(1, StoreReadResult{StoreTable::kMembers, true});
  entries.RunFor(Ms(1000));
  BOOST_TEST(entries[1].config().version == 0);
  entries.Deliver(0,
                  EntryConnected{"entry-1", PeerProximity::kOtherDataCentre});
  entries.Deliver(1,
                  EntryConnected{"entry-0", PeerProximity::kOtherDataCentre});
  entries.RunFor(Ms(100));
  BOOST_TEST(entries[1].config().version == 7);
  BOOST_TEST(entries[1].members().size() == 60);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
