// Least-squares regression of log run time on log estimate. Where estimates
// scatter as much as the work does, the best prediction lies half way between
// the estimate and the queue's mean.
#include "run_time_model.h"

#include <algorithm>
#include <cmath>

namespace egretswitch::internal {
namespace {

// Weight of all earlier runs after each new one: covers some 100 runs, a second
// of a busy queue.
constexpr double kDecay = 0.99;
// Observed runs before a prediction is made.
constexpr double kMinWeight = 16;

double Log(uint32_t ms) {
  return std::log(std::max(1u, ms));
}

}  // namespace

void RunTimeModel::Observe(const std::string& queue,
                           uint32_t estimate_ms,
                           uint32_t run_ms) {
  Sums& sums = m_sums[queue];
  const double x = Log(estimate_ms);
  const double y = Log(run_ms);
  for (double* sum : {&sums.weight, &sums.x, &sums.y, &sums.xx, &sums.xy}) {
    *sum *= kDecay;
  }
  sums.weight += 1;
  sums.x += x;
  sums.y += y;
  sums.xx += x * x;
  sums.xy += x * y;
}

uint32_t RunTimeModel::Expect(const std::string& queue,
                              uint32_t estimate_ms) const {
  const auto it = m_sums.find(queue);
  if (it == m_sums.end() || it->second.weight < kMinWeight) {
    return estimate_ms;
  }
  const Sums& sums = it->second;
  const double mean_x = sums.x / sums.weight;
  const double mean_y = sums.y / sums.weight;
  const double variance = sums.xx / sums.weight - mean_x * mean_x;
  const double covariance = sums.xy / sums.weight - mean_x * mean_y;
  const double slope =
      variance < 1e-6 ? 1 : std::clamp(covariance / variance, 0.0, 1.0);
  const double expected = mean_y + slope * (Log(estimate_ms) - mean_x);
  return static_cast<uint32_t>(std::lround(std::exp(expected)));
}

}  // namespace egretswitch::internal
