// How long runs take on one worker beside a usual one, learned from its runs.
//
//   auto kind = std::make_shared<KindSpeed>();
//   WorkerSpeed speed(kind);
//   speed.Observe(std::log(140.0 / 100), now);   // 140 ms instead of 100 ms
//   speed.Slowness(now)                          // between 1 and 1.4
//
// Workers of a kind are taken to be equally fast until their own runs say
// otherwise, so a worker that has just joined starts at the value of its kind.
#ifndef EGRETSWITCH_SRC_WORKER_SPEED_H_
#define EGRETSWITCH_SRC_WORKER_SPEED_H_

#include <memory>
#include <utility>

#include "clock.h"

namespace egretswitch::internal {

// The workers of one kind together.
class KindSpeed {
 public:
  // `log_ratio` is the logarithm of a run time over that on a usual worker.
  void Observe(double log_ratio);
  double LogFactor() const;
  // Of a single run.
  double Variance() const;

 private:
  double m_weight = 0;
  double m_sum = 0;
  double m_squares = 0;  // of the distances from LogFactor()
};

class WorkerSpeed {
 public:
  // Of a worker whose kind is unknown.
  WorkerSpeed() = default;
  explicit WorkerSpeed(std::shared_ptr<KindSpeed> kind)
      : m_kind(std::move(kind)) {}

  bool HasKind() const { return m_kind != nullptr; }

  void Observe(double log_ratio, MonoTime now);
  // A run that was stopped: its time would have been longer.
  void ObserveAtLeast(double log_ratio, MonoTime now);

  double LogFactor(MonoTime now) const;
  // Run time over that on a usual worker.
  double Slowness(MonoTime now) const;

 private:
  // The weight of the worker's own runs.
  double WeightAt(MonoTime now) const;

  std::shared_ptr<KindSpeed> m_kind;
  double m_weight = 0;
  double m_mean = 0;  // logarithm
  MonoTime m_observed_at = absl::ZeroDuration();
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_SPEED_H_
