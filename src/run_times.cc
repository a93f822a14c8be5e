// An error that all runs of a queue share is one of its estimates or a change
// of its work, so it does not count for the workers. Otherwise they would
// follow it sooner than the regression does, which would then never learn it.
//
// Speed, work and noise are judged together: the regression on estimates gets
// run times divided by the worker's slowness, the worker gets run times divided
// by the step's expectation, which counts the step's finished runs beside the
// estimate, and the noise is what is left within a step.
#include "run_times.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

namespace egretswitch::internal {
namespace {

// Least recently used queues beyond this number are forgotten.
constexpr size_t kMaxQueues = 1024;

// Runs of a queue before they count for its scatter and for their workers: its
// expectations are corrected by then.
constexpr uint64_t kRunsToCorrect = 20;
// Weight of the earlier runs in a queue's mean error.
constexpr double kErrorDecay = 0.95;
// Weight of the earlier steps after each new one.
constexpr double kWorkDecay = 0.97;
// Deviation of a step's work from its expectation while little is known, and
// the steps that it counts for.
constexpr double kPriorWorkDeviation = 0.28;
constexpr double kPriorSteps = 10;
constexpr double kMinWorkDeviation = 0.08;
// One step counts as this far off at most.
const double kMaxWorkError = std::log(4);

// Spread of the usual runs of a step, without the tail.
constexpr double kUsualSpread = 0.2;

// The smallest step that its median tells a long run from.
constexpr size_t kMinRunsOfStep = 3;

double Log(double ms) {
  return std::log(std::max(1.0, ms));
}

double Median(std::span<const double> values) {
  std::vector<double> sorted(values.begin(), values.end());
  const size_t middle = (sorted.size() - 1) / 2;
  std::nth_element(sorted.begin(), sorted.begin() + middle, sorted.end());
  return sorted[middle];
}

}  // namespace

double StepOutlook::ChanceOfNew(double within_ms) const {
  double chance = 0;
  for (const Point& point : m_points) {
    chance += point.chance * m_noise->ChanceBelow(within_ms / point.work_ms);
  }
  return chance;
}

double StepOutlook::ChanceOfRunning(double elapsed_ms, double within_ms) const {
  if (within_ms <= elapsed_ms) {
    return 0;
  }
  double chance = 0;
  for (const Point& point : m_points) {
    const double ended = m_noise->ChanceBelow(elapsed_ms / point.work_ms);
    const double in_time = m_noise->ChanceBelow(within_ms / point.work_ms);
    if (ended < 1) {
      chance += point.chance * (in_time - ended) / (1 - ended);
    }
  }
  return chance;
}

double StepOutlook::MedianMs() const {
  double below = 0;
  for (const Point& point : m_points) {
    below += point.chance;
    if (below >= 0.5) {
      return point.work_ms;
    }
  }
  return m_points.back().work_ms;
}

WorkerSpeed RunTimes::SpeedOfKind(std::string_view service,
                                  std::string_view kind) {
  const std::string key = std::string(service).append("/").append(kind);
  const auto it = m_kinds.find(key);
  if (it != m_kinds.end()) {
    return WorkerSpeed(it->second);
  }
  std::erase_if(
      m_kinds, [](const auto& entry) { return entry.second.use_count() == 1; });
  return WorkerSpeed(
      m_kinds.emplace(key, std::make_shared<KindSpeed>()).first->second);
}

RunTimes::Queue& RunTimes::Use(std::string_view queue) {
  auto found = m_queues.find(queue);
  if (found == m_queues.end()) {
    found = m_queues.emplace(queue, std::make_unique<Queue>(&m_noise)).first;
  }
  Queue& used = *found->second;
  used.used = ++m_observations;
  if (m_queues.size() > kMaxQueues) {
    const auto oldest = std::min_element(
        m_queues.begin(), m_queues.end(), [](const auto& a, const auto& b) {
          return a.second->used < b.second->used;
        });
    m_model.Forget(oldest->first);
    m_queues.erase(oldest);
  }
  return used;
}

const RunTimes::Queue* RunTimes::Find(std::string_view queue) const {
  const auto it = m_queues.find(queue);
  return it == m_queues.end() ? nullptr : it->second.get();
}

// The precision of the finished runs is added to that of the estimate. Their
// median is used, which a single long run does not move.
RunTimes::Work RunTimes::WorkOf(const StepEvidence& evidence) const {
  double squares = kPriorSteps * kPriorWorkDeviation * kPriorWorkDeviation;
  double weight = kPriorSteps;
  if (const Queue* queue = Find(evidence.queue)) {
    squares += queue->work_squares;
    weight += queue->work_weight;
  }
  double mean =
      Log(ExpectedMs(std::string(evidence.queue), evidence.estimate_ms));
  double variance =
      std::max(squares / weight, kMinWorkDeviation * kMinWorkDeviation);
  if (!evidence.done_ms.empty()) {
    const double precision = static_cast<double>(evidence.done_ms.size()) /
                             (kUsualSpread * kUsualSpread);
    const double total = 1 / variance + precision;
    mean =
        (mean / variance + precision * Log(Median(evidence.done_ms))) / total;
    variance = 1 / total;
  }
  return {mean, std::sqrt(variance)};
}

void RunTimes::RecordRun(const StepEvidence& evidence,
                         uint32_t run_ms,
                         WorkerSpeed& worker,
                         MonoTime now,
                         bool learn_speed) {
  Queue& queue = Use(evidence.queue);
  const double log_factor = worker.LogFactor(now);
  const double log_work = WorkOf(evidence).log_ms;
  const double log_run = Log(run_ms);
  m_model.Observe(
      std::string(evidence.queue), evidence.estimate_ms,
      static_cast<uint32_t>(std::lround(std::exp(log_run - log_factor))));
  if (++queue.runs < kRunsToCorrect) {
    return;
  }
  queue.error_weight = kErrorDecay * queue.error_weight + 1;
  queue.error +=
      (log_run - log_work - log_factor - queue.error) / queue.error_weight;
  if (learn_speed) {
    worker.Observe(log_run - log_work - queue.error, now);
  }
}

void RunTimes::RecordStoppedRun(const StepEvidence& evidence,
                                uint32_t run_ms,
                                WorkerSpeed& worker,
                                MonoTime now) {
  const Queue* queue = Find(evidence.queue);
  const double error = queue == nullptr ? 0 : queue->error;
  worker.ObserveAtLeast(Log(run_ms) - WorkOf(evidence).log_ms - error, now);
}

void RunTimes::RecordStep(const StepEvidence& evidence,
                          std::span<const double> stopped_ms) {
  if (evidence.done_ms.empty()) {
    return;
  }
  Queue& queue = Use(evidence.queue);
  const double usual = std::max(1.0, Median(evidence.done_ms));
  const double expected =
      Log(ExpectedMs(std::string(evidence.queue), evidence.estimate_ms));
  const double error =
      std::clamp(std::log(usual) - expected, -kMaxWorkError, kMaxWorkError);
  if (queue.runs >= kRunsToCorrect) {
    queue.work_squares = kWorkDecay * queue.work_squares + error * error;
    queue.work_weight = kWorkDecay * queue.work_weight + 1;
  }
  if (evidence.done_ms.size() + stopped_ms.size() < kMinRunsOfStep) {
    return;
  }
  for (const double ms : evidence.done_ms) {
    queue.noise.Add(ms / usual);
    m_noise.Add(ms / usual);
  }
  for (const double ms : stopped_ms) {
    queue.noise.AddLongerThan(ms / usual);
    m_noise.AddLongerThan(ms / usual);
  }
}

uint32_t RunTimes::ExpectedMs(const std::string& queue,
                              uint32_t estimate_ms) const {
  return m_model.Expect(queue, estimate_ms);
}

double RunTimes::WorkMs(const StepEvidence& evidence) const {
  return std::exp(WorkOf(evidence).log_ms);
}

double RunTimes::Margin(std::string_view queue, double quantile) const {
  const StepOutlook outlook = OutlookOf({.queue = queue, .estimate_ms = 100});
  const double expected = ExpectedMs(std::string(queue), 100);
  double below = expected / 16;
  double above = expected * 64;
  for (int i = 0; i < 16; ++i) {
    const double middle = std::sqrt(below * above);
    (outlook.ChanceOfNew(middle) < quantile ? below : above) = middle;
  }
  return above / expected;
}

std::vector<RunTimes::QueueView> RunTimes::ViewQueues() const {
  std::vector<QueueView> views;
  for (const auto& [name, queue] : m_queues) {
    views.push_back({name, queue->runs, ExpectedMs(name, 100),
                     1 - queue->noise.ChanceBelow(2)});
  }
  return views;
}

std::vector<RunTimes::KindView> RunTimes::ViewKinds() const {
  std::vector<KindView> views;
  for (const auto& [name, kind] : m_kinds) {
    views.push_back({name, std::exp(kind->LogFactor())});
  }
  return views;
}

// Points cover three deviations of the work to either side. Runs that go on
// have taken at least their elapsed time, which speaks for more work or for a
// long run.
StepOutlook RunTimes::OutlookOf(const StepEvidence& evidence) const {
  constexpr double kReach = 3;
  const Work work = WorkOf(evidence);
  const Queue* queue = Find(evidence.queue);
  StepOutlook outlook;
  outlook.m_noise = queue == nullptr ? &m_noise : &queue->noise;
  double total = 0;
  for (int i = 0; i < StepOutlook::kPoints; ++i) {
    const double deviations =
        kReach * (2.0 * i / (StepOutlook::kPoints - 1) - 1);
    StepOutlook::Point& point = outlook.m_points[i];
    point.work_ms = std::exp(work.log_ms + deviations * work.deviation);
    point.chance = std::exp(-deviations * deviations / 2);
    for (const double elapsed : evidence.running_ms) {
      point.chance *= 1 - outlook.m_noise->ChanceBelow(elapsed / point.work_ms);
    }
    total += point.chance;
  }
  for (StepOutlook::Point& point : outlook.m_points) {
    point.chance =
        total > 0 ? point.chance / total : 1.0 / StepOutlook::kPoints;
  }
  return outlook;
}

}  // namespace egretswitch::internal
