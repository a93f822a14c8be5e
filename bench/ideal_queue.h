// Computes what one central queue could serve that sees the free capacity of
// every worker, knows every run time in advance and has no delay: the reference
// for what entries and agents serve together.
//
//   ServeIdeally(scenario, jobs, IdealOrder::kPriority)[7]  -> job 7's worth
#ifndef EGRETSWITCH_BENCH_IDEAL_QUEUE_H_
#define EGRETSWITCH_BENCH_IDEAL_QUEUE_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "load_scenario.h"

namespace egretswitch::internal {

enum class IdealOrder : uint8_t {
  kArrival = 0,
  kPriority,
  kWorth,  // worth per core-second, which no dispatcher can see
};

std::string_view IdealOrderName(IdealOrder order);

// Returns the worth earned by each job. A job that has not started is dropped
// once it can no longer end on time.
std::vector<double> ServeIdeally(const LoadScenario& scenario,
                                 const std::vector<LoadJob>& jobs,
                                 IdealOrder order);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_BENCH_IDEAL_QUEUE_H_
