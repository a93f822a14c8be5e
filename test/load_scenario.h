// A load to play against the decisions of entries and agents: workers, kinds of
// job, how many come when, and what goes wrong meanwhile.
//
//   LoadScenario scenario = {.kinds = {{.name = "check", .per_s = 30}}};
//   scenario.bursts = {{.at = Ms(6000), .lasts = Ms(8000), .factor = 1.8}};
//   const std::vector<LoadJob> jobs = DrawJobs(scenario, /*seed=*/1);
//
// A job's worth and true work are for the measurement alone: the decisions see
// only what a caller sends.
#ifndef EGRETSWITCH_TEST_LOAD_SCENARIO_H_
#define EGRETSWITCH_TEST_LOAD_SCENARIO_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "run_world.h"

namespace egretswitch::internal {

// Jobs of one queue. Sizes are drawn: `spread` is the standard deviation of the
// logarithm.
struct LoadKind {
  std::string name;
  uint32_t priority = 0;
  double per_s = 0;
  double tasks = 1;  // mean
  double tasks_spread = 0.4;
  uint32_t most_tasks = 32;
  double work_ms = 100;  // mean, of a task
  double work_spread = 0.4;
  double cores = 6.2;  // mean, of a task
  double worth = 1;    // mean, of a job on time
  VirtualUs caller_timeout = Ms(1500);
};

// `factor` times the usual number of jobs.
struct LoadBurst {
  VirtualUs at = 0;
  VirtualUs lasts = 0;
  double factor = 1;
  std::string kind = {};  // empty: of all kinds
  double size = 1;        // and their tasks this much longer
};

struct LoadTrouble {
  enum class Kind : uint8_t {
    kSlow,         // `share` of the workers take `factor` times as long
    kCrash,        // `share` of the workers crash, and come back after `lasts`
    kHang,         // as kSlow, without an end
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

struct LoadScenario {
  std::string name;
  VirtualUs lasts = Ms(24'000);
  int entries = 3;
  std::vector<int> entry_shares = {};
  std::vector<WorkerPlan> workers = {};
  std::vector<LoadKind> kinds = {};
  double load = 1;  // times each kind's rate
  double estimate_spread = 0.4;
  double estimate_bias = 1;  // callers' estimates over the truth, in the middle
  std::vector<LoadBurst> bursts = {};
  std::vector<LoadTrouble> troubles = {};
};

struct LoadJob {
  JobPlan plan;
  int kind = 0;
  double worth = 0;
  VirtualUs objective = 0;  // by the true work

  double CoreSeconds() const;
};

std::vector<LoadJob> DrawJobs(const LoadScenario& scenario, uint64_t seed);

// Workers of 64 and, each third, 96 cores that are slower by a third; three
// kinds of job, the most urgent short and wide, the least urgent long, which
// take two thirds of the room.
LoadScenario MixedLoad();
// The same on 240 workers behind 55 entries that get very unequal shares of the
// callers; tasks that take a quarter of a worker. `share` of all of that.
LoadScenario FleetLoad(double share = 1);

// Small workers, 68 of 16 cores and, each third, 24 that are slower, behind 12
// entries; ten tasks to a worker, nine jobs in ten of the two short kinds.
LoadScenario ManySmallJobsLoad();

// Plays the jobs; the world is left as it is at the end, `lasts` and 8 s more.
// `busy`, if any, gets the share of the processors in use, each kBusyStep.
std::unique_ptr<RunWorld> SimulateLoad(const LoadScenario& scenario,
                                       const std::vector<LoadJob>& jobs,
                                       uint64_t seed,
                                       const DispatchPolicy& policy = {},
                                       std::vector<double>* busy = nullptr);
inline constexpr VirtualUs kBusyStep = Ms(10);

// What an outcome is worth: all on time, a fifth up to three times the
// objective, nothing later or without an answer.
double WorthOf(const LoadJob& job, const JobOutcome& outcome);

// The share of the worth of jobs that came from `from` to `to`, by kind or (-1)
// of all.
double ShareServed(const std::vector<LoadJob>& jobs,
                   const RunWorld& world,
                   VirtualUs from,
                   VirtualUs to,
                   int kind = -1);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_LOAD_SCENARIO_H_
