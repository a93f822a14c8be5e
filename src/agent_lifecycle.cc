#include "agent_lifecycle.h"

#include "node_limits.h"

namespace egretswitch::internal {

AgentLifecycle::AgentLifecycle(const Kernel& kernel)
    : m_context(kernel.Find<NodeContext>("context")),
      m_ledger(kernel.Find<StartLedger>("ledger")),
      m_slots(kernel.Find<WorkerSlots>("slots")),
      m_links(kernel.Find<EntryLinks>("links")) {}

void AgentLifecycle::Begin() {
  if (!m_first_event.has_value()) {
    m_first_event = m_context.now().mono;
  }
}

void AgentLifecycle::OnWorkerTasksListed() {
  m_worker_listed = true;
  if (m_worker_lost) {
    m_worker_lost = false;
    m_context.Do(NoteStateChange{"worker back", {}});
  }
}

void AgentLifecycle::OnWorkerLost() {
  if (!m_worker_listed) {
    return;
  }
  m_worker_listed = false;
  m_worker_lost = true;
  m_told_ready = false;
  m_context.Do(NoteStateChange{"worker lost", {}});
}

void AgentLifecycle::BeginDrain() {
  if (m_leaving) {
    return;
  }
  m_leaving = true;
  NoteActivity();
  m_context.Do(NoteStateChange{"agent is draining", {}});
}

void AgentLifecycle::NoteActivity() {
  m_last_activity = m_context.now().mono;
}

// A former owner that is bounded but not ended has no authority any more
// after kOwnerLease; only then do empty fences let nobody wrong through.
bool AgentLifecycle::ready() const {
  return m_worker_listed && m_first_event.has_value() &&
         m_context.now().mono - *m_first_event >= kOwnerLease + kDriftMargin;
}

bool AgentLifecycle::TakeBecameReady() {
  if (m_told_ready || !ready()) {
    return false;
  }
  m_told_ready = true;
  m_context.Do(NoteStateChange{"agent is ready", {}});
  return true;
}

void AgentLifecycle::StopIfDrained() {
  if (m_stopped || !IsDrained()) {
    return;
  }
  m_stopped = true;
  m_context.Do(Stop{});
}

// Ends that were sent may have been lost with a link: for kDriftMargin after
// the last one an entry can come back and attach.
bool AgentLifecycle::IsDrained() const {
  if (!m_leaving || !m_slots.running().empty() ||
      m_context.now().mono - m_last_activity < kDriftMargin) {
    return false;
  }
  return m_links.incarnations().empty() ||
         !m_ledger.HasUndelivered(m_context.now().wall_ms);
}

}  // namespace egretswitch::internal
