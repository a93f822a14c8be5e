// What an entry knows of the deployment, its configuration, the evacuated data
// centres and the members, and how entries help each other to it when the store
// doesn't. No I/O; the shell follows the store, sends and receives.
//
//   ConfigRead{version 7}                -> ConfigInForce{7, "store"},
//                                           SendTableMessage{entry-2,
//                                           TableVersions{7, 0}}
//   TableMessageReceived{entry-2, TableVersions{9, 0}} -> 20 ms later, if the
//   store fails:
//                                           SendTableMessage{entry-2,
//                                           ConfigRequest{9}}
#ifndef EGRETSWITCH_SRC_TABLE_EXCHANGE_H_
#define EGRETSWITCH_SRC_TABLE_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "clock.h"
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

struct EntryDisconnected {
  std::string name;
};

struct TableMessageReceived {
  std::string name;
  TableMessage body;
};

// Read from the store.
struct ConfigRead {
  ServiceConfig config;
};

struct RemovedMember {
  std::string name;
  uint64_t version = 0;
};

// Read from the store: records up to the one before `next_offset`.
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
  std::string from;  // "store", or the entry's name
  // Since a linked entry named a newer version than the former one; zero: none
  // did.
  absl::Duration behind;
};

// evacuations() has changed, or only reaches further.
struct EvacuationsInForce {
  std::vector<std::string> begun;
  std::vector<std::string> ended;
  std::string from;  // "store", or the entry's name
};

// members() has these, new or changed.
struct MembersChanged {
  std::vector<MemberAddress> members;
  std::string from;
};

using TableAction = std::variant<SendTableMessage,
                                 ConfigInForce,
                                 EvacuationsInForce,
                                 MembersChanged,
                                 NoteStateChange>;
using TableActions = std::vector<TableAction>;

class TableExchange {
 public:
  explicit TableExchange(uint64_t seed);

  TableActions Handle(const TableEvent& event, MonoTime now);

  // When TableTimePassed is next due; infinite: not before news come.
  MonoTime NextWake() const;

  const ServiceConfig& config() const { return *m_config; }
  const Evacuations& evacuations() const { return m_evacuations; }
  // The newest version that a linked entry has named; 0: none did.
  uint64_t NewestPeerConfigVersion() const {
    return m_config_fetch.NewestPeerVersion();
  }
  // This process is among them, once its own record has been read.
  const MemberList& members() const { return m_members; }

 private:
  void On(const EntryConnected& event);
  void On(const EntryDisconnected& event);
  void On(const TableMessageReceived& event);
  void On(const ConfigRead& event);
  void On(const EvacuationsRead& event);
  void On(const MembersRead& event);
  void On(const StoreReadResult& event);
  void On(const TableTimePassed& event);

  void Answer(const std::string& entry, const TableVersions& held);
  void Answer(const std::string& entry, const ConfigRequest& wanted);
  void Answer(const std::string& entry, const ConfigPart& part);
  void Answer(const std::string& entry, const MembersRequest& wanted);
  void Answer(const std::string& entry, const MembersPart& part);
  void Answer(const std::string& entry, const Evacuations& told);

  bool Append(const ConfigPart& part);
  void TakeConfig(ServiceConfig config, const std::string& from);
  void TakeEvacuations(const Evacuations& state, const std::string& from);
  void TakeMembers(const std::vector<MemberAddress>& members,
                   uint64_t through,
                   const std::string& from);
  void AskIfDue();
  void AskForConfig(const std::string& entry);
  TableVersions Held() const;
  void TellHeldIfDue();
  void RejectAnswer(PeerFetch& fetch,
                    const std::string& entry,
                    std::string_view table);
  void Tell(const std::string& entry, TableMessage body);

  TableActions m_actions;
  MonoTime m_now = absl::ZeroDuration();
  // Shared, since the former one is kept for those who are reading it.
  std::shared_ptr<const ServiceConfig> m_config;
  std::shared_ptr<const ServiceConfig> m_former_config;
  ServiceConfig m_incoming;  // what has come of a neighbour's
  Evacuations m_evacuations;
  MemberList m_members;
  PeerFetch m_config_fetch;
  PeerFetch m_members_fetch;
  std::vector<std::string> m_entries;  // linked
  TableVersions m_told;                // to all of them
  MonoTime m_next_telling = absl::ZeroDuration();
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_TABLE_EXCHANGE_H_
