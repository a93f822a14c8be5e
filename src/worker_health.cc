#include "worker_health.h"

#include <algorithm>
#include <cmath>

namespace egretswitch::internal {

void WorkerHealth::Outcomes::Fade(MonoTime now) {
  const double factor = std::exp2(-absl::FDivDuration(now - at, kHalfLife));
  all *= factor;
  failed *= factor;
  at = now;
}

bool WorkerHealth::IsOutlier(const Worker& worker) const {
  const Outcomes& own = worker.outcomes;
  if (own.all < kFewestOutcomes - 0.5 ||
      own.failed <= kBadFailureRate * own.all) {
    return false;
  }
  // Without any outcome of others there is nothing to compare with: a kind
  // that always fails must not take its workers out.
  const double others = m_all.all - own.all;
  const double others_failed = m_all.failed - own.failed;
  return others >= 1 && others_failed < kGoodFailureRate * others;
}

bool WorkerHealth::OnOutcome(AgentId agent,
                             bool ok,
                             uint32_t linked_agents,
                             MonoTime now) {
  Worker& worker = m_workers[agent];
  for (Outcomes* outcomes : {&worker.outcomes, &m_all}) {
    outcomes->Fade(now);
    outcomes->all += 1;
    outcomes->failed += ok ? 0 : 1;
  }
  if (ok || IsEjected(agent) || !IsOutlier(worker) ||
      ejected() + 1 > kMostEjectedShare * linked_agents) {
    return false;
  }
  const absl::Duration probation = std::min(
      kFirstProbation * std::exp2(worker.times_ejected), kLongestProbation);
  ++worker.times_ejected;
  m_ejected[agent] = now + probation;
  return true;
}

std::vector<AgentId> WorkerHealth::TakeReleased(MonoTime now) {
  std::vector<AgentId> released;
  for (auto it = m_ejected.begin(); it != m_ejected.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    released.push_back(it->first);
    // A fresh start: the old outcomes would eject it at the first failure.
    Outcomes& outcomes = m_workers[it->first].outcomes;
    m_all.all = std::max(0.0, m_all.all - outcomes.all);
    m_all.failed = std::max(0.0, m_all.failed - outcomes.failed);
    outcomes = Outcomes{};
    outcomes.at = now;
    it = m_ejected.erase(it);
  }
  return released;
}

}  // namespace egretswitch::internal
