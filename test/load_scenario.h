// A load scenario for simulations of entries and agents: workers, kinds of job,
// arrival rates and injected faults.
//
//   LoadScenario scenario = {.kinds = {{.name = "check", .per_s = 30}}};
//   scenario.bursts = {{.at = Ms(6000), .lasts = Ms(8000), .factor = 1.8}};
//   const std::vector<LoadJob> jobs = DrawJobs(scenario, /*seed=*/1);
//
// A job's worth and true run times are used only to measure the result: entries
// and agents see only what a caller sends.
#ifndef EGRETSWITCH_TEST_LOAD_SCENARIO_H_
#define EGRETSWITCH_TEST_LOAD_SCENARIO_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "run_world.h"

namespace egretswitch::internal {

// Jobs of one queue. Sizes are log-normal; each spread is the standard
// deviation of the logarithm.
struct LoadKind {
  std::string name;
  uint32_t priority = 0;
  double per_s = 0;
  double tasks = 1;  // mean
  double tasks_spread = 0.4;
  uint32_t most_tasks = 32;
  double work_ms = 100;  // mean, of a task
  double work_spread = 0.4;
  double cores = 6.2;     // mean, of a task
  double tail_share = 0;  // of the runs, which take `tail_factor` times as long
  double tail_factor = 1;
  double worth = 1;  // mean, of a job that completes on time
  VirtualUs caller_timeout = Ms(1500);
};

// A period with `factor` times the normal arrival rate.
struct LoadBurst {
  VirtualUs at = 0;
  VirtualUs lasts = 0;
  double factor = 1;
  std::string kind = {};  // empty: of all kinds
  double size = 1;        // factor on the run times of their tasks
};

struct LoadTrouble {
  enum class Kind : uint8_t {
    kSlow,         // `share` of the workers take `factor` times as long
    kCrash,        // `share` of the workers crash and restart after `lasts`
    kHang,         // like kSlow, but tasks practically never end
    kPowerLoss,    // of all processes and workers
    kLostAnswers,  // `share` of the workers lose `factor` of their answers
    kEvacuation,   // of a data centre, a third of the workers
  };
  Kind kind = Kind::kSlow;
  VirtualUs at = 0;
  VirtualUs lasts = 0;
  double share = 0;
  double factor = 1;
};

// The callers of `share` of the jobs that arrive in this time cancel them, soon
// afterwards and at any entry.
struct LoadCancels {
  VirtualUs at = 0;
  VirtualUs lasts = 0;
  double share = 0;
};

struct LoadScenario {
  std::string name;
  VirtualUs lasts = Ms(24'000);
  int entries = 3;
  std::vector<int> entry_shares = {};
  std::vector<WorkerPlan> workers = {};
  std::vector<LoadKind> kinds = {};
  double load = 1;  // factor on the rate of each kind
  double estimate_spread = 0.4;
  double estimate_bias = 1;  // median of callers' estimates over true run times
  std::vector<LoadBurst> bursts = {};
  std::vector<LoadTrouble> troubles = {};
  LoadCancels cancels = {};
  bool count_bytes = false;  // of all messages, encoded as on a link
};

struct LoadJob {
  JobPlan plan;
  int kind = 0;
  double worth = 0;
  VirtualUs objective = 0;  // from the true run times

  double CoreSeconds() const;
};

std::vector<LoadJob> DrawJobs(const LoadScenario& scenario, uint64_t seed);

// Workers of 64 cores; every third one has 96 cores and is slower by a third.
// Three kinds of job that need two thirds of the capacity: the most urgent jobs
// are short with many tasks, the least urgent ones are long.
LoadScenario MixedLoad();
// The same kinds on 240 workers behind 55 entries with very unequal shares of
// the callers; each task takes a quarter of a worker. `share` scales the
// numbers of workers and entries and the rates.
LoadScenario FleetLoad(double share = 1);

// 68 small workers behind 12 entries: 16 cores, or 24 slower ones for every
// third worker. A worker holds ten tasks; nine jobs in ten are of the two short
// kinds.
LoadScenario ManySmallJobsLoad();

// Simulates the jobs and returns the world in its final state, 8 s after the
// end of the scenario. `busy`, if not null, gets the share of the processors in
// use, sampled every kBusyStep.
// 66 workers of two kinds behind six entries: 16 cores, or 24 cores for every
// third worker, which is 2.4 times slower. Three runs in a hundred take seven
// times as long. Jobs are as in ManySmallJobsLoad(), shorter, at half of the
// capacity.
LoadScenario TwoKindsLoad();

std::unique_ptr<RunWorld> SimulateLoad(const LoadScenario& scenario,
                                       const std::vector<LoadJob>& jobs,
                                       uint64_t seed,
                                       const DispatchPolicy& policy = {},
                                       std::vector<double>* busy = nullptr);
inline constexpr VirtualUs kBusyStep = Ms(10);

// The worth of an outcome: all of the job's worth on time, a fifth up to three
// times the objective, nothing later or if the job did not complete.
double WorthOf(const LoadJob& job, const JobOutcome& outcome);

// The worth earned as a share of the total worth of the jobs that arrived from
// `from` to `to`, of one kind or (-1) of all kinds.
double ShareServed(const std::vector<LoadJob>& jobs,
                   const RunWorld& world,
                   VirtualUs from,
                   VirtualUs to,
                   int kind = -1);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_LOAD_SCENARIO_H_
