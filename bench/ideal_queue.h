// What one queue could serve that sees every worker's room, knows every run
// time in advance and has no delay: the measure for what entries and agents
// serve together.
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
  kWorth,  // a core-second, which no dispatcher is told
};

std::string_view IdealOrderName(IdealOrder order);

// The worth earned by each job. A job is dropped once it must be late.
std::vector<double> ServeIdeally(const LoadScenario& scenario,
                                 const std::vector<LoadJob>& jobs,
                                 IdealOrder order);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_BENCH_IDEAL_QUEUE_H_
