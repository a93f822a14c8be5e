// What an entry knows of a worker's room comes with the ends of its own runs
// there. One that has none would take a worker that was full once for full for
// ever, while the other entries share its room. So it asks.
#include "run_renewals.h"

#include <algorithm>

#include "run_limits.h"

namespace egretswitch::internal {
namespace {

// Between two requests for room to one agent while jobs wait. The agent then
// tells of room by itself, so this only bounds the cost of a lost word.
constexpr absl::Duration kRoomRequestPeriod = absl::Milliseconds(60);

// What one of so many agents is asked for: together they offer somewhat more
// than waits.
uint32_t ShareOf(uint32_t tasks, size_t agents) {
  return 1 + tasks / static_cast<uint32_t>(std::max<size_t>(1, agents));
}

uint32_t TasksIn(
    const std::map<std::string, std::vector<CapacityRequest>>& waiting) {
  uint32_t tasks = 0;
  for (const auto& [service, wanted] : waiting) {
    for (const CapacityRequest& like_it : wanted) {
      tasks += like_it.tasks;
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
  const std::set<std::string> asked = Askable(pool, waiting, now);
  const auto in_subset = static_cast<size_t>(
      std::count_if(pool.workers().begin(), pool.workers().end(),
                    [](const auto& worker) { return worker.second.in_subset; }));
  for (auto& [name, worker] : pool.workers()) {
    const bool ask = asked.contains(name);
    const bool renew = worker.runs > 0 && now >= worker.next_renewal;
    if (worker.Suspect(now) || (!ask && !renew)) {
      continue;
    }
    if (ask) {
      worker.next_capacity_request = now + kRoomRequestPeriod;
    }
    worker.next_renewal = now + kRenewPeriod;
    worker.unanswered_since = std::min(worker.unanswered_since, now);
    due.push_back({&worker, {}});
    if (ask) {
      due.back().wanted = waiting.at(worker.status.service);
      for (CapacityRequest& wanted : due.back().wanted) {
        wanted.tasks = ShareOf(wanted.tasks, in_subset);
      }
    }
  }
  return due;
}

std::set<std::string> RunRenewals::Askable(const WorkerPool& pool,
                                           const Waiting& waiting,
                                           MonoTime now) {
  const uint32_t most = std::min(kMaxSubsetRequests, TasksIn(waiting));
  std::set<std::string> asked =
      AskableAfter(m_last_asked, pool, true, most, waiting, now);
  asked.merge(AskableAfter(m_last_other, pool, false,
                           std::min(kMaxOutsideRequests, most), waiting, now));
  return asked;
}

// From the agent after the one that was asked last, round all of them.
std::set<std::string> RunRenewals::AskableAfter(std::string& last_asked,
                                                const WorkerPool& pool,
                                                bool in_subset,
                                                uint32_t most,
                                                const Waiting& waiting,
                                                MonoTime now) {
  std::set<std::string> asked;
  const auto& workers = pool.workers();
  auto next = workers.upper_bound(last_asked);
  for (size_t i = 0; i < workers.size() && asked.size() < most; ++i) {
    if (next == workers.end()) {
      next = workers.begin();
    }
    const auto& [name, worker] = *next++;
    if (worker.in_subset == in_subset && waiting.contains(worker.status.service) &&
        !worker.evacuated && !worker.Suspect(now) &&
        now >= worker.next_capacity_request) {
      last_asked = name;
      asked.insert(name);
    }
  }
  return asked;
}

}  // namespace egretswitch::internal
