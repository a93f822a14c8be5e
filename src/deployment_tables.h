// Runs a TableExchange: follows both tables of the store, decodes their records
// and logs each change of the entry's state.
//
//   DeploymentTables tables(loop, source, "entry-1", std::move(events));
//   tables.Start();
//   tables.config().FindQueue("desk.example", "/stock/5c0e")
#ifndef EGRETSWITCH_SRC_DEPLOYMENT_TABLES_H_
#define EGRETSWITCH_SRC_DEPLOYMENT_TABLES_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "event_loop.h"
#include "keyed_store.h"
#include "node_events.h"
#include "run_counters.h"
#include "store_follower.h"
#include "table_exchange.h"
#include "wake_timer.h"

namespace egretswitch::internal {

// The source of the tables; must outlive the DeploymentTables.
struct TableSource {
  KeyedStore& store;
  // The key of the configuration in its table, and the decoder of its value.
  std::string config_key;
  std::function<absl::StatusOr<ServiceConfig>(std::string_view)> decode_config;
  // Prefix of keys in the same table; the rest of the key is the name of an
  // evacuated data centre.
  std::string evacuation_prefix;
  // The longest time from the store's acknowledgement of a configuration until
  // it is in force, also when a connection to the store stops responding
  // without a reset.
  absl::Duration config_apply_limit = kDefaultConfigApplyLimit;
};

// All must be set.
struct DeploymentTablesEvents {
  std::function<void(const std::string& entry, const TableMessage& body)> send;
  std::function<void()> config_changed;
  std::function<void()> evacuations_changed;
  std::function<void()> members_changed;
};

class DeploymentTables {
 public:
  DeploymentTables(EventLoop& loop,
                   TableSource source,
                   std::string self,
                   DeploymentTablesEvents events);

  void Start();

  void OnEntryConnected(const std::string& name, PeerProximity proximity);
  // An agent that may keep copies of the tables.
  void OnAgentConnected(const std::string& name, PeerProximity proximity);
  void OnEntryDisconnected(const std::string& name);
  void OnMessage(const std::string& entry, const TableMessage& body);

  const ServiceConfig& config() const { return m_exchange.config(); }
  const Evacuations& evacuations() const { return m_exchange.evacuations(); }
  // The evacuations for agents: those that came from agents have no version
  // here, so that no agent takes them for news.
  Evacuations evacuations_for_agents() const;
  // Whether callers can be served. Until evacuations have been received, this
  // entry can't tell which data centres may get work.
  bool Complete() const {
    return config().version > 0 && evacuations().IsLoaded();
  }
  // When and from where this process received an evacuation, by data centre.
  struct EvacuationSource {
    MonoTime at = absl::ZeroDuration();
    std::string from;  // "store", or the entry's name
  };
  const std::map<std::string, EvacuationSource>& evacuation_sources() const {
    return m_evacuation_sources;
  }
  const MemberList& members() const { return m_exchange.members(); }

  // Everything that operators published up to this time has been read from the
  // store; minus infinity if nothing was read yet.
  MonoTime config_confirmed_at() const {
    return m_config_follower.confirmed_at();
  }
  // Reads new records from the store. Calls `done`, possibly before returning,
  // with whether config() is the newest one that operators published.
  void ConfirmConfig(std::function<void(bool confirmed)> done) {
    m_config_follower.Confirm(std::move(done));
  }
  uint64_t NewestPeerConfigVersion() const {
    return m_exchange.NewestPeerConfigVersion();
  }

  const RunCounters& counters() const { return m_counters; }

 private:
  struct UnreadableRecords;

  void OnStoreFailure(StoreTable table);
  void OnOperatorsPage(const KeyedPage& page);
  void ReadConfig(const KeyedPage& page);
  void ReadEvacuations(const KeyedPage& page);
  void OnMembersPage(const KeyedPage& page);
  static UnreadableRecords SkippedIn(const KeyedPage& page);
  void ReadFormerMembers();
  void ReadFormerMembers(uint64_t from);
  void OnFormerMembers(uint64_t from, const absl::StatusOr<KeyedPage>& page);
  void TakeFormerMembers(const KeyedPage& page);
  void LogUnreadable(std::string_view table,
                     uint64_t next_offset,
                     const UnreadableRecords& unreadable);

  void Deliver(const TableEvent& event);
  void Perform(const SendTableMessage& tell);
  void Perform(const ConfigInForce& change);
  void Perform(const EvacuationsInForce& change);
  void Perform(const MembersChanged& change);
  void Perform(const CopyContradicted& change);
  void Perform(const CopyRequested& request);
  void Perform(const NoteStateChange& change);

  const TableSource m_source;
  const std::string m_self;
  const DeploymentTablesEvents m_events;
  TableExchange m_exchange;
  WakeTimer m_wake;
  StoreFollower m_config_follower;
  StoreFollower m_members_follower;
  std::map<std::string, EvacuationSource> m_evacuation_sources;
  // Members whose newest record is unreadable, each with the last readable one
  // before it as far as the history has been read.
  std::map<std::string, std::optional<MemberAddress>> m_former_members;
  bool m_reading_former_members = false;
  RunCounters m_counters;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_DEPLOYMENT_TABLES_H_
