#include "lost_runs.h"

#include <algorithm>

namespace egretswitch::internal {
namespace {

// Workers that crash alone under a task; one may be an accident.
constexpr size_t kCrashesOfTask = 2;

// Beside the losses of others, too.
constexpr size_t kMostCrashes = 3;

// Runs of one task that are lost at one entry, of those that had begun and of
// those of which nobody knows: a task that crashes its worker before the start
// is answered can't be told from a start that reached nobody.
constexpr size_t kMostLosses = 3;

bool CrashedAlone(const LostRun& run,
                  const std::set<std::string>& own,
                  const WorkerLosses& losses) {
  return run.loss == RunLoss::kWorkerCrashed &&
         losses.LostAround(run.reported_at, own) == 0;
}

}  // namespace

// The losses of other workers at about the same time, with other tasks, speak
// for the task. It is asked for anew with each loss: which other workers were
// lost beside an earlier one is known only later.
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
  if (AgentsOf(alone).size() >= kCrashesOfTask || crashes >= kMostCrashes) {
    return LossVerdict::kCrashesWorkers;
  }
  const size_t begun = lost.size() - unconfirmed;
  return std::max(begun, unconfirmed) >= kMostLosses
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
  return alone || crashes + 1 >= kMostCrashes ? longest : 0;
}

std::set<std::string> AgentsOf(absl::Span<const LostRun> lost) {
  std::set<std::string> agents;
  for (const LostRun& run : lost) {
    agents.insert(run.agent);
  }
  return agents;
}

}  // namespace egretswitch::internal
