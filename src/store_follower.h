// Follows one table of the store while the process runs: reads the whole table,
// then new records, and reads the whole table again if the history was
// truncated.
//
//   StoreFollower follower(TimersOf(loop), store, StoreTable::kConfig,
//                          kDefaultConfigApplyLimit,
//                          [](const KeyedPage& page) { ... });
//   follower.Start();
#ifndef EGRETSWITCH_SRC_STORE_FOLLOWER_H_
#define EGRETSWITCH_SRC_STORE_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "clock.h"
#include "keyed_store.h"
#include "retry_pause.h"
#include "timers.h"

namespace egretswitch::internal {

class StoreFollower {
 public:
  using PageCallback = std::function<void(const KeyedPage& page)>;

  // `config_apply_limit` is the longest time until a configuration that is in
  // the store has been read, also when the connection of a read stops
  // responding without a reset; members may take a few times as long.
  // `on_failure` is called after each failed read.
  StoreFollower(Timers timers,
                KeyedStore& store,
                StoreTable table,
                absl::Duration config_apply_limit,
                PageCallback on_page,
                std::function<void()> on_failure);
  ~StoreFollower();

  void Start();

  // Reads new records at once, in parallel with the read that waits for them.
  // Calls `done`, possibly before returning, with whether all records written
  // up to now, or shortly before, have been passed to `on_page`.
  void Confirm(std::function<void(bool confirmed)> done);

  // Since when reads have failed; infinite if the last one succeeded.
  MonoTime failing_since() const { return m_failing_since; }
  // All records written up to this time have been read; minus infinity if
  // nothing was read yet.
  MonoTime confirmed_at() const { return m_confirmed_at; }

 private:
  void ReadAll();
  void Follow();
  void FollowSoon();
  void OnPage(bool whole, const absl::StatusOr<KeyedPage>& page);
  void RunAfter(absl::Duration delay, std::function<void()> callback);
  void OnHistoryTruncated();
  MonoTime ConfirmedThrough(bool whole, const KeyedPage& page) const;
  void ApplyPage(const KeyedPage& page, MonoTime confirmed_at);
  void ReadNow(MonoTime started_at);
  void FinishConfirmation(const absl::Status& status);

  const Timers m_timers;
  KeyedStore& m_store;
  const StoreTable m_table;
  const absl::Duration m_max_wait;
  const PageCallback m_on_page;
  const std::function<void()> m_on_failure;
  uint64_t m_next_offset = 0;
  RetryPause m_pause;                // after a failed read
  bool m_history_truncated = false;  // since the last read of new records
  absl::Duration m_members_pause;    // after a read of the members
  MonoTime m_read_started_at = absl::ZeroDuration();  // the pending read
  absl::Duration m_wait;                              // of the pending read
  MonoTime m_confirmed_at = -absl::InfiniteDuration();
  std::vector<std::function<void(bool)>> m_confirmation_waiters;
  MonoTime m_failing_since = absl::InfiniteDuration();
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_STORE_FOLLOWER_H_
