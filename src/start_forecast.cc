// The rate is that of this entry: what other entries take is not in it, and
// what they leave is. It counts only while tasks wait, when each start uses
// room that came free; before, it would be the load and not the room. So the
// first waits after a calm time are borne, and only a queue that stands is cut
// short.
#include "start_forecast.h"

#include <cmath>

namespace egretswitch::internal {
namespace {

// How long a start counts: some tens of starts of a busy entry, and less than
// the two seconds after which a burst is felt as an outage.
constexpr absl::Duration kRateMemory = absl::Milliseconds(300);
// A queue that stands for less is no overload yet: twice the time in which a
// word of free room reaches every entry.
constexpr absl::Duration kRateKnownAfter = absl::Milliseconds(40);

// A run is counted as this many times what is expected, which is still off by
// some 30% where a third of the workers is slower by a third. With less more
// started jobs end late, with more they are refused for nothing.
constexpr double kRunMargin = 1.45;

// Agents give room to the most urgent task of any entry first, so what is most
// urgent here gets it faster than this entry has got room on the whole.
constexpr double kMostUrgentRate = 2;

// A refused caller comes back after twice the wait that it was refused for,
// when what was ahead of it is gone, and not all of them at once.
constexpr double kComeBackWaits = 2;
constexpr absl::Duration kComeBackSpread = absl::Milliseconds(1000);
constexpr absl::Duration kComeBackMost = absl::Seconds(5);

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
         std::exp(-absl::FDivDuration(now - placed.at, kRateMemory));
}

double StartForecast::RateOf(const std::string& service, MonoTime now) const {
  const auto it = m_placed.find(service);
  if (it == m_placed.end() || now - it->second.since < kRateKnownAfter) {
    return 0;
  }
  const double remembered =
      1 - std::exp(-absl::FDivDuration(now - it->second.since, kRateMemory));
  return DecayedTo(it->second, now) /
         (remembered * absl::ToDoubleSeconds(kRateMemory));
}

absl::Duration StartForecast::Pass::PredictedWait(const OpenJob& job) {
  Ahead& ahead = m_ahead.try_emplace(job.queue.service, Ahead{0, job.Urgency()})
                     .first->second;
  ahead.millicores += WaitingMillicores(job);
  double rate = m_forecast.RateOf(job.queue.service, m_now);
  if (job.Urgency() == ahead.most_urgent) {
    rate *= kMostUrgentRate;
  }
  return rate == 0 ? absl::ZeroDuration()
                   : absl::Seconds(ahead.millicores / rate);
}

void StartForecast::Pass::Drop(const OpenJob& job) {
  m_ahead.at(job.queue.service).millicores -= WaitingMillicores(job);
}

bool WouldBeLate(const OpenJob& job, absl::Duration wait, MonoTime now) {
  const absl::Duration waited = now - job.arrived_at;
  return waited + wait + kRunMargin * job.LongestEstimate() > job.Objective();
}

absl::Duration SuggestedRetryDelay(absl::Duration wait, double share) {
  return std::min(kComeBackMost,
                  kComeBackWaits * wait + share * kComeBackSpread);
}

}  // namespace egretswitch::internal
