// When the tasks of a waiting job will have started, from what waits ahead of
// it and how fast this entry has got room lately.
//
//   forecast.RecordPlacement("desk", 6200, now);          // for each task
//   started StartForecast::Pass pass = forecast.BeginPass(now);
//   pass.PredictedWait(first);    -> 20 ms, if 6200 millicores come free in
//   that time pass.PredictedWait(second);   -> 40 ms: the first is ahead of it
//   forecast.EndPass(pass);
//
// Admission control by predicted waiting time: what would be late anyway is
// refused when that is known, not when its time is over.
#ifndef EGRETSWITCH_SRC_START_FORECAST_H_
#define EGRETSWITCH_SRC_START_FORECAST_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "clock.h"
#include "open_job.h"

namespace egretswitch::internal {

class StartForecast {
 public:
  // One look at all jobs that wait, in the order in which they get room.
  class Pass {
   public:
    // Until the last task of the job that waits now has started; nothing when
    // too little is known. The job is ahead of those asked about later.
    absl::Duration PredictedWait(const OpenJob& job);
    // The job asked about last waits no more.
    void Drop(const OpenJob& job);

   private:
    friend class StartForecast;
    Pass(const StartForecast& forecast, MonoTime now)
        : m_forecast(forecast), m_now(now) {}

    const StartForecast& m_forecast;
    const MonoTime m_now;
    struct Ahead {
      double millicores = 0;
      uint32_t most_urgent = 0;  // of what waits
    };
    absl::flat_hash_map<std::string, Ahead> m_ahead;  // by service
  };

  // A task was given a place on a worker of the service.
  void RecordPlacement(const std::string& service,
                       uint32_t millicores,
                       MonoTime now);

  Pass BeginPass(MonoTime now) const { return Pass(*this, now); }
  // Every waiting job was asked about.
  void EndPass(const Pass& pass);

 private:
  // What was placed since tasks of a service began to wait: a sum that decays.
  struct Placed {
    MonoTime since = absl::ZeroDuration();
    double millicores = 0;
    MonoTime at = absl::ZeroDuration();  // of the last one
  };

  static double DecayedTo(const Placed& placed, MonoTime now);
  // Millicores a second; 0: not known.
  double RateOf(const std::string& service, MonoTime now) const;

  absl::flat_hash_map<std::string, Placed> m_placed;  // where tasks wait
};

// Whether a job that starts after `wait` would miss its latency objective.
bool WouldBeLate(const OpenJob& job, absl::Duration wait, MonoTime now);

// When a caller that is refused because of such a wait had better come back.
// `share` from 0 to 1 spreads equal ones.
absl::Duration SuggestedRetryDelay(absl::Duration wait, double share);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_START_FORECAST_H_
