// The jobs that every policy gets in one run: same seed, same arrivals, same
// run times.
//
//   MakeWorkload(kRamdewar, {0.8, Trouble::kNone}, 7).jobs[0]
//     -> at 5.013 s, stock_check, tasks of 80 and 120 ms, through entry 2
#ifndef EGRETSWITCH_BENCH_POLICY_WORKLOAD_H_
#define EGRETSWITCH_BENCH_POLICY_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "job_plan.h"
#include "virtual_time.h"

namespace egretswitch::bench {

using internal::Ms;
using internal::VirtualUs;

// A deployment's size and one-way latencies.
struct Deployment {
  const char* name;
  load::Profile profile;
  uint32_t entries;
  uint32_t workers;
  uint32_t slots_per_worker;
  uint32_t data_centres;
  VirtualUs within_centre;
  VirtualUs between_centres;
  VirtualUs to_caller;

  uint32_t slots() const { return workers * slots_per_worker; }
};

inline constexpr Deployment kRamdewar{
    "ramdewar", load::Profile::kOrderDesk, 3, 11, 8, 3, 100, 500, Ms(3)};
inline constexpr Deployment kCordillera{
    "cordillera", load::Profile::kListings, 3, 11, 8, 3, 100, 1000, Ms(1)};

enum class Trouble : uint8_t {
  kNone = 0,
  kStraggler,          // worker 0 takes kStraggleFactor times as long
  kFailingWorker,      // worker 0 fails every task after kFailAfter
  kWrongDeclarations,  // declared run times are off by up to 10x either way
  kBursts,             // kBurstSeconds of work at once, each kBurstPeriod
  kWeightedRows,       // weights that favour short kinds; else all are 1
  kContention,         // four rows with weights 1 to 4, each wanting 60 %
};

const char* TroubleName(Trouble trouble);

inline constexpr int kStraggleFactor = 4;
inline constexpr VirtualUs kFailAfter = Ms(5);
inline constexpr double kBurstSeconds = 3;
inline constexpr VirtualUs kBurstPeriod = Ms(20'000);

struct Condition {
  double load = 0.8;  // of the slots of all workers
  Trouble trouble = Trouble::kNone;
};

// One row of the operator table.
struct WorkloadRow {
  std::string kind;
  uint32_t weight = 1;
};

struct ArrivingJob {
  VirtualUs at = 0;  // leaves its caller
  VirtualUs deadline = 0;
  uint32_t entry = 0;
  uint32_t row = 0;
  bool repeatable = true;
  bool is_measured = false;  // came within the measured window
  std::vector<uint32_t> run_ms;
  std::vector<uint32_t> declared_ms;

  double WorkMs() const;
};

// More tasks than this make a job large.
inline constexpr size_t kMostTasksOfSmallJob = 16;

struct Workload {
  Deployment deployment = kRamdewar;
  Condition condition;
  std::vector<WorkloadRow> rows;
  std::vector<ArrivingJob> jobs;  // by time
  VirtualUs measured_from = 0;
  VirtualUs measured_until = 0;
  VirtualUs end = 0;  // what is open then counts as not served

  // The longest task or all work over all slots, whichever is longer, and the
  // way from the caller to the nearest worker and back.
  VirtualUs IdealUs(const ArrivingJob& job) const;
};

Workload MakeWorkload(const Deployment& deployment,
                      Condition condition,
                      uint64_t seed,
                      double measured_seconds);

}  // namespace egretswitch::bench

#endif  // EGRETSWITCH_BENCH_POLICY_WORKLOAD_H_
