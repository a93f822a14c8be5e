// No renewal names an attempt after its end, so its runs are over after
// kRunCertainlyOver also if no report of them ever arrives. That bounds the
// memory to what ends within that time.
#include "abandoned_runs.h"

#include <algorithm>

#include "run_limits.h"

namespace egretswitch::internal {

void AbandonedRuns::Add(std::string_view job,
                        uint64_t attempt,
                        uint32_t runs,
                        bool ordered,
                        MonoTime now) {
  m_attempts.push_back({std::string(job), attempt, runs,
                        now + kRunCertainlyOver,
                        ordered ? now + kRenewPeriod : now});
}

void AbandonedRuns::RecordEnd(uint64_t attempt) {
  const auto it = std::find_if(
      m_attempts.begin(), m_attempts.end(),
      [attempt](const Attempt& ended) { return ended.attempt == attempt; });
  if (it != m_attempts.end() && --it->runs == 0) {
    m_attempts.erase(it);
  }
}

void AbandonedRuns::DropOver(MonoTime now) {
  std::erase_if(m_attempts,
                [now](const Attempt& ended) { return now >= ended.over_at; });
}

std::vector<std::string> AbandonedRuns::TakeDueOrders(MonoTime now) {
  std::vector<std::string> jobs;
  for (Attempt& ended : m_attempts) {
    if (now >= ended.next_order) {
      ended.next_order = now + kRenewPeriod;
      jobs.push_back(ended.job);
    }
  }
  return jobs;
}

void AbandonedRuns::RepeatOrders() {
  for (Attempt& ended : m_attempts) {
    ended.next_order = absl::ZeroDuration();
  }
}

}  // namespace egretswitch::internal
