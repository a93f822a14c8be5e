// Table exchanges of entries and agents, wired by hand in virtual time: entries
// may lose power and start again while the store is unreachable.
//
//   TableWorld world(2, 3);
//   world.Publish(Config(7, 5));
//   world.LoseEntries();
//   world.StartEntry(0);
//   world.RunFor(Ms(1000));
//   BOOST_TEST(world.entry(0).config().version == 7);
#ifndef EGRETSWITCH_TEST_TABLE_WORLD_H_
#define EGRETSWITCH_TEST_TABLE_WORLD_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "lost_entry_dials.h"
#include "table_exchange.h"
#include "virtual_time.h"

namespace egretswitch::internal {

inline ServiceConfig ConfigOf(uint64_t version, size_t queues) {
  ServiceConfig config{.version = version, .queues = {}};
  for (size_t i = 0; i < queues; ++i) {
    JobQueue queue;
    queue.name = absl::StrCat("queue-", i, "-of-", version);
    config.queues.push_back(queue);
  }
  return config;
}

class TableWorld {
 public:
  // All entries and agents are up and linked; the store is empty.
  TableWorld(int entries, int agents) : m_entry_count(entries) {
    for (int i = 0; i < entries; ++i) {
      m_stored.members.push_back({EntryName(i),
                                  absl::StrCat("10.1.0.", i, ":7720"), true,
                                  m_stored.members.size() + 1});
    }
    for (int i = 0; i < agents; ++i) {
      m_stored.members.push_back({AgentName(i),
                                  absl::StrCat("10.2.0.", i, ":7720"), false,
                                  m_stored.members.size() + 1});
      Node& agent = m_nodes[AgentName(i)];
      agent.exchange =
          std::make_unique<TableExchange>(Seed(), ProcessRole::kAgent);
      agent.dials = std::make_unique<LostEntryDials>(Seed());
    }
    m_stored.next_offset = m_stored.members.size();
    for (int i = 0; i < entries; ++i) {
      StartEntry(i);
      for (int j = 0; j < agents; ++j) {
        Link(EntryName(i), AgentName(j));
      }
    }
    RunFor(Ms(50));
  }

  static std::string EntryName(int i) { return absl::StrCat("entry-", i); }
  static std::string AgentName(int i) { return absl::StrCat("agent-", i); }

  const TableExchange& entry(int i) const {
    return *m_nodes.at(EntryName(i)).exchange;
  }
  const TableExchange& agent(int i) const {
    return *m_nodes.at(AgentName(i)).exchange;
  }
  // Parts of configurations that a process has sent.
  size_t PartsSentBy(const std::string& name) const {
    const auto it = m_parts_sent.find(name);
    return it == m_parts_sent.end() ? 0 : it->second;
  }
  size_t CopyRequests() const { return m_copy_requests; }
  // The versions that have been in force at an entry, over all its lives.
  const std::vector<uint64_t>& VersionsOf(int i) const {
    return m_nodes.at(EntryName(i)).versions;
  }
  const std::vector<CopyContradicted>& contradictions() const {
    return m_contradictions;
  }
  const std::vector<std::string>& notes() const { return m_notes; }

  void SetStoreUp(bool up) {
    m_store_up = up;
    for (int i = 0; i < m_entry_count; ++i) {
      ReadStore(EntryName(i));
    }
  }
  // Each running entry reads it at once, if the store is up.
  void Publish(ServiceConfig config) {
    m_stored_config = std::move(config);
    SetStoreUp(m_store_up);
  }
  void SetEvacuations(EvacuationsRead state) {
    m_stored_evacuations = std::move(state);
    SetStoreUp(m_store_up);
  }

  void LoseEntries() {
    for (int i = 0; i < m_entry_count; ++i) {
      LoseEntry(i);
    }
  }
  void LoseEntry(int i) {
    const std::string name = EntryName(i);
    m_nodes[name].exchange.reset();
    const auto links = m_links;
    for (const auto& [left, right] : links) {
      if (left == name || right == name) {
        Unlink(left, right);
      }
    }
  }
  // A process that was lost, or another one in its place. It knows nobody.
  void StartEntry(int i) {
    Node& node = m_nodes[EntryName(i)];
    node.exchange = std::make_unique<TableExchange>(Seed());
    ReadStore(EntryName(i));
  }

  void Link(const std::string& left, const std::string& right) {
    if (m_nodes[left].exchange == nullptr ||
        m_nodes[right].exchange == nullptr ||
        !m_links.insert({std::min(left, right), std::max(left, right)})
             .second) {
      return;
    }
    Connected(left, right);
    Connected(right, left);
  }
  void Unlink(const std::string& left, const std::string& right) {
    if (m_links.erase({std::min(left, right), std::max(left, right)}) == 0) {
      return;
    }
    Disconnected(left, right);
    Disconnected(right, left);
  }
  // The process stays linked and no longer takes part.
  void Silence(const std::string& name) { m_nodes[name].silent = true; }
  // Keeps an agent from dialling.
  void StopDialling(int agent) { m_nodes[AgentName(agent)].dials.reset(); }

  // `to` receives a message in the name of `from`.
  void Inject(const std::string& from,
              const std::string& to,
              const TableMessage& body) {
    Deliver(to, TableMessageReceived{from, body});
  }
  void RunFor(VirtualUs us) { m_time.RunUntil(m_time.now() + us); }

 private:
  struct Node {
    std::unique_ptr<TableExchange> exchange;  // null while it is down
    std::unique_ptr<LostEntryDials> dials;    // of an agent
    bool silent = false;
    std::vector<uint64_t> versions;
  };
  static constexpr VirtualUs kDelay = Ms(1);

  MonoTime Now() const {
    return absl::Microseconds(m_time.now()) + absl::Seconds(100);
  }
  uint64_t Seed() { return 2'654'435'761u * ++m_seeds; }
  static bool IsEntry(const std::string& name) {
    return name.starts_with("entry");
  }

  void ReadStore(const std::string& name) {
    if (m_nodes[name].exchange == nullptr) {
      return;
    }
    for (const StoreTable table : {StoreTable::kConfig, StoreTable::kMembers}) {
      Deliver(name, StoreReadResult{table, !m_store_up});
    }
    if (!m_store_up) {
      return;
    }
    Deliver(name, m_stored_evacuations);
    if (m_stored_config.version > 0) {
      Deliver(name, ConfigRead{m_stored_config});
    }
    Deliver(name, m_stored);
  }

  void Connected(const std::string& name, const std::string& peer) {
    if (!IsEntry(name)) {
      if (m_nodes[name].dials != nullptr) {
        m_nodes[name].dials->OnLinkUp(peer);
      }
      Deliver(name, EntryConnected{peer});
      TellEvacuations(peer, name);
    } else if (IsEntry(peer)) {
      Deliver(name, EntryConnected{peer});
    } else {
      Deliver(name, AgentConnected{peer});
    }
  }

  // Dispatchers send the evacuations to agents, once the store has them.
  void TellEvacuations(const std::string& entry, const std::string& agent) {
    const TableExchange& exchange = *m_nodes.at(entry).exchange;
    if (exchange.evacuations().IsLoaded() && exchange.evacuations_confirmed()) {
      m_time.After(kDelay,
                   [this, entry, agent, state = exchange.evacuations()] {
                     Deliver(agent, TableMessageReceived{entry, state});
                   });
    }
  }

  void Disconnected(const std::string& name, const std::string& peer) {
    Deliver(name, EntryDisconnected{peer});
    Node& node = m_nodes[name];
    if (node.dials != nullptr) {
      node.dials->OnLinkLost(peer, Now());
      Dial(name);
    }
  }

  void Dial(const std::string& name) {
    Node& node = m_nodes[name];
    if (node.dials == nullptr) {
      return;
    }
    for (const PeerAddress& target :
         node.dials->Targets(node.exchange->members(), Now())) {
      Link(name, target.name);
    }
    if (node.dials->NextWake() != absl::InfiniteDuration()) {
      m_time.After(Ms(20), [this, name] { Dial(name); });
    }
  }

  void Deliver(const std::string& name, const TableEvent& event) {
    Node& node = m_nodes[name];
    if (node.exchange == nullptr || node.silent) {
      return;
    }
    for (const TableAction& action : node.exchange->Handle(event, Now())) {
      if (const auto* send = std::get_if<SendTableMessage>(&action)) {
        Transmit(name, *send);
      } else if (std::holds_alternative<ConfigInForce>(action)) {
        node.versions.push_back(node.exchange->config().version);
      } else if (std::holds_alternative<EvacuationsInForce>(action)) {
        for (const auto& [left, right] : std::set(m_links)) {
          if (right == name && !IsEntry(left)) {
            TellEvacuations(name, left);
          }
        }
      } else if (const auto* contradicted =
                     std::get_if<CopyContradicted>(&action)) {
        m_contradictions.push_back(*contradicted);
      } else if (std::holds_alternative<CopyRequested>(action)) {
        ++m_copy_requests;
      } else if (const auto* note = std::get_if<NoteStateChange>(&action)) {
        m_notes.emplace_back(note->what);
      }
    }
    const MonoTime wake = node.exchange->NextWake();
    if (wake != absl::InfiniteDuration()) {
      m_time.After(
          std::max<VirtualUs>(absl::ToInt64Microseconds(absl::Ceil(
                                  wake - Now(), absl::Microseconds(1))),
                              0),
          [this, name, wake] {
            Node& woken = m_nodes[name];
            if (woken.exchange != nullptr &&
                woken.exchange->NextWake() == wake) {
              Deliver(name, TableTimePassed{});
            }
          });
    }
  }

  void Transmit(const std::string& from, const SendTableMessage& send) {
    const std::pair<std::string, std::string> link = {
        std::min(from, send.name), std::max(from, send.name)};
    if (!m_links.contains(link)) {
      return;
    }
    m_parts_sent[from] += std::holds_alternative<ConfigPart>(send.body) ? 1 : 0;
    m_time.After(kDelay, [this, from, link, send] {
      if (m_links.contains(link)) {
        Deliver(send.name, TableMessageReceived{from, send.body});
      }
    });
  }

  VirtualTime m_time{1};
  const int m_entry_count;
  uint64_t m_seeds = 0;
  std::map<std::string, Node> m_nodes;
  std::set<std::pair<std::string, std::string>> m_links;
  bool m_store_up = true;
  ServiceConfig m_stored_config;
  EvacuationsRead m_stored_evacuations{.records = {},
                                       .through = 1,
                                       .whole = true};
  MembersRead m_stored;
  std::map<std::string, size_t> m_parts_sent;
  size_t m_copy_requests = 0;
  std::vector<CopyContradicted> m_contradictions;
  std::vector<std::string> m_notes;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_TABLE_WORLD_H_
