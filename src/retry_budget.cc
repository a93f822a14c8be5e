#include "retry_budget.h"

#include <algorithm>

namespace egretswitch::internal {

RetryBudget::Row& RetryBudget::RowOf(std::string_view kind) {
  const auto it = m_rows.find(kind);
  if (it != m_rows.end()) {
    return it->second;
  }
  return m_rows.emplace(std::string(kind), Row{}).first->second;
}

void RetryBudget::OnResults(std::string_view kind,
                            uint32_t count,
                            uint32_t retry_percent) {
  Row& row = RowOf(kind);
  const double earned = count * (retry_percent / 100.0);
  row.tokens = std::min(row.tokens + earned, kMostSaved);
}

bool RetryBudget::TryTake(std::string_view kind, MonoTime now) {
  Row& row = RowOf(kind);
  const double passed = absl::ToDoubleSeconds(now - row.refilled_at);
  row.refilled_at = now;
  if (row.tokens < kReserve) {
    row.tokens = std::min(row.tokens + passed * kReservePerSecond, kReserve);
  }
  if (row.tokens < 1) {
    return false;
  }
  row.tokens -= 1;
  return true;
}

}  // namespace egretswitch::internal
