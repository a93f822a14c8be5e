#include "latency_histogram.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>

namespace egretswitch::internal {
namespace {

namespace bh = boost::histogram;

constexpr double kLeastMs = 0.1;
constexpr double kMostMs = 100'000;
// Ten for each factor of ten.
constexpr unsigned int kBucketCount = 60;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Counts = std::vector<uint64_t>;

auto MakeHistogram() {
  return bh::make_histogram_with(Counts(),
                                 LogAxis(kBucketCount, kLeastMs, kMostMs));
}

}  // namespace

class LatencyHistogram::Impl {
 public:
  decltype(MakeHistogram()) histogram = MakeHistogram();
};

LatencyHistogram::LatencyHistogram() : m_impl(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept =
    default;

void LatencyHistogram::Add(double ms) {
  // A log axis has no place for 0; a clock's step back is no latency.
  const double positive = std::max(ms, kLeastMs / 10);
  m_impl->histogram(positive);
  ++m_count;
  m_sum_ms += positive;
}

std::vector<CumulativeBucket> LatencyHistogram::Buckets() const {
  const auto& axis = m_impl->histogram.axis();
  std::vector<CumulativeBucket> buckets;
  buckets.reserve(kBucketCount);
  uint64_t total = m_impl->histogram.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    total += m_impl->histogram.at(i);
    buckets.push_back({axis.bin(i).upper(), total});
  }
  return buckets;
}

double LatencyHistogram::Quantile(double fraction) const {
  if (m_count == 0) {
    return 0;
  }
  const double wanted = fraction * static_cast<double>(m_count);
  double lower = kLeastMs;
  double below = 0;
  for (const CumulativeBucket& bucket : Buckets()) {
    const auto reached = static_cast<double>(bucket.count);
    if (reached >= wanted && reached > below) {
      const double part = std::max(0.0, (wanted - below) / (reached - below));
      return lower * std::pow(bucket.upper_ms / lower, part);
    }
    lower = bucket.upper_ms;
    below = reached;
  }
  return kMostMs;
}

}  // namespace egretswitch::internal
