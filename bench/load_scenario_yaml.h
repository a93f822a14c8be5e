// Reads a load scenario from YAML. What a file leaves out is as in MixedLoad().
//
//   load: 1.2                       # times the usual rates
//   entry_shares: [4, 1, 1]
//   estimate_bias: 2                # callers guess twice the truth
//   bursts: [{at_s: 6, for_s: 8, factor: 1.8, kind: short}]
//   troubles: [{kind: slow, at_s: 4, for_s: 6, share: 0.17, factor: 4}]
//   windows: [6, 14]                # what the summary is about, in seconds
#ifndef EGRETSWITCH_BENCH_LOAD_SCENARIO_YAML_H_
#define EGRETSWITCH_BENCH_LOAD_SCENARIO_YAML_H_

#include <string>

#include "absl/status/statusor.h"
#include "load_scenario.h"

namespace egretswitch::internal {

struct LabScenario {
  LoadScenario load;
  VirtualUs from = 0;
  VirtualUs to = 0;
};

absl::StatusOr<LabScenario> ReadLabScenario(const std::string& path);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_BENCH_LOAD_SCENARIO_YAML_H_
