#include "owner_shares.h"

#include "limit_shares.h"

namespace egretswitch::internal {
namespace {

uint32_t LimitShare(uint32_t limit, const std::vector<bool>& owned) {
  return limit == 0 ? QueueRow::kNoLimit : ShareOf(limit, owned);
}

}  // namespace

OwnerShares::OwnerShares(Kernel& kernel)
    : m_entry(kernel.Find<EntryRefs>("entry")),
      m_queue(kernel.Find<DispatchQueue>("queue")) {
  kernel.Register("shares", this);
}

void OwnerShares::UpdateRow(uint32_t number, const std::vector<bool>& owned) {
  QueueRow& row = m_queue.row(number);
  const TableRow* rule = m_entry.control.FindRow(row.kind);
  if (!rule) {
    return;  // a deleted row: what is queued keeps its last rule
  }
  row.weight = rule->weight;
  row.running_limit = LimitShare(rule->max_running, owned);
  row.queued_limit = LimitShare(rule->max_queued, owned);
  m_team_rates[number] =
      rule->team_rate == 0 ? -1 : RateShareOf(rule->team_rate, owned);
  m_retry_percents[number] = rule->retry_percent;
}

void OwnerShares::Update() {
  const uint64_t version = m_entry.control.table_version();
  const uint32_t rows = m_queue.row_count();
  if (!m_outdated && version == m_table_version &&
      rows == m_team_rates.size()) {
    return;
  }
  m_outdated = false;
  m_table_version = version;
  m_team_rates.resize(rows, -1);
  m_retry_percents.resize(rows, 0);
  std::vector<bool> owned(m_entry.shard_count);
  for (ShardId shard = 0; shard < m_entry.shard_count; ++shard) {
    owned[shard] = m_entry.authority.Serves(shard);
  }
  m_owned_part = RateShareOf(1, owned);
  for (uint32_t row = 0; row < rows; ++row) {
    UpdateRow(row, owned);
  }
}

}  // namespace egretswitch::internal
