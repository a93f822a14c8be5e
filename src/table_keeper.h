// Runs a TableExchange in an agent, which keeps copies of the tables of the
// entries that it is linked to, and selects the entries that it dials.
//
//   TableKeeper keeper(loop, events);
//   keeper.OnEntryConnected("entry-1", PeerProximity::kSameDataCentre);
//   keeper.OnMessage("entry-1", TableVersions{7, 41});
//   // Up to a second later: events.send("entry-1", ConfigRequest{...})
//
// All copies are lost with the process.
#ifndef EGRETSWITCH_SRC_TABLE_KEEPER_H_
#define EGRETSWITCH_SRC_TABLE_KEEPER_H_

#include <functional>
#include <string>
#include <vector>

#include "event_loop.h"
#include "lost_entry_dials.h"
#include "metrics_text.h"
#include "run_counters.h"
#include "table_exchange.h"
#include "wake_timer.h"

namespace egretswitch::internal {

// All must be set.
struct TableKeeperEvents {
  std::function<void(const std::string& entry, const TableMessage& body)> send;
  std::function<void(const std::vector<PeerAddress>& entries)> dial;
};

class TableKeeper {
 public:
  // `loop` must outlive the keeper.
  TableKeeper(EventLoop& loop, TableKeeperEvents events);

  void OnEntryConnected(const std::string& name, PeerProximity proximity);
  void OnEntryDisconnected(const std::string& name);
  void OnMessage(const std::string& entry, const TableMessage& body);

  void AddMetrics(MetricsText& text) const;
  const RunCounters& counters() const { return m_counters; }

 private:
  void Deliver(const TableEvent& event);
  void SelectDialTargets();
  void Perform(const SendTableMessage& tell);
  void Perform(const ConfigInForce& change);
  void Perform(const EvacuationsInForce& change);
  void Perform(const MembersChanged& change);
  void Perform(const CopyContradicted& change);
  void Perform(const CopyRequested& request);
  void Perform(const NoteStateChange& change);

  const TableKeeperEvents m_events;
  TableExchange m_exchange;
  LostEntryDials m_dials;
  WakeTimer m_wake;       // of the exchange
  WakeTimer m_dial_wake;  // of the dials
  RunCounters m_counters;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_TABLE_KEEPER_H_
