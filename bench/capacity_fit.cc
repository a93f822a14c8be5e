#include "capacity_fit.h"

#include <algorithm>
#include <cstddef>

namespace egretswitch::internal {
namespace {

struct Sample {
  double x;
  double y;
};

struct Line {
  double slope = 0;
  double intercept = 0;
  double r_squared = 1;
};

double MeanOf(const std::vector<Sample>& samples, double Sample::*part) {
  double sum = 0;
  for (const Sample& sample : samples) {
    sum += sample.*part;
  }
  return sum / static_cast<double>(samples.size());
}

Line LeastSquares(const std::vector<Sample>& samples) {
  const double mean_x = MeanOf(samples, &Sample::x);
  const double mean_y = MeanOf(samples, &Sample::y);
  double xx = 0;
  double xy = 0;
  double yy = 0;
  for (const auto& [x, y] : samples) {
    xx += (x - mean_x) * (x - mean_x);
    xy += (x - mean_x) * (y - mean_y);
    yy += (y - mean_y) * (y - mean_y);
  }
  Line line;
  line.slope = xx > 0 ? xy / xx : 0;
  line.intercept = mean_y - line.slope * mean_x;
  // A level line has no variance to explain: it is as straight as can be.
  line.r_squared = xx > 0 && yy > 0 ? xy * xy / (xx * yy) : 1;
  return line;
}

}  // namespace

double MedianOf(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const size_t half = values.size() / 2;
  return values.size() % 2 == 1 ? values[half]
                                : (values[half - 1] + values[half]) / 2;
}

LineFit FitLine(const Series& series) {
  std::vector<Sample> medians;
  for (const SeriesPoint& point : series.points) {
    medians.push_back({point.size, MedianOf(point.values)});
  }
  const Line line = LeastSquares(medians);
  LineFit fit{line.slope, line.intercept, line.slope, line.slope,
              line.r_squared};
  const size_t repeats = series.points.front().values.size();
  for (size_t repeat = 0; repeat < repeats; ++repeat) {
    std::vector<Sample> samples;
    for (const SeriesPoint& point : series.points) {
      samples.push_back({point.size, point.values[repeat]});
    }
    const double slope = LeastSquares(samples).slope;
    fit.slope_low = std::min(fit.slope_low, slope);
    fit.slope_high = std::max(fit.slope_high, slope);
  }
  return fit;
}

}  // namespace egretswitch::internal
