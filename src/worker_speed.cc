// The mean of a worker's own runs is shrunk towards the mean of its kind. The
// shrinkage depends on how far apart the two are in standard errors: chance
// differences nearly vanish, a worker that is several times slower keeps its
// value.
#include "worker_speed.h"

#include <algorithm>
#include <cmath>

namespace egretswitch::internal {
namespace {

// Runs of a kind that are remembered, and those that count as a kind of usual
// speed from the start.
constexpr double kKindDecay = 0.995;
constexpr double kKindPriorRuns = 10;
// Variance of a single run's logarithm, and the runs that it counts for.
constexpr double kPriorVariance = 0.1;
constexpr double kVariancePriorRuns = 10;

// Weight of the worker's earlier runs after each new one: a worker that changes
// its speed is recognised within some ten runs.
constexpr double kWorkerDecay = 0.9;
// The worker's own runs have half of their weight after this time. A slow
// worker gets few runs that could show that it has recovered.
constexpr absl::Duration kHalfLife = absl::Seconds(3);
// Squared standard errors that chance may put between a worker and its kind.
constexpr double kChanceDistance = 2;

// One run counts as this far from the present value at most, since a few runs
// take many times as long on any worker.
const double kMaxStep = std::log(2.5);
const double kMaxKindStep = std::log(2);

}  // namespace

void KindSpeed::Observe(double log_ratio) {
  const double distance =
      std::clamp(log_ratio - LogFactor(), -kMaxKindStep, kMaxKindStep);
  const double value = LogFactor() + distance;
  m_weight = kKindDecay * m_weight + 1;
  m_sum = kKindDecay * m_sum + value;
  m_squares = kKindDecay * m_squares + distance * distance;
}

double KindSpeed::LogFactor() const {
  return m_sum / (m_weight + kKindPriorRuns);
}

double KindSpeed::Variance() const {
  return (m_squares + kVariancePriorRuns * kPriorVariance) /
         (m_weight + kVariancePriorRuns);
}

void WorkerSpeed::Observe(double log_ratio, MonoTime now) {
  const double present = LogFactor(now);
  const double value =
      present + std::clamp(log_ratio - present, -kMaxStep, kMaxStep);
  const double weight = kWorkerDecay * WeightAt(now);
  m_mean = (weight * m_mean + value) / (weight + 1);
  m_weight = weight + 1;
  m_observed_at = now;
  if (m_kind != nullptr) {
    m_kind->Observe(log_ratio);
  }
}

void WorkerSpeed::ObserveAtLeast(double log_ratio, MonoTime now) {
  if (log_ratio > LogFactor(now)) {
    Observe(log_ratio, now);
  }
}

// Costs no exponential, since it is computed for each worker that is
// considered.
double WorkerSpeed::WeightAt(MonoTime now) const {
  const double half_lives = absl::FDivDuration(now - m_observed_at, kHalfLife);
  return m_weight / (1 + half_lives * half_lives);
}

double WorkerSpeed::LogFactor(MonoTime now) const {
  const double kind = m_kind == nullptr ? 0 : m_kind->LogFactor();
  const double weight = WeightAt(now);
  if (weight == 0) {
    return kind;
  }
  const double variance =
      m_kind == nullptr ? kPriorVariance : m_kind->Variance();
  const double distance = m_mean - kind;
  const double square = distance * distance;
  const double chance = kChanceDistance * variance / weight;
  return kind + distance * square / (square + chance);
}

double WorkerSpeed::Slowness(MonoTime now) const {
  return std::exp(LogFactor(now));
}

}  // namespace egretswitch::internal
