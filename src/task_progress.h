// Follows the tasks that were sent: results, failures, starts that bounced,
// and agents whose link or process is lost.
//
//   OnReports(agent-3, {a17/0 finished, a17/1 full})
//   -> output 0 kept; task 1 waits again, first in its job
#ifndef EGRETSWITCH_SRC_TASK_PROGRESS_H_
#define EGRETSWITCH_SRC_TASK_PROGRESS_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "entry_refs.h"
#include "job_closer.h"
#include "job_store.h"
#include "kernel.h"
#include "owner_shares.h"
#include "retry_budget.h"
#include "task_dispatcher.h"
#include "worker_health.h"

namespace egretswitch::internal {

class TaskProgress {
 public:
  explicit TaskProgress(Kernel& kernel);

  void OnReports(std::string_view agent, const TaskReports& reports);
  void OnStatus(std::string_view agent);
  void OnLinkUp(const Hello& agent);
  void OnLinkDown(std::string_view agent);

  // The agent's host says that no process runs at its address.
  void OnRefused(std::string_view agent);

  // Ends probations and sends bounced tasks whose row may repeat again.
  void OnTick();

  uint32_t workers_ejected() const { return m_health.ejected(); }

 private:
  void TakeStatus(AgentId agent);
  void OnReport(AgentId agent, const TaskReport& report);
  void OnResult(OwnedJob& job, AgentId agent, const TaskReport& report);
  void Bounce(OwnedJob& job, const TaskReport& report, bool free);
  void JudgeWorker(AgentId agent, bool ok);
  bool TakeRetry(const OwnedJob& job);

  const EntryRefs& m_entry;
  DispatchQueue& m_queue;
  AgentPicker& m_picker;
  JobStore& m_store;
  OwnerShares& m_shares;
  SlotWants& m_wants;
  JobCloser& m_closer;
  TaskDispatcher& m_dispatcher;
  RetryBudget m_retries;
  WorkerHealth m_health;
  std::set<uint64_t> m_delayed;  // serials of jobs with delayed tasks
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_TASK_PROGRESS_H_
