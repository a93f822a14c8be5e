// Times from 0.1 ms to 100 s, counted in buckets of equal ratio.
//
//   histogram.Add(12.5);
//   histogram.Quantile(0.99)   // ms, within the width of a bucket (26 %)
//
// Not thread-safe.
#ifndef EGRETSWITCH_SRC_LATENCY_HISTOGRAM_H_
#define EGRETSWITCH_SRC_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

namespace egretswitch::internal {

// Observations up to and including `upper_ms`.
struct CumulativeBucket {
  double upper_ms = 0;
  uint64_t count = 0;
};

class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void Add(double ms);

  uint64_t count() const { return m_count; }
  double sum_ms() const { return m_sum_ms; }

  // Estimate of the value below which `fraction` (0 to 1) of the observations
  // lie; 0 when there are none. Values out of range count as its ends.
  double Quantile(double fraction) const;

  // Every bucket, smallest first. Values beyond 100 s are in count() alone.
  std::vector<CumulativeBucket> Buckets() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
  uint64_t m_count = 0;
  double m_sum_ms = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LATENCY_HISTOGRAM_H_
