// What has been learnt of one kind's run times: a quantile of the recent ones.
//
//   estimate.Learn(120); ... ; estimate.QuantileMs(0.5)   // about 120
//   estimate.TaskMs(declared 30)   // the declaration, until enough is learnt
//
// Declared run times are often far off, so they count only at first, clamped.
#ifndef EGRETSWITCH_SRC_RUN_TIME_ESTIMATE_H_
#define EGRETSWITCH_SRC_RUN_TIME_ESTIMATE_H_

#include <array>
#include <cstdint>

namespace egretswitch::internal {

class RunTimeEstimate {
 public:
  // Samples needed before declarations are ignored.
  static constexpr uint32_t kEnoughSamples = 8;

  void Learn(uint32_t run_ms);

  bool learnt() const { return m_samples >= kEnoughSamples; }

  // The quantile of the learnt run times, at most 19% too high; 0 when
  // nothing was learnt.
  double QuantileMs(double quantile) const;

  // Run time to reckon with for one task that was declared as `declared_ms`
  // (0: not declared).
  double TaskMs(uint32_t declared_ms) const;

 private:
  static constexpr int kBuckets = 80;

  std::array<double, kBuckets> m_weight{};
  double m_total = 0;
  double m_increment = 1;  // grows with each sample: older ones fade
  uint32_t m_samples = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_TIME_ESTIMATE_H_
