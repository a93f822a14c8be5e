// What an entry knows about run times: how long the tasks of each queue take,
// how much single runs differ and how fast each worker is.
//
//   WorkerSpeed speed = times.SpeedOfKind("desk", "a");
//   times.RecordRun({"checks", 100}, 140, speed, now);   // for each run
//   times.ExpectedMs("checks", 100)               // on a usual worker
//   StepOutlook outlook = times.OutlookOf({"checks", 100, done, running});
//   outlook.ChanceOfNew(200)            // of a new run to end within 200 ms
//   outlook.ChanceOfRunning(150, 200)   // of one that has taken 150 ms already
//
// A run time is the product of what the step's work takes, of the worker's
// slowness and of the noise of a single run. All times of an outlook are those
// on a usual worker: divide by WorkerSpeed::Slowness() first. Decisions about
// stragglers, refusals and placement ask here.
#ifndef EGRETSWITCH_SRC_RUN_TIMES_H_
#define EGRETSWITCH_SRC_RUN_TIMES_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "clock.h"
#include "run_noise.h"
#include "run_time_model.h"
#include "worker_speed.h"

namespace egretswitch::internal {

// What is known of one step of a job. Times are those on a usual worker.
struct StepEvidence {
  std::string_view queue;
  uint32_t estimate_ms = 0;  // the caller's
  // Of the step's finished runs, and of those that run.
  std::span<const double> done_ms = {};
  std::span<const double> running_ms = {};
};

// The distribution of the run times of one step. Refers to the RunTimes that
// it is from.
class StepOutlook {
 public:
  // Chance that a new run ends within this time.
  double ChanceOfNew(double within_ms) const;
  // Chance that a run of this step that has taken `elapsed_ms` ends within
  // `within_ms` from its start. It must be one of the evidence's `running_ms`.
  double ChanceOfRunning(double elapsed_ms, double within_ms) const;
  // Time that a new run takes at the median of the step's work.
  double MedianMs() const;

 private:
  friend class RunTimes;
  static constexpr int kPoints = 25;
  struct Point {
    double work_ms = 0;
    double chance = 0;
  };
  StepOutlook() = default;

  const RunNoise* m_noise = nullptr;
  std::array<Point, kPoints> m_points;  // of the step's work
};

class RunTimes {
 public:
  RunTimes() = default;

  // A worker that no run is known of. The kind is the one that it reports.
  WorkerSpeed SpeedOfKind(std::string_view service, std::string_view kind);

  // Records a run that has ended by itself. `evidence` is without it.
  // `learn_speed` tells whether it counts for the worker.
  void RecordRun(const StepEvidence& evidence,
                 uint32_t run_ms,
                 WorkerSpeed& worker,
                 MonoTime now,
                 bool learn_speed = true);
  // Records a run that was stopped after `run_ms`.
  void RecordStoppedRun(const StepEvidence& evidence,
                        uint32_t run_ms,
                        WorkerSpeed& worker,
                        MonoTime now);
  // Records all runs of a step once its job has ended, to learn how much single
  // runs differ. `stopped_ms` are the times after which runs were stopped.
  void RecordStep(const StepEvidence& evidence,
                  std::span<const double> stopped_ms);

  // The median on a usual worker; the estimate itself while there are too few
  // observations.
  uint32_t ExpectedMs(const std::string& queue, uint32_t estimate_ms) const;
  // Run time that a new run stays below with chance `quantile`, over the
  // expected one.
  double Margin(std::string_view queue, double quantile) const;
  // What a usual run of the step takes, by its estimate and its finished runs.
  double WorkMs(const StepEvidence& evidence) const;
  StepOutlook OutlookOf(const StepEvidence& evidence) const;

  // What is known of a queue, or of a kind of workers, for logs.
  struct QueueView {
    std::string queue;
    uint64_t runs = 0;
    uint32_t expected_of_100_ms = 0;
    double beyond_twice = 0;  // share of runs that take twice their siblings
  };
  struct KindView {
    std::string kind;  // after its service
    double slowness = 1;
  };
  std::vector<QueueView> ViewQueues() const;
  std::vector<KindView> ViewKinds() const;

  size_t queues() const { return m_queues.size(); }
  size_t kinds() const { return m_kinds.size(); }

 private:
  struct Queue {
    explicit Queue(const RunNoise* all_queues) : noise(all_queues) {}
    RunNoise noise;
    uint64_t runs = 0;
    // How far the runs are from their expectation on the present slowness of
    // their workers; a decaying mean of logarithms.
    double error = 0;
    double error_weight = 0;
    // Decaying sum of squared logarithms of a step's work over its expectation.
    double work_squares = 0;
    double work_weight = 0;
    uint64_t used = 0;  // sequence number of the last observation
  };

  // The logarithm of the step's work, normally distributed.
  struct Work {
    double log_ms = 0;
    double deviation = 0;
  };

  Queue& Use(std::string_view queue);
  const Queue* Find(std::string_view queue) const;
  Work WorkOf(const StepEvidence& evidence) const;

  RunTimeModel m_model;
  RunNoise m_noise;  // of all queues
  std::map<std::string, std::unique_ptr<Queue>, std::less<>> m_queues;
  std::map<std::string, std::shared_ptr<KindSpeed>> m_kinds;
  uint64_t m_observations = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_TIMES_H_
