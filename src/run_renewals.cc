// An entry receives a worker's free capacity with the ends of its own runs
// there. Without runs there, it would treat a worker that was full once as full
// for ever, while other entries use the capacity. It therefore requests
// updates.
#include "run_renewals.h"

#include <algorithm>

#include "run_limits.h"

namespace egretswitch::internal {
namespace {

// Between two capacity requests to one agent while jobs wait. The agent
// notifies the entry of free capacity by itself, so this only limits the effect
// of a lost message.
constexpr absl::Duration kCapacityRequestPeriod = absl::Milliseconds(60);

// The number of tasks to request capacity for from each of `agents` agents.
// Together they offer somewhat more than waits.
uint32_t ShareOf(uint32_t tasks, size_t agents) {
  return 1 + tasks / static_cast<uint32_t>(std::max<size_t>(1, agents));
}

uint32_t TasksIn(
    const std::map<std::string, std::vector<CapacityRequest>>& waiting) {
  uint32_t tasks = 0;
  for (const auto& [service, wanted] : waiting) {
    for (const CapacityRequest& request : wanted) {
      tasks += request.tasks;
    }
  }
  return tasks;
}

}  // namespace

std::vector<RunRenewals::Due> RunRenewals::TakeDue(
    WorkerPool& pool,
    const std::map<std::string, std::vector<CapacityRequest>>& waiting,
    MonoTime now) {
  std::vector<Due> due;
  const std::set<std::string> asked = AgentsToAsk(pool, waiting, now);
  const auto in_subset = static_cast<size_t>(std::count_if(
      pool.workers().begin(), pool.workers().end(),
      [](const auto& worker) { return worker.second.in_subset; }));
  for (auto& [name, worker] : pool.workers()) {
    const bool ask = asked.contains(name);
    const bool renew = worker.HoldsRuns() && now >= worker.next_renewal;
    if (worker.Suspect(now) || (!ask && !renew)) {
      continue;
    }
    if (ask) {
      worker.next_capacity_request = now + kCapacityRequestPeriod;
    }
    worker.RecordRenewal(now);
    due.push_back({&worker, {}});
    if (ask) {
      due.back().wanted = waiting.at(worker.status.service);
      for (CapacityRequest& request : due.back().wanted) {
        request.tasks = ShareOf(request.tasks, in_subset);
      }
    }
  }
  return due;
}

std::set<std::string> RunRenewals::AgentsToAsk(const WorkerPool& pool,
                                               const Waiting& waiting,
                                               MonoTime now) {
  const uint32_t limit = std::min(kMaxSubsetRequests, TasksIn(waiting));
  std::set<std::string> asked =
      TakeAgentsToAsk(m_last_in_subset, pool, true, limit, waiting, now);
  asked.merge(TakeAgentsToAsk(m_last_outside, pool, false,
                              std::min(kMaxOutsideRequests, limit), waiting,
                              now));
  return asked;
}

// Goes round the agents, from the one after the agent that was asked last.
std::set<std::string> RunRenewals::TakeAgentsToAsk(std::string& last_asked,
                                                   const WorkerPool& pool,
                                                   bool in_subset,
                                                   uint32_t limit,
                                                   const Waiting& waiting,
                                                   MonoTime now) {
  std::set<std::string> asked;
  const auto& workers = pool.workers();
  auto next = workers.upper_bound(last_asked);
  for (size_t i = 0; i < workers.size() && asked.size() < limit; ++i) {
    if (next == workers.end()) {
      next = workers.begin();
    }
    const auto& [name, worker] = *next++;
    if (worker.in_subset == in_subset &&
        waiting.contains(worker.status.service) && !worker.evacuated &&
        !worker.Suspect(now) && now >= worker.next_capacity_request) {
      last_asked = name;
      asked.insert(name);
    }
  }
  return asked;
}

}  // namespace egretswitch::internal
