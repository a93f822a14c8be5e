// The rate is that of this entry alone: the capacity that it gets beside the
// other entries. It is measured only while tasks wait, when each start uses
// capacity that was just freed; otherwise it would measure the load instead of
// the capacity. There is therefore no prediction for the first waits after an
// idle period, and only jobs in a standing queue are refused.
#include "start_forecast.h"

#include <cmath>

namespace egretswitch::internal {
namespace {

// Time constant of the decaying sum: covers some tens of starts of a busy
// entry, and is shorter than the two seconds after which a burst is seen as an
// outage.
constexpr absl::Duration kRateTimeConstant = absl::Milliseconds(300);
// A queue that has been standing for less is not an overload yet: twice the
// time in which an update about free capacity reaches every entry.
constexpr absl::Duration kMinQueueAge = absl::Milliseconds(40);

// Agents serve the most urgent task of any entry first, so the most urgent jobs
// of this entry get capacity faster than the entry does on average.
constexpr double kMostUrgentRateFactor = 2;

// A refused caller retries after twice the predicted wait, when the work ahead
// of it is done, plus a jitter so that callers don't retry all at once.
constexpr double kRetryWaitFactor = 2;
constexpr absl::Duration kRetryJitter = absl::Milliseconds(1000);
constexpr absl::Duration kMaxRetryDelay = absl::Seconds(5);

double WaitingMillicores(const OpenJob& job) {
  double millicores = 0;
  for (const OpenTask& task : job.tasks) {
    if (task.state == OpenTask::State::kWaiting) {
      millicores += job.StepOf(task).needs.millicores;
    }
  }
  return millicores;
}

}  // namespace

void StartForecast::RecordPlacement(const std::string& service,
                                    uint32_t millicores,
                                    MonoTime now) {
  const auto it = m_placed.find(service);
  if (it != m_placed.end()) {
    it->second.millicores = DecayedTo(it->second, now) + millicores;
    it->second.at = now;
  }
}

void StartForecast::EndPass(const Pass& pass) {
  absl::erase_if(m_placed, [&pass](const auto& placed) {
    return !pass.m_ahead.contains(placed.first);
  });
  for (const auto& [service, ahead] : pass.m_ahead) {
    m_placed.try_emplace(service, Placed{pass.m_now, 0, pass.m_now});
  }
}

double StartForecast::DecayedTo(const Placed& placed, MonoTime now) {
  return placed.millicores *
         std::exp(-absl::FDivDuration(now - placed.at, kRateTimeConstant));
}

double StartForecast::RateOf(const std::string& service, MonoTime now) const {
  const auto it = m_placed.find(service);
  if (it == m_placed.end() || now - it->second.since < kMinQueueAge) {
    return 0;
  }
  const double covered = 1 - std::exp(-absl::FDivDuration(
                                 now - it->second.since, kRateTimeConstant));
  return DecayedTo(it->second, now) /
         (covered * absl::ToDoubleSeconds(kRateTimeConstant));
}

absl::Duration StartForecast::Pass::PredictedWait(const OpenJob& job) {
  Ahead& ahead = m_ahead.try_emplace(job.queue.service, Ahead{0, job.Urgency()})
                     .first->second;
  ahead.millicores += WaitingMillicores(job);
  double rate = m_forecast.RateOf(job.queue.service, m_now);
  if (job.Urgency() == ahead.most_urgent) {
    rate *= kMostUrgentRateFactor;
  }
  return rate == 0 ? absl::ZeroDuration()
                   : absl::Seconds(ahead.millicores / rate);
}

void StartForecast::Pass::Drop(const OpenJob& job) {
  m_ahead.at(job.queue.service).millicores -= WaitingMillicores(job);
}

bool WouldBeLate(const OpenJob& job, absl::Duration wait, MonoTime now) {
  const absl::Duration waited = now - job.arrived_at - job.held;
  return waited + wait + job.run_margin * job.LongestEstimate() >
         job.Objective();
}

absl::Duration SuggestedRetryDelay(absl::Duration wait, double jitter) {
  return std::min(kMaxRetryDelay,
                  kRetryWaitFactor * wait + jitter * kRetryJitter);
}

}  // namespace egretswitch::internal
