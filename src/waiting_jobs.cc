#include "waiting_jobs.h"

#include <algorithm>

namespace egretswitch::internal {

void WaitingJobs::ForEach(absl::FunctionRef<void(OpenJob& job)> visit) {
  for (auto it = m_jobs.begin(); it != m_jobs.end();) {
    OpenJob& job = *it->second;
    visit(job);
    it = job.waiting == 0 ? m_jobs.erase(it) : std::next(it);
  }
}

bool WaitingJobs::AnyOf(std::string_view service) const {
  return std::any_of(m_jobs.begin(), m_jobs.end(),
                     [service](const auto& entry) {
                       return entry.second->queue.service == service;
                     });
}

// Jobs are ordered by urgency, so those of equal urgency are adjacent.
std::map<std::string, std::vector<CapacityRequest>> WaitingJobs::Demands()
    const {
  std::map<std::string, std::vector<CapacityRequest>> demands;
  for (const auto& [key, job] : m_jobs) {
    std::vector<CapacityRequest>& wanted = demands[job->queue.service];
    for (const OpenTask& task : job->tasks) {
      if (task.state != OpenTask::State::kWaiting) {
        continue;
      }
      const TaskNeeds& needs = job->StepOf(task).needs;
      if (wanted.empty() || wanted.back().urgency != job->Urgency()) {
        wanted.push_back({job->Urgency(), needs, 0});
      }
      CapacityRequest& demand = wanted.back();
      if (needs.millicores < demand.needs.millicores) {
        demand.needs = needs;
      }
      ++demand.tasks;
    }
  }
  return demands;
}

}  // namespace egretswitch::internal
