#include "waiting_jobs.h"

namespace egretswitch::internal {

void WaitingJobs::ForEach(absl::FunctionRef<void(OpenJob& job)> visit) {
  for (auto it = m_jobs.begin(); it != m_jobs.end();) {
    OpenJob& job = *it->second;
    visit(job);
    it = job.waiting == 0 ? m_jobs.erase(it) : std::next(it);
  }
}

std::map<std::string, WaitingJobs::Demand> WaitingJobs::Demands() const {
  std::map<std::string, Demand> demands;
  for (const auto& [key, job] : m_jobs) {
    for (const OpenTask& task : job->tasks) {
      if (task.state != OpenTask::State::kWaiting) {
        continue;
      }
      const TaskNeeds& needs = job->StepOf(task).needs;
      Demand& demand = demands[job->queue.service];
      if (demand.tasks == 0 || needs.millicores < demand.smallest.millicores) {
        demand.smallest = needs;
      }
      ++demand.tasks;
    }
  }
  return demands;
}

}  // namespace egretswitch::internal
