// A straight line through measured points, and how straight it is.
//
//   Series series{"entry.tick.workers", "workers", "ns"};
//   series.Add(100, {1800, 1790, 1850});
//   series.Add(200, {3600, 3610, 3590});
//   FitLine(series).slope    // 18 ns for each further worker
#ifndef EGRETSWITCH_BENCH_CAPACITY_FIT_H_
#define EGRETSWITCH_BENCH_CAPACITY_FIT_H_

#include <string>
#include <vector>

namespace egretswitch::internal {

// The values that repeats gave at one size.
struct SeriesPoint {
  double size = 0;
  std::vector<double> values;
};

// One figure measured while one thing grows.
struct Series {
  std::string name;   // "entry.tick.workers"
  std::string grown;  // what grows: "workers"
  std::string unit;   // of the figure: "ns", "bytes"
  std::vector<SeriesPoint> points;

  void Add(double size, std::vector<double> values) {
    points.push_back({size, std::move(values)});
  }
};

struct LineFit {
  double slope = 0;  // of the medians of all points
  double intercept = 0;
  double slope_low = 0;   // smallest and largest slope of a single repeat
  double slope_high = 0;  //
  double r_squared = 0;
};

double MedianOf(std::vector<double> values);

// Least squares; every point has the same number of repeats.
LineFit FitLine(const Series& series);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_BENCH_CAPACITY_FIT_H_
