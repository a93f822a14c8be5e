// The ownership side of an entry as one object: follows the log, knows the
// other entries, holds the lease, takes shards over and gives them away.
//
//   control.OnLogReadDone(...)    // folds, joins, claims, fences
//   control.Update();             // once after every event
//
// The node calls NodeContext::Begin() before. Jobs see nothing of this but the
// ShardAuthority, and are told of changes through a ControlObserver.
#ifndef EGRETSWITCH_SRC_ENTRY_CONTROL_H_
#define EGRETSWITCH_SRC_ENTRY_CONTROL_H_

#include <cstdint>
#include <functional>
#include <string_view>

#include "agent_directory.h"
#include "entry_membership.h"
#include "entry_node.h"
#include "entry_state_notes.h"
#include "kernel.h"
#include "log_follower.h"
#include "node_context.h"
#include "node_events.h"
#include "operator_edits.h"
#include "owner_lease.h"
#include "peer_table.h"
#include "shard_assignment.h"
#include "shard_authority.h"
#include "shard_takeover.h"
#include "snapshot_writer.h"

namespace egretswitch::internal {

// What the jobs' side is told beyond the fate of shards.
class ControlObserver : public ShardObserver, public PeerObserver {
 public:
  // An accepted edit of the operator table was folded.
  virtual void OnTableChanged() = 0;
};

class EntryControl {
 public:
  // Registers its services with `kernel`; all arguments outlive it.
  EntryControl(const EntryOptions& options,
               NodeContext* context,
               AgentDirectory* agents,
               Kernel* kernel);
  EntryControl(const EntryControl&) = delete;
  EntryControl& operator=(const EntryControl&) = delete;

  void SetObserver(ControlObserver* observer);

  // Whether the jobs' side has nothing open; asked in a drain.
  void SetIdle(std::function<bool()> idle);

  void OnLinkUp(const Hello& hello);
  void OnLinkDown(const LinkDown& down);
  void OnRefused(const PeerRefusedConnection& refused);
  void OnTick();
  void BeginDrain();

  // Takes the messages that concern it, and the status of agents. False: the
  // message came on a link that is not up, and nobody may act by it.
  bool OnMessage(const MessageArrived& arrived);

  LogFollower& log() { return m_log; }
  OperatorEdits& edits() { return m_edits; }

  // Draws all conclusions from the event. Comes after every event, before the
  // jobs' side acts.
  void Update();

  const ShardAuthority& authority() const { return m_takeover; }
  const ControlState& control() const { return m_log.control(); }

  // Fills what this side knows of the status.
  EntryStatus Status(Now now) const;

 private:
  bool IsCurrent(std::string_view peer, uint64_t incarnation) const;
  void Register(Kernel* kernel);

  const EntryId m_self;
  NodeContext& m_context;
  AgentDirectory& m_agents;
  LogFollower m_log;
  PeerTable m_peers;
  OwnerLease m_lease;
  ShardTakeover m_takeover;
  ShardAssignment m_assignment;
  EntryMembership m_membership;
  SnapshotWriter m_snapshots;
  OperatorEdits m_edits;
  EntryStateNotes m_notes;
  ControlObserver* m_observer = nullptr;
  uint64_t m_table_version = 0;
  uint64_t m_assigned_offset = 0;
  uint64_t m_assigned_ended = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_ENTRY_CONTROL_H_
