// The shell around a TableExchange: follows both tables of the store, decodes
// their records, and logs what this entry comes to believe.
//
//   DeploymentTables tables(loop, source, "entry-1", std::move(events));
//   tables.Start();
//   tables.config().FindQueue("desk.example", "/stock/5c0e")
#ifndef EGRETSWITCH_SRC_DEPLOYMENT_TABLES_H_
#define EGRETSWITCH_SRC_DEPLOYMENT_TABLES_H_

#include <functional>
#include <map>
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

// Where the tables come from; must outlive the DeploymentTables.
struct TableSource {
  KeyedStore& store;
  // The key of the configuration in its table, and its form.
  std::string config_key;
  std::function<absl::StatusOr<ServiceConfig>(std::string_view)> decode_config;
  // Of keys in the same table; the name of an evacuated data centre follows.
  std::string evacuation_prefix;
  // A configuration is in force so long after the store has it, also when a
  // connection to the store dies unseen.
  absl::Duration config_within = kConfigWithin;
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

  void EntryUp(const std::string& name, PeerPlace place);
  void EntryDown(const std::string& name);
  void OnMessage(const std::string& entry, const TableMessage& body);

  const ServiceConfig& config() const { return m_exchange.config(); }
  const Evacuations& evacuations() const { return m_exchange.evacuations(); }
  // Whether callers can be served by what is known. Without word of evacuations
  // nobody knows where work may go.
  bool Complete() const {
    return config().version > 0 && evacuations().IsLoaded();
  }
  // How this process came to know of what is evacuated, by data centre.
  struct Learnt {
    MonoTime at = absl::ZeroDuration();
    std::string from;  // "store", or the entry's name
  };
  const std::map<std::string, Learnt>& learnt_evacuations() const {
    return m_learnt_evacuations;
  }
  const MemberList& members() const { return m_exchange.members(); }

  // All that operators had published by this moment has been read from the
  // store; minus infinity: nothing was read yet.
  MonoTime config_confirmed_at() const {
    return m_config_follower.confirmed_at();
  }
  // Reads at the store what is new; `done` is told, maybe within the call,
  // whether config() is the operators' newest.
  void ConfirmConfig(std::function<void(bool confirmed)> done) {
    m_config_follower.Confirm(std::move(done));
  }
  uint64_t NewestConfigNamed() const { return m_exchange.NewestConfigNamed(); }

  const RunCounters& counters() const { return m_counters; }

 private:
  void OnFailure(StoreTable table);
  void OnOperatorsPage(const KeyedPage& page);
  void ReadConfig(const KeyedPage& page);
  void ReadEvacuations(const KeyedPage& page);
  void OnMembersPage(const KeyedPage& page);
  void NoteUnreadable(std::string_view table,
                      uint64_t next_offset,
                      uint32_t unreadable,
                      const std::string& reason);

  void Deliver(const TableEvent& event);
  void Perform(const TellEntry& tell);
  void Perform(const ConfigInForce& change);
  void Perform(const EvacuationsInForce& change);
  void Perform(const MembersChanged& change);
  void Perform(const NoteStateChange& change);

  const TableSource m_source;
  const std::string m_self;
  const DeploymentTablesEvents m_events;
  TableExchange m_exchange;
  WakeTimer m_wake;
  StoreFollower m_config_follower;
  StoreFollower m_members_follower;
  std::map<std::string, Learnt> m_learnt_evacuations;
  RunCounters m_counters;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_DEPLOYMENT_TABLES_H_
