// Moves runs that take too long to other workers. The task starts again only
// once the end of its stopped run is reported, so two runs of it never overlap.
//
//   80 ms  task 5c0e/0/3 runs, its siblings took 50   -> stopped, to move
#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "job_dispatcher.h"
#include "step_times.h"
#include "straggler.h"

namespace egretswitch::internal {
namespace {

// How often one task may be moved: each move discards the work done so far.
constexpr uint32_t kMaxMoves = 2;
// A run is not considered before this multiple of its expected time.
constexpr double kFirstLook = 1.1;

std::string PercentText(double chance) {
  return absl::StrCat(std::lround(100 * chance));
}

}  // namespace

// The finished runs of a step tell its work better than its estimate does, so
// the objective is taken from them.
absl::Duration JobDispatcher::UntilObjective(const OpenJob& job,
                                             uint32_t step,
                                             double step_ms) const {
  double longest_ms = step_ms;
  for (uint32_t other = 0; other < job.job.steps.size(); ++other) {
    if (other != step) {
      longest_ms =
          std::max<double>(longest_ms, job.job.steps[other].estimate_ms);
    }
  }
  const absl::Duration objective =
      job.queue.stretch * absl::Milliseconds(longest_ms) +
      absl::Milliseconds(job.queue.objective_ms);
  return objective - (m_now.mono - job.arrived_at);
}

// While tasks wait for room, a new run would take it from them.
bool JobDispatcher::MayMoveEarly(const OpenJob& job,
                                 const OpenTask& task) const {
  return m_policy.move_early && m_move_budget.MayMove() &&
         !m_waiting.AnyOf(job.queue.service) &&
         ElapsedMs(task, m_now.mono, m_run_overhead.Mean() / 2) >
             kFirstLook * UsualMs(job, task.step);
}

double JobDispatcher::UsualMs(const OpenJob& job, uint32_t step) const {
  const StepTimes times(job, step, m_now.mono);
  return m_run_times.WorkMs(times.Evidence());
}

MoveChances JobDispatcher::ChancesOfMove(const OpenJob& job,
                                         const OpenTask& task,
                                         const PooledWorker& best) const {
  const absl::Duration overhead = m_run_overhead.Mean();
  const StepTimes times(job, task.step, m_now.mono, overhead / 2);
  const StepOutlook outlook = m_run_times.OutlookOf(times.Evidence());
  return ChancesOf(
      outlook, {.elapsed_ms = ElapsedMs(task, m_now.mono, overhead / 2),
                .slowness = task.slowness,
                .best_slowness = best.speed.Slowness(m_now.mono),
                .remaining = UntilObjective(job, task.step, outlook.MedianMs()),
                .overhead = overhead});
}

void JobDispatcher::MoveStragglers(OpenJob& job) {
  for (OpenTask& task : job.tasks) {
    if (task.state != OpenTask::State::kRunning || task.moves >= kMaxMoves) {
      continue;
    }
    const bool hangs = IsStraggler(job, task, m_now.mono);
    if (!hangs && !MayMoveEarly(job, task)) {
      continue;
    }
    PooledWorker& worker = m_pool.Get(task.agent);
    std::set<std::string> avoid = task.avoid;
    avoid.insert(worker.agent);
    const PooledWorker* best = m_pool.Pick(
        job.queue.service, job.StepOf(task).needs, avoid, m_now.mono);
    if (best == nullptr || worker.Suspect(m_now.mono)) {
      continue;
    }
    const MoveChances chances = ChancesOfMove(job, task, *best);
    if (hangs || HelpsToMove(chances)) {
      task.avoid = std::move(avoid);
      StopStraggler(job, task, worker, chances, hangs);
    }
  }
}

void JobDispatcher::StopStraggler(OpenJob& job,
                                  OpenTask& task,
                                  PooledWorker& worker,
                                  const MoveChances& chances,
                                  bool hangs) {
  ++task.moves;
  task.state = OpenTask::State::kStopping;
  m_move_budget.RecordMove();
  m_counters.Add(hangs ? RunCounter::kRunsMovedHung
                       : RunCounter::kRunsMovedEarly);
  RecordBadRun(worker, job.job.id,
               m_policy.move_early ? ChanceOfLongerRun(job, task) : 0);
  Log("straggler stopped",
      {{"job", job.job.id},
       {"task", absl::StrCat(task.step, "/", task.index)},
       {"agent", worker.agent},
       {"ran_ms",
        absl::StrCat(absl::ToInt64Milliseconds(m_now.mono - task.sent_at))},
       {"why", hangs ? "hangs" : "objective"},
       {"chance_waiting_percent", PercentText(chances.waiting)},
       {"chance_moved_percent", PercentText(chances.moved)}});
  SendTo(worker, StopRuns{job.job.id, task.step, {{task.index, task.run}}});
}

// The chance that a run takes longer than this one has, on a worker as slow as
// expected.
double JobDispatcher::ChanceOfLongerRun(const OpenJob& job,
                                        const OpenTask& task) const {
  const StepTimes times(job, task.step, m_now.mono);
  StepEvidence evidence = times.Evidence();
  evidence.running_ms = {};
  return 1 - m_run_times.OutlookOf(evidence).ChanceOfNew(
                 ElapsedMs(task, m_now.mono, absl::ZeroDuration()));
}

}  // namespace egretswitch::internal
