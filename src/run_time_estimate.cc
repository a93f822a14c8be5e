#include "run_time_estimate.h"

#include <algorithm>
#include <cmath>

namespace egretswitch::internal {
namespace {

// Four buckets for each doubling: 1 ms to 2^20 ms.
constexpr double kBucketsPerDoubling = 4;

// Each sample weighs this much more than the one before: the last hundred
// samples or so decide.
constexpr double kFading = 1.01;

// Weights are scaled down long before they overflow.
constexpr double kLargestIncrement = 1e12;

constexpr double kUndeclaredMs = 200;
constexpr double kLeastDeclaredMs = 10;
constexpr double kMostDeclaredMs = 5000;

constexpr double kTypicalQuantile = 0.5;

int BucketOf(uint32_t run_ms, int buckets) {
  const double ms = std::max<double>(run_ms, 1);
  const int bucket = static_cast<int>(std::log2(ms) * kBucketsPerDoubling);
  return std::min(bucket, buckets - 1);
}

}  // namespace

void RunTimeEstimate::Learn(uint32_t run_ms) {
  m_weight[BucketOf(run_ms, kBuckets)] += m_increment;
  m_total += m_increment;
  m_increment *= kFading;
  ++m_samples;
  if (m_increment > kLargestIncrement) {
    for (double& weight : m_weight) {
      weight /= m_increment;
    }
    m_total /= m_increment;
    m_increment = 1;
  }
}

double RunTimeEstimate::QuantileMs(double quantile) const {
  double below = 0;
  for (int bucket = 0; bucket < kBuckets; ++bucket) {
    below += m_weight[bucket];
    if (below > 0 && below >= quantile * m_total) {
      return std::exp2((bucket + 1) / kBucketsPerDoubling);
    }
  }
  return 0;
}

double RunTimeEstimate::TaskMs(uint32_t declared_ms) const {
  if (learnt()) {
    return QuantileMs(kTypicalQuantile);
  }
  if (declared_ms == 0) {
    return kUndeclaredMs;
  }
  return std::clamp<double>(declared_ms, kLeastDeclaredMs, kMostDeclaredMs);
}

}  // namespace egretswitch::internal
