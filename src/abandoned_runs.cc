// No renewal names an attempt after its end, so its runs are over after
// kRunCertainlyOver also if no report of them ever arrives. That bounds the
// memory to what ends within that time.
#include "abandoned_runs.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "run_limits.h"

namespace egretswitch::internal {

void AbandonedRuns::Add(std::string_view job,
                        uint64_t attempt,
                        uint32_t runs,
                        bool ordered,
                        MonoTime now) {
  m_attempts.push_back({.job = std::string(job),
                        .attempt = attempt,
                        .runs = runs,
                        .orders = ordered ? 1u : 0u,
                        .ended_at = now,
                        .over_at = now + kRunCertainlyOver,
                        .next_order = ordered ? now + kRenewPeriod : now});
}

std::optional<AbandonedRuns::Attempt> AbandonedRuns::RecordEnd(uint64_t attempt,
                                                               RunEnd end) {
  const auto it = std::find_if(
      m_attempts.begin(), m_attempts.end(),
      [attempt](const Attempt& ended) { return ended.attempt == attempt; });
  if (it == m_attempts.end()) {
    return std::nullopt;
  }
  it->done += end == RunEnd::kDone ? 1 : 0;
  if (--it->runs > 0) {
    return std::nullopt;
  }
  Attempt over = std::move(*it);
  m_attempts.erase(it);
  return over;
}

std::vector<AbandonedRuns::Attempt> AbandonedRuns::TakeOver(MonoTime now) {
  const auto open = std::stable_partition(
      m_attempts.begin(), m_attempts.end(),
      [now](const Attempt& ended) { return now < ended.over_at; });
  std::vector<Attempt> over(std::make_move_iterator(open),
                            std::make_move_iterator(m_attempts.end()));
  m_attempts.erase(open, m_attempts.end());
  return over;
}

std::vector<AbandonedRuns::Attempt> AbandonedRuns::TakeDueOrders(MonoTime now) {
  std::vector<Attempt> due;
  for (Attempt& ended : m_attempts) {
    if (now >= ended.next_order) {
      ended.next_order = now + kRenewPeriod;
      ++ended.orders;
      due.push_back(ended);
    }
  }
  return due;
}

void AbandonedRuns::RepeatOrders() {
  for (Attempt& ended : m_attempts) {
    ended.next_order = absl::ZeroDuration();
  }
}

}  // namespace egretswitch::internal
