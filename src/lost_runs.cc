#include "lost_runs.h"

#include <algorithm>
#include <iterator>

namespace egretswitch::internal {
namespace {

// Workers that crash under a task, one may be an accident.
constexpr size_t kCrashesOfTask = 2;

// Workers that are risked on one task, whatever the cause of the losses.
constexpr size_t kMostLosses = 3;

}  // namespace

LossVerdict JudgeLostRuns(absl::Span<const LostRun> lost,
                          const WorkerLosses& /*losses*/) {
  std::vector<LostRun> crashes;
  std::copy_if(lost.begin(), lost.end(), std::back_inserter(crashes),
               [](const LostRun& run) { return run.crashed; });
  if (AgentsOf(crashes).size() >= kCrashesOfTask) {
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
