#include "waiting_jobs.h"

namespace egretswitch::internal {

void WaitingJobs::ForEach(absl::FunctionRef<void(OpenJob& job)> visit) {
  for (auto it = m_jobs.begin(); it != m_jobs.end();) {
    OpenJob& job = *it->second;
    visit(job);
    it = job.waiting == 0 ? m_jobs.erase(it) : std::next(it);
  }
}

std::map<std::string, TaskNeeds> WaitingJobs::SmallestNeeds() const {
  std::map<std::string, TaskNeeds> smallest;
  for (const auto& [key, job] : m_jobs) {
    for (const OpenTask& task : job->tasks) {
      if (task.state != OpenTask::State::kWaiting) {
        continue;
      }
      const TaskNeeds& needs = job->StepOf(task).needs;
      const auto [known, fresh] =
          smallest.try_emplace(job->queue.service, needs);
      if (!fresh && needs.millicores < known->second.millicores) {
        known->second = needs;
      }
    }
  }
  return smallest;
}

}  // namespace egretswitch::internal
