#include "worker_slots.h"

#include <utility>

namespace egretswitch::internal {
namespace {

bool FitsLimit(uint64_t used, uint32_t more, uint32_t limit) {
  return limit == 0 || used + more <= limit;
}

}  // namespace

bool WorkerSlots::Fits(const TaskNeeds& needs) const {
  return FitsLimit(m_millicores, needs.millicores, m_capacity.millicores) &&
         FitsLimit(m_memory_mb, needs.memory_mb, m_capacity.memory_mb) &&
         FitsLimit(m_accelerators, needs.accelerators, m_capacity.accelerators);
}

bool WorkerSlots::Take(const LeaseId& lease, RunningTask task) {
  const TaskNeeds needs = task.needs;
  if (!m_running.emplace(lease, std::move(task)).second) {
    return false;
  }
  m_millicores += needs.millicores;
  m_memory_mb += needs.memory_mb;
  m_accelerators += needs.accelerators;
  return true;
}

std::optional<RunningTask> WorkerSlots::Release(const LeaseId& lease) {
  const auto it = m_running.find(lease);
  if (it == m_running.end()) {
    return std::nullopt;
  }
  RunningTask task = std::move(it->second);
  m_running.erase(it);
  m_has_misfit = false;
  m_millicores -= task.needs.millicores;
  m_memory_mb -= task.needs.memory_mb;
  m_accelerators -= task.needs.accelerators;
  return task;
}

// A worker has few slots: no index by task is kept.
void WorkerSlots::SetReporter(const SubmissionKey& key,
                              uint32_t index,
                              std::string_view entry) {
  for (auto& [lease, task] : m_running) {
    if (task.index == index && task.key == key) {
      task.reporter = std::string(entry);
    }
  }
}

// A free slot that is told after a misfit would only bring the same task
// again, at once and in vain.
uint32_t WorkerSlots::free() const {
  if (m_has_misfit) {
    return 0;
  }
  const auto running = static_cast<uint32_t>(m_running.size());
  return running < m_slots ? m_slots - running : 0;
}

}  // namespace egretswitch::internal
