#include "lost_runs.h"

#include <algorithm>

namespace egretswitch::internal {
namespace {

// Workers that crashed alone under a task, at which the task is blamed. A
// single such crash may be an accident.
constexpr size_t kMaxCrashesAlone = 2;

// Crashes at which the task is blamed even if other workers were lost with
// them.
constexpr size_t kMaxCrashes = 3;

// Lost runs of one task at one entry, counted apart for runs that had begun and
// for unconfirmed ones: a task that crashes its worker before the start is
// answered can't be distinguished from a start that never arrived.
constexpr size_t kMaxLosses = 3;

bool CrashedAlone(const LostRun& run,
                  const std::set<std::string>& own,
                  const WorkerLosses& losses) {
  return run.loss == RunLoss::kWorkerCrashed &&
         losses.LostAround(run.reported_at, own) == 0;
}

}  // namespace

// Losses of other workers with other tasks at about the same time are evidence
// that the task is not the cause. All runs are judged anew at each loss, since
// losses beside an earlier one may be reported only later.
LossVerdict JudgeLostRuns(absl::Span<const LostRun> lost,
                          const WorkerLosses& losses) {
  const std::set<std::string> own = AgentsOf(lost);
  std::vector<LostRun> alone;
  size_t crashes = 0;
  size_t unconfirmed = 0;
  for (const LostRun& run : lost) {
    crashes += run.loss == RunLoss::kWorkerCrashed ? 1 : 0;
    unconfirmed += run.loss == RunLoss::kMayHaveBegun ? 1 : 0;
    if (CrashedAlone(run, own, losses)) {
      alone.push_back(run);
    }
  }
  if (AgentsOf(alone).size() >= kMaxCrashesAlone || crashes >= kMaxCrashes) {
    return LossVerdict::kCrashesWorkers;
  }
  const size_t begun = lost.size() - unconfirmed;
  return std::max(begun, unconfirmed) >= kMaxLosses
             ? LossVerdict::kTooManyLosses
             : LossVerdict::kTryAgain;
}

uint32_t SuspectMs(absl::Span<const LostRun> lost, const WorkerLosses& losses) {
  const std::set<std::string> own = AgentsOf(lost);
  uint32_t longest = 0;
  size_t crashes = 0;
  bool alone = false;
  for (const LostRun& run : lost) {
    if (run.loss == RunLoss::kWorkerCrashed) {
      ++crashes;
      longest = std::max({longest, run.run_ms, 1u});
      alone = alone || CrashedAlone(run, own, losses);
    }
  }
  return alone || crashes + 1 >= kMaxCrashes ? longest : 0;
}

std::set<std::string> AgentsOf(absl::Span<const LostRun> lost) {
  std::set<std::string> agents;
  for (const LostRun& run : lost) {
    agents.insert(run.agent);
  }
  return agents;
}

}  // namespace egretswitch::internal
