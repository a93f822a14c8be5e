// When an agent may accept starts: not until it has waited out every owner
// that its empty fences could let through, and not after its drain began.
//
//   first event at 0 s; worker's tasks listed at 0.1 s
//   4.1 s  ready() false    (kOwnerLease + kDriftMargin = 4.2 s)
//   4.2 s  ready() true, every linked entry is told
#ifndef EGRETSWITCH_SRC_AGENT_LIFECYCLE_H_
#define EGRETSWITCH_SRC_AGENT_LIFECYCLE_H_

#include <optional>

#include "clock.h"
#include "entry_links.h"
#include "kernel.h"
#include "node_context.h"
#include "start_ledger.h"
#include "worker_slots.h"

namespace egretswitch::internal {

class AgentLifecycle {
 public:
  // Finds "context", "ledger", "slots" and "links" in the kernel.
  explicit AgentLifecycle(const Kernel& kernel);

  // Called first for every event. The waiting time counts from the first.
  void Begin();

  // The worker is there, and what it runs is known.
  void OnWorkerTasksListed();
  // Not ready from now on, until the worker's tasks are listed again.
  void OnWorkerLost();
  void BeginDrain();

  // Something happened that an entry may still react to: the drain goes on
  // for another kDriftMargin.
  void NoteActivity();

  // True once, when the agent has just become ready.
  bool TakeBecameReady();

  // Emits Stop once when the drain is complete.
  void StopIfDrained();

  bool ready() const;
  bool leaving() const { return m_leaving; }
  bool accepts_starts() const { return ready() && !m_leaving; }

 private:
  bool IsDrained() const;

  NodeContext& m_context;
  const StartLedger& m_ledger;
  const WorkerSlots& m_slots;
  const EntryLinks& m_links;
  std::optional<MonoTime> m_first_event;
  MonoTime m_last_activity = absl::ZeroDuration();
  bool m_worker_listed = false;
  bool m_worker_lost = false;
  bool m_told_ready = false;
  bool m_leaving = false;
  bool m_stopped = false;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_AGENT_LIFECYCLE_H_
