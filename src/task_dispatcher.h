// Starts waiting tasks on free slots: the order is the queue's, the place the
// picker's. Tasks of one job for one agent travel in one StartTasks.
//
//   queue: a17 waits with 3 tasks; agent-3 has 2 free slots
//   RunPass()  ->  StartTasks{a17: 0, 1} to agent-3; WantSlots to others
#ifndef EGRETSWITCH_SRC_TASK_DISPATCHER_H_
#define EGRETSWITCH_SRC_TASK_DISPATCHER_H_

#include <cstdint>
#include <vector>

#include "agent_picker.h"
#include "dispatch_queue.h"
#include "entry_refs.h"
#include "job_store.h"
#include "kernel.h"
#include "slot_wants.h"

namespace egretswitch::internal {

class TaskDispatcher {
 public:
  explicit TaskDispatcher(Kernel& kernel);

  // Starts what can be started now. Does nothing when nothing waits.
  void RunPass();

  // Whether the last pass left tasks that wait for a slot.
  bool short_of_slots() const { return m_short_of_slots; }

  // Asks an agent for the state of tasks that were sent to it, or that a
  // takeover found there, without starting any.
  void Attach(const OwnedJob& job,
              AgentId agent,
              const std::vector<uint32_t>& indexes);

 private:
  // Starts tasks of the job on one agent; false when no usable agent fits.
  bool StartSome(OwnedJob& job);
  // No usable agent fits the job now: on to the next one. False when no linked
  // worker fits at all; then the job leaves the queue.
  bool PassOver(OwnedJob& job);
  void AskForSlots(const OwnedJob& job);
  std::vector<uint32_t> TakeTasks(OwnedJob& job,
                                  const TaskNeeds& capacity,
                                  uint32_t most);
  void SendStarts(const OwnedJob* first_waiting);
  // Of all waiting tasks; the first of them sets urgency and preference.
  WantSlots WantOf(const OwnedJob& first_waiting) const;
  StartTasks MakeStart(const OwnedJob& job, const KnownAgent& agent) const;
  void CountOffers(AgentId agent, uint32_t count);

  const EntryRefs& m_entry;
  DispatchQueue& m_queue;
  AgentPicker& m_picker;
  JobStore& m_store;
  SlotWants& m_wants;
  bool m_short_of_slots = false;

  struct StartTo {
    AgentId agent = kNoAgent;
    StartTasks start;
  };
  std::vector<StartTo> m_starts;  // of this pass
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_TASK_DISPATCHER_H_
