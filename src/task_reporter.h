// What one event makes this agent say to entries, gathered so that each entry
// gets one message: its reports and the agent's status together.
//
//   reporter.Report("entry-b", {a17, 0, kFinished});
//   reporter.Report("entry-b", {a17, 1, kFull});
//   reporter.Flush();   // one TaskReports with both, a permission, free slots
#ifndef EGRETSWITCH_SRC_TASK_REPORTER_H_
#define EGRETSWITCH_SRC_TASK_REPORTER_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "agent_lifecycle.h"
#include "entry_links.h"
#include "kernel.h"
#include "messages.h"
#include "node_context.h"
#include "slot_offers.h"
#include "start_permissions.h"
#include "worker_slots.h"

namespace egretswitch::internal {

class TaskReporter {
 public:
  // Finds "context", "links", "permissions", "slots", "offers" and
  // "lifecycle" in the kernel.
  explicit TaskReporter(const Kernel& kernel);

  // Adds a report for the entry; false when its link is down.
  bool Report(std::string_view entry, TaskReport report);

  // Reports that the task was not run, and counts the reason.
  void Refuse(std::string_view entry,
              const SubmissionKey& key,
              uint32_t index,
              TaskStatus reason);

  // The entry, or every linked one, gets the agent's status.
  void TellStatus(std::string_view entry);
  void TellStatusToAll();

  // Sends what was gathered.
  void Flush();

 private:
  AgentStatus StatusFor(std::string_view entry, uint64_t incarnation);
  void CountRefusal(TaskStatus reason);

  NodeContext& m_context;
  const EntryLinks& m_links;
  StartPermissions& m_permissions;
  const WorkerSlots& m_slots;
  const SlotOffers& m_offers;
  const AgentLifecycle& m_lifecycle;
  // An entry without reports gets the status alone.
  std::map<std::string, std::vector<TaskReport>> m_pending;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_TASK_REPORTER_H_
