// What the worker beside this agent is running: one slot for each task, and
// the sum of their needs against the worker's capacity.
//
//   slots.Take("9-1", {a17, 0, digest, {.millicores = 500}, "entry-b"});
//   slots.free()          // one less
//   slots.Release("9-1")  // a17, index 0: the slot is free again
#ifndef EGRETSWITCH_SRC_WORKER_SLOTS_H_
#define EGRETSWITCH_SRC_WORKER_SLOTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "node_events.h"

namespace egretswitch::internal {

struct RunningTask {
  SubmissionKey key;
  uint32_t index = 0;
  uint64_t digest = 0;   // 0: started by a former process of this agent
  TaskNeeds needs;       // zero in that case
  std::string reporter;  // entry that started it or attached to it last
};

class WorkerSlots {
 public:
  // A zero in `capacity` sets no limit.
  WorkerSlots(uint32_t slots, TaskNeeds capacity)
      : m_slots(slots), m_capacity(capacity) {}

  // Whether the needs of all running tasks and these fit the capacity.
  bool Fits(const TaskNeeds& needs) const;

  // A task did not fit beside the running ones: no slot counts as free until
  // one of them ends.
  void NoteMisfit() { m_has_misfit = !m_running.empty(); }

  // Notes that the worker runs the task; false when the lease is known.
  bool Take(const LeaseId& lease, RunningTask task);

  // Frees the slot of the lease; empty when it holds none.
  std::optional<RunningTask> Release(const LeaseId& lease);

  // The entry wants the report of the task's end from now on.
  void SetReporter(const SubmissionKey& key,
                   uint32_t index,
                   std::string_view entry);

  const std::map<LeaseId, RunningTask>& running() const { return m_running; }
  uint32_t slots() const { return m_slots; }

  // Slots that a task may be sent to now.
  uint32_t free() const;

 private:
  uint32_t m_slots;
  TaskNeeds m_capacity;
  std::map<LeaseId, RunningTask> m_running;
  bool m_has_misfit = false;
  uint64_t m_millicores = 0;
  uint64_t m_memory_mb = 0;
  uint64_t m_accelerators = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_SLOTS_H_
