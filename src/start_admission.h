// Decides about each task that an entry asks this agent to start: report what
// is held, refuse, or hand it to the worker.
//
//   StartTasks{a17, tasks 0 and 1} with one slot free
//     -> StartOnWorker{a17/0}, TaskReports{a17/1 kFull}
//
// docs/DESIGN.md, "Who may start a task", gives the rules.
#ifndef EGRETSWITCH_SRC_START_ADMISSION_H_
#define EGRETSWITCH_SRC_START_ADMISSION_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "agent_lifecycle.h"
#include "epoch_fence.h"
#include "kernel.h"
#include "messages.h"
#include "node_context.h"
#include "slot_offers.h"
#include "start_ledger.h"
#include "start_permissions.h"
#include "task_reporter.h"
#include "worker_slots.h"

namespace egretswitch::internal {

class StartAdmission {
 public:
  // Finds "context", "fence", "ledger", "lifecycle", "offers", "permissions",
  // "reporter" and "slots" in the kernel. `own_incarnation`: of this process.
  StartAdmission(const Kernel& kernel, uint64_t own_incarnation);

  // `entry` is linked, with the incarnation `sender`.
  void OnStartTasks(std::string_view entry,
                    uint64_t sender,
                    const StartTasks& request);

 private:
  void StartOrRefuse(std::string_view entry,
                     uint64_t sender,
                     const StartTasks& request,
                     const TaskStart& task);
  void AnswerFenced(std::string_view entry,
                    const StartTasks& request,
                    uint32_t index);
  bool AnswerHeld(std::string_view entry,
                  const StartTasks& request,
                  uint32_t index);
  TaskStatus AnswerToAttach(const StartTasks& request) const;
  std::optional<TaskStatus> ReasonToRefuse(std::string_view entry,
                                           uint64_t sender,
                                           const StartTasks& request,
                                           const TaskNeeds& needs) const;
  bool HasRoom(std::string_view entry, const TaskNeeds& needs) const;
  void Start(std::string_view entry,
             const StartTasks& request,
             const TaskStart& task);

  NodeContext& m_context;
  EpochFence& m_fence;
  StartLedger& m_ledger;
  AgentLifecycle& m_lifecycle;
  SlotOffers& m_offers;
  const StartPermissions& m_permissions;
  TaskReporter& m_reporter;
  WorkerSlots& m_slots;
  uint64_t m_own_incarnation;
  uint64_t m_last_lease = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_START_ADMISSION_H_
