#include "lost_runs.h"

namespace egretswitch::internal {
namespace {

// Workers that crash alone under a task; one may be an accident.
constexpr size_t kCrashesOfTask = 2;

// Workers that are risked on one task, whatever the cause of the losses.
constexpr size_t kMostLosses = 3;

}  // namespace

// The losses of other workers at about the same time, with other tasks, speak
// for the task. It is asked for anew with each loss: which other workers were
// lost beside an earlier one is known only later.
LossVerdict JudgeLostRuns(absl::Span<const LostRun> lost,
                          const WorkerLosses& losses) {
  const std::set<std::string> own = AgentsOf(lost);
  std::vector<LostRun> alone;
  size_t crashes = 0;
  for (const LostRun& run : lost) {
    crashes += run.crashed ? 1 : 0;
    if (run.crashed && losses.LostAround(run.reported_at, own) == 0) {
      alone.push_back(run);
    }
  }
  if (AgentsOf(alone).size() >= kCrashesOfTask || crashes >= kMostLosses) {
    return LossVerdict::kCrashesWorkers;
  }
  return lost.size() >= kMostLosses ? LossVerdict::kTooManyLosses
                                    : LossVerdict::kTryAgain;
}

std::set<std::string> AgentsOf(absl::Span<const LostRun> lost) {
  std::set<std::string> agents;
  for (const LostRun& run : lost) {
    agents.insert(run.agent);
  }
  return agents;
}

}  // namespace egretswitch::internal
