// This owner's shares of the operator table's limits, kept in step with the
// table and with the shards it serves.
//
//   shares.Update();   // cheap when neither has changed
//   queue.row(n).running_limit   // 3 of max_running 8, for a third of the
//   shards
#ifndef EGRETSWITCH_SRC_OWNER_SHARES_H_
#define EGRETSWITCH_SRC_OWNER_SHARES_H_

#include <cstdint>
#include <vector>

#include "dispatch_queue.h"
#include "entry_refs.h"
#include "kernel.h"

namespace egretswitch::internal {

class OwnerShares {
 public:
  explicit OwnerShares(Kernel& kernel);

  // The served shards have changed.
  void OnShardsChanged() { m_outdated = true; }

  // Brings weights and limits of the queue's rows up to date.
  void Update();

  // Part of all shards that this entry serves.
  double owned_part() const { return m_owned_part; }

  // Jobs per second each team may submit in the row here; negative: no limit.
  double TeamRate(uint32_t row) const { return m_team_rates[row]; }

  // Repeats earned by 100 results of the row.
  uint32_t RetryPercent(uint32_t row) const { return m_retry_percents[row]; }

 private:
  void UpdateRow(uint32_t row, const std::vector<bool>& owned);

  const EntryRefs& m_entry;
  DispatchQueue& m_queue;
  bool m_outdated = true;
  uint64_t m_table_version = 0;
  double m_owned_part = 0;
  std::vector<double> m_team_rates;        // by row
  std::vector<uint32_t> m_retry_percents;  // by row
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_OWNER_SHARES_H_
