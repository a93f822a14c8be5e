// Predicts when the tasks of a waiting job will have started, from the work
// that is queued ahead of it and the rate at which this entry recently placed
// tasks.
//
//   forecast.RecordPlacement("desk", 6200, now);   // for each task started
//   StartForecast::Pass pass = forecast.BeginPass(now);
//   pass.PredictedWait(first);    -> 20 ms, if 6200 millicores are freed in it
//   pass.PredictedWait(second);   -> 40 ms: the first is ahead of it
//   forecast.EndPass(pass);
//
// Used for admission control: a job that would miss its objective is refused as
// soon as that can be predicted, not when its objective has passed.
#ifndef EGRETSWITCH_SRC_START_FORECAST_H_
#define EGRETSWITCH_SRC_START_FORECAST_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "clock.h"
#include "open_job.h"

namespace egretswitch::internal {

class StartForecast {
 public:
  // One pass over all waiting jobs, in the order in which they are dispatched.
  class Pass {
   public:
    // The time until the last waiting task of the job has started; zero while
    // the rate is unknown. The job counts as ahead of those passed in later.
    absl::Duration PredictedWait(const OpenJob& job);
    // Removes the job that was passed in last: it no longer waits.
    void Drop(const OpenJob& job);

   private:
    friend class StartForecast;
    Pass(const StartForecast& forecast, MonoTime now)
        : m_forecast(forecast), m_now(now) {}

    const StartForecast& m_forecast;
    const MonoTime m_now;
    struct Ahead {
      double millicores = 0;
      uint32_t most_urgent = 0;  // urgency of the first waiting job
    };
    absl::flat_hash_map<std::string, Ahead> m_ahead;  // by service
  };

  // Records that a task was placed on a worker of the service.
  void RecordPlacement(const std::string& service,
                       uint32_t millicores,
                       MonoTime now);

  Pass BeginPass(MonoTime now) const { return Pass(*this, now); }
  // Ends a pass in which every waiting job was passed to PredictedWait().
  void EndPass(const Pass& pass);

 private:
  // Capacity placed since tasks of a service began to wait, as a decaying sum.
  struct Placed {
    MonoTime since = absl::ZeroDuration();
    double millicores = 0;
    MonoTime at = absl::ZeroDuration();  // of the last one
  };

  static double DecayedTo(const Placed& placed, MonoTime now);
  // Millicores per second; 0 if unknown.
  double RateOf(const std::string& service, MonoTime now) const;

  // By service, only while tasks of the service wait.
  absl::flat_hash_map<std::string, Placed> m_placed;
};

// Whether a job that starts after `wait` would miss its latency objective.
bool WouldBeLate(const OpenJob& job, absl::Duration wait, MonoTime now);

// Returns the retry delay for a caller that is refused because of such a wait.
// `jitter` from 0 to 1 spreads the retries of callers with equal waits.
absl::Duration SuggestedRetryDelay(absl::Duration wait, double jitter);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_START_FORECAST_H_
