// A process's copy of the deployment's state: the configuration, the evacuated
// data centres and the members. Entries exchange it when the store is
// unreachable or slow, and agents may keep copies for entries that have none.
// Performs no I/O; DeploymentTables and TableKeeper send and receive.
//
//   ConfigRead{version 7}
//       -> ConfigInForce{7, "store"},
//          SendTableMessage{entry-2, TableVersions{7, 0}}
//   TableMessageReceived{entry-2, TableVersions{9, 0}}
//       -> 20 ms later, if the store fails:
//          SendTableMessage{entry-2, ConfigRequest{9}}
#ifndef EGRETSWITCH_SRC_TABLE_EXCHANGE_H_
#define EGRETSWITCH_SRC_TABLE_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "clock.h"
#include "copy_age.h"
#include "evacuations.h"
#include "keyed_store.h"
#include "member_list.h"
#include "node_events.h"
#include "peer_fetch.h"
#include "service_config.h"
#include "table_messages.h"

namespace egretswitch::internal {

// ---- Events

struct EntryConnected {
  std::string name;
  PeerProximity proximity = PeerProximity::kOtherDataCentre;
};

// An agent that keeps copies.
struct AgentConnected {
  std::string name;
  PeerProximity proximity = PeerProximity::kOtherDataCentre;
};

// The link to an entry or agent has ended.
struct EntryDisconnected {
  std::string name;
};

struct TableMessageReceived {
  std::string name;
  TableMessage body;
};

// A configuration was read from the store.
struct ConfigRead {
  ServiceConfig config;
};

struct RemovedMember {
  std::string name;
  uint64_t version = 0;
};

// Members were read from the store: all records before `next_offset`.
struct MembersRead {
  std::vector<MemberAddress> members;
  std::vector<RemovedMember> removed;
  uint64_t next_offset = 0;
};

// Whether the latest read of a table failed.
struct StoreReadResult {
  StoreTable table = StoreTable::kConfig;
  bool failing = false;
};

struct TableTimePassed {};

using TableEvent = std::variant<EntryConnected,
                                AgentConnected,
                                EntryDisconnected,
                                TableMessageReceived,
                                ConfigRead,
                                EvacuationsRead,
                                MembersRead,
                                StoreReadResult,
                                TableTimePassed>;

// ---- Actions

struct SendTableMessage {
  std::string name;
  TableMessage body;
};

// config() has changed.
struct ConfigInForce {
  uint64_t former = 0;
  std::string from;  // "store", or the peer's name
  bool from_agent = false;
  // Time since a linked entry reported a newer version than the former one;
  // zero if none did.
  absl::Duration behind;
};

// evacuations() has changed; if both lists are empty, only its version did.
struct EvacuationsInForce {
  std::vector<std::string> begun;
  std::vector<std::string> ended;
  std::string from;  // "store", or the entry's name
};

// These records in members() are new or changed.
struct MembersChanged {
  std::vector<MemberAddress> members;
  std::string from;
};

// The first state that the store delivered is older than the one that agents
// gave, so the latter is void.
struct CopyContradicted {
  std::string table;
  uint64_t copied = 0;  // versions
  uint64_t stored = 0;
};

// A peer without a configuration requested this process's one.
struct CopyRequested {
  std::string entry;
  uint64_t version = 0;
  absl::Duration age;
};

using TableAction = std::variant<SendTableMessage,
                                 ConfigInForce,
                                 EvacuationsInForce,
                                 MembersChanged,
                                 CopyContradicted,
                                 CopyRequested,
                                 NoteStateChange>;
using TableActions = std::vector<TableAction>;

class TableExchange {
 public:
  // An entry follows the store, and uses copies of agents until it has read the
  // store or received the tables of another entry. An agent only keeps copies
  // of what entries have.
  explicit TableExchange(uint64_t seed, ProcessRole role = ProcessRole::kEntry);

  TableActions Handle(const TableEvent& event, MonoTime now);

  // When TableTimePassed is next due; infinite if only another event can cause
  // an action.
  MonoTime NextWake() const;

  const ServiceConfig& config() const { return *m_config; }
  const Evacuations& evacuations() const { return m_evacuations; }
  // Whether the table came from the store or an entry, not only from agents. An
  // unconfirmed one is not passed on.
  bool config_confirmed() const { return m_config_confirmed; }
  bool evacuations_confirmed() const { return m_evacuations_confirmed; }
  // The newest version that a linked entry has reported; 0 if none did.
  uint64_t NewestPeerConfigVersion() const {
    return m_config_fetch.NewestPeerVersion();
  }
  // Includes this process once its own record has been read.
  const MemberList& members() const { return m_members; }

 private:
  // Ages are sent as at most this, which is beyond any limit.
  static constexpr uint64_t kMaxAgeMs = 24ull * 3600 * 1000;

  // Peers of one kind, and what was announced to them.
  struct Audience {
    std::vector<std::string> peers;  // linked
    TableVersions announced;
    absl::Duration period;  // between announcements of only new members
    MonoTime next_announcement = absl::ZeroDuration();
  };

  void On(const EntryConnected& event);
  void On(const AgentConnected& event);
  void On(const EntryDisconnected& event);
  void On(const TableMessageReceived& event);
  void On(const ConfigRead& event);
  void On(const EvacuationsRead& event);
  void On(const MembersRead& event);
  void On(const StoreReadResult& event);
  void On(const TableTimePassed& event);

  void OnMessage(const std::string& entry, const TableVersions& held);
  void OnMessage(const std::string& entry, const ConfigRequest& request);
  void OnMessage(const std::string& entry, const ConfigPart& part);
  void OnMessage(const std::string& entry, const MembersRequest& request);
  void OnMessage(const std::string& entry, const MembersPart& part);
  void OnMessage(const std::string& entry, const Evacuations& received);
  void OnCopy(const std::string& agent, const Evacuations& received);

  bool IsAgent(const std::string& peer) const;
  bool IsLinked(const std::string& peer) const;
  void RecordCopy(const std::string& agent, const TableVersions& held);
  void ConfirmConfig();
  void ConfirmMembers();
  void Contradict(std::string_view table, uint64_t copied, uint64_t stored);
  bool Append(const ConfigPart& part);
  void ApplyConfig(ServiceConfig config, const std::string& from);
  // `confirms`: until now the state came from an agent, or there was none.
  void ApplyEvacuations(const Evacuations& state,
                        const std::string& from,
                        bool confirms = false);
  void ApplyMembers(const std::vector<MemberAddress>& members,
                    uint64_t through,
                    const std::string& from);
  void RequestIfDue();
  void RequestConfig(const std::string& entry);
  TableVersions OwnVersions() const;
  TableVersions VersionsToSend() const;
  void AnnounceVersionsIfDue(Audience& audience);
  void RejectAnswer(PeerFetch& fetch,
                    const std::string& entry,
                    std::string_view table);
  void Send(const std::string& entry, TableMessage body);

  const bool m_keeps_copies;  // the role of an agent
  TableActions m_actions;
  MonoTime m_now = absl::ZeroDuration();
  // Shared, since the former version is retained for entries that are still
  // fetching it.
  std::shared_ptr<const ServiceConfig> m_config;
  std::shared_ptr<const ServiceConfig> m_former_config;
  ServiceConfig m_incoming;        // partial, being fetched from peers
  bool m_incoming_copied = false;  // from an agent
  Evacuations m_evacuations;
  MemberList m_members;
  PeerFetch m_config_fetch;
  PeerFetch m_members_fetch;
  bool m_config_confirmed;
  bool m_evacuations_confirmed;
  bool m_members_confirmed;
  CopyAge m_copy_age;  // of an agent's configuration
  Audience m_entries;
  Audience m_agents;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_TABLE_EXCHANGE_H_
