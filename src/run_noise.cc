// A stopped run is spread over the bins above it in proportion to what is known
// of them. If it were left out, the tail would be forgotten once runs in the
// tail are stopped early.
#include "run_noise.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>
#include <numbers>

namespace egretswitch::internal {
namespace {

namespace bh = boost::histogram;

constexpr double kLeastRatio = 1.0 / 16;
constexpr double kMostRatio = 64;
// Each bin is 7.5% wide.
constexpr unsigned int kBinCount = 96;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

auto MakeHistogram() {
  return bh::make_histogram_with(std::vector<double>(),
                                 LogAxis(kBinCount, kLeastRatio, kMostRatio));
}

// Weight of all earlier runs after each new one.
constexpr double kDecay = 0.998;
constexpr double kMaxUnit = 1e6;
// Runs that the starting distribution counts as.
constexpr double kPriorRuns = 20;

// The built-in distribution: nearly all runs of a step are alike, and a few
// take up to twelve times as long.
constexpr double kPriorSpread = 0.17;
constexpr double kPriorTail = 0.02;
constexpr double kPriorTailFrom = 1.5;
constexpr double kPriorTailTo = 12;

double PriorBelow(double ratio) {
  const double log_ratio = std::log(ratio);
  const double usual =
      std::erfc(-log_ratio / kPriorSpread / std::numbers::sqrt2) / 2;
  const double tail = std::clamp((log_ratio - std::log(kPriorTailFrom)) /
                                     std::log(kPriorTailTo / kPriorTailFrom),
                                 0.0, 1.0);
  return (1 - kPriorTail) * usual + kPriorTail * tail;
}

}  // namespace

class RunNoise::Impl {
 public:
  decltype(MakeHistogram()) histogram = MakeHistogram();
};

RunNoise::RunNoise(const RunNoise* parent)
    : m_impl(std::make_unique<Impl>()), m_parent(parent) {}
RunNoise::~RunNoise() = default;
RunNoise::RunNoise(RunNoise&&) noexcept = default;
RunNoise& RunNoise::operator=(RunNoise&&) noexcept = default;

void RunNoise::Add(double ratio) {
  Decay();
  AddWeight(ratio, m_unit);
}

void RunNoise::AddLongerThan(double ratio) {
  const auto& axis = m_impl->histogram.axis();
  const double from = std::clamp(ratio, kLeastRatio, kMostRatio);
  const double above = ChanceBelow(kMostRatio) - ChanceBelow(from);
  if (above < 1e-9) {
    Add(std::max(ratio, kLeastRatio));
    return;
  }
  std::vector<double> shares(kBinCount, 0);
  for (int i = std::min(axis.index(from), axis.size() - 1); i < axis.size();
       ++i) {
    const double lower = std::max(from, axis.bin(i).lower());
    shares[i] = (ChanceBelow(axis.bin(i).upper()) - ChanceBelow(lower)) / above;
  }
  Decay();
  for (int i = 0; i < axis.size(); ++i) {
    if (shares[i] > 0) {
      AddWeight(axis.bin(i).center(), m_unit * shares[i]);
    }
  }
}

void RunNoise::AddWeight(double ratio, double weight) {
  // A log axis has no place for 0.
  m_impl->histogram(std::max(ratio, kLeastRatio / 2), bh::weight(weight));
  m_total += weight;
  m_below.clear();
}

void RunNoise::Decay() {
  m_unit /= kDecay;
  if (m_unit > kMaxUnit) {
    m_impl->histogram *= 1 / m_unit;
    m_total /= m_unit;
    m_unit = 1;
  }
}

double RunNoise::OwnShareBelow(double ratio) const {
  const auto& histogram = m_impl->histogram;
  if (m_below.empty()) {
    double below = histogram.at(-1);
    for (unsigned int i = 0; i < kBinCount; ++i) {
      m_below.push_back(below);
      below += histogram.at(static_cast<int>(i));
    }
    m_below.push_back(below);
  }
  const auto& axis = histogram.axis();
  const int bin = axis.index(ratio);
  if (bin < 0) {
    return 0;
  }
  if (bin >= axis.size()) {
    return m_below.back() / m_total;
  }
  const double part = std::log(ratio / axis.bin(bin).lower()) /
                      std::log(axis.bin(bin).upper() / axis.bin(bin).lower());
  return (m_below[bin] + part * histogram.at(bin)) / m_total;
}

double RunNoise::ChanceBelow(double ratio) const {
  if (ratio <= 0) {
    return 0;
  }
  const double prior =
      m_parent == nullptr ? PriorBelow(ratio) : m_parent->ChanceBelow(ratio);
  if (m_total == 0) {
    return prior;
  }
  const double runs = m_total / m_unit;
  return (runs * OwnShareBelow(ratio) + kPriorRuns * prior) /
         (runs + kPriorRuns);
}

}  // namespace egretswitch::internal
