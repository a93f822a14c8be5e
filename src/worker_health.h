// Keeps work away from workers that fail most of what they start while the
// others do not: a worker that fails everything at once looks idle.
//
//   health.OnOutcome(3, false, now) five times  -> agent 3 is ejected for 2 s
//
// Ejection is a probation that doubles each time, and at most a share of the
// linked workers is ejected at once.
#ifndef EGRETSWITCH_SRC_WORKER_HEALTH_H_
#define EGRETSWITCH_SRC_WORKER_HEALTH_H_

#include <cstdint>
#include <map>
#include <vector>

#include "clock.h"
#include "owned_job.h"

namespace egretswitch::internal {

class WorkerHealth {
 public:
  static constexpr double kFewestOutcomes = 5;
  static constexpr double kBadFailureRate = 0.5;
  static constexpr double kGoodFailureRate = 0.2;
  static constexpr double kMostEjectedShare = 0.3;
  static constexpr absl::Duration kHalfLife = absl::Seconds(10);
  static constexpr absl::Duration kFirstProbation = absl::Seconds(2);
  static constexpr absl::Duration kLongestProbation = absl::Seconds(60);

  // A task ran on the worker, or was refused by it (`ok` false). Returns true
  // when this ejects the worker.
  bool OnOutcome(AgentId agent, bool ok, uint32_t linked_agents, MonoTime now);

  bool IsEjected(AgentId agent) const { return m_ejected.contains(agent); }
  uint32_t ejected() const { return static_cast<uint32_t>(m_ejected.size()); }

  // The workers whose probation has just ended.
  std::vector<AgentId> TakeReleased(MonoTime now);

 private:
  // Outcomes that fade with kHalfLife.
  struct Outcomes {
    double all = 0;
    double failed = 0;
    MonoTime at = absl::ZeroDuration();
    void Fade(MonoTime now);
  };
  struct Worker {
    Outcomes outcomes;
    uint32_t times_ejected = 0;
  };

  bool IsOutlier(const Worker& worker) const;

  std::map<AgentId, Worker> m_workers;
  std::map<AgentId, MonoTime> m_ejected;  // until when
  Outcomes m_all;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_HEALTH_H_
