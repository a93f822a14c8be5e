// Predicts the run time of a queue's tasks from the estimates of their callers:
// estimates are often far off, and often by the same factor.
//
//   model.Observe("checks", /*estimate_ms=*/100, /*run_ms=*/150);  // often
//   model.Expect("checks", 100)  -> 150
//   model.Expect("checks", 300)  -> less than 450, if estimates scatter
#ifndef EGRETSWITCH_SRC_RUN_TIME_MODEL_H_
#define EGRETSWITCH_SRC_RUN_TIME_MODEL_H_

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"

namespace egretswitch::internal {

class RunTimeModel {
 public:
  void Observe(const std::string& queue, uint32_t estimate_ms, uint32_t run_ms);

  // Returns the estimate itself while there are too few observations.
  uint32_t Expect(const std::string& queue, uint32_t estimate_ms) const;

  void Forget(const std::string& queue) { m_sums.erase(queue); }

 private:
  // Decaying sums of the logarithms of estimate (x) and run time (y).
  struct Sums {
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
  };

  absl::flat_hash_map<std::string, Sums> m_sums;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_TIME_MODEL_H_
