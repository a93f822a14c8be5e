// Follows one table of the store for as long as the process lives: reads it
// whole, then what is new, and begins anew when the history was cut off.
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

  // `config_apply_limit` is how long a configuration may take to be known here
  // once the store has it, also when the connection of a read dies unseen;
  // members may take some times as long. `on_failure` is told of each failed
  // read.
  StoreFollower(Timers timers,
                KeyedStore& store,
                StoreTable table,
                absl::Duration config_apply_limit,
                PageCallback on_page,
                std::function<void()> on_failure);
  ~StoreFollower();

  void Start();

  // Learns at once what the store has, beside the read that waits for news.
  // `done` is told, maybe within the call, whether all that was written up to
  // now, or some moments before, has been read and handed on.
  void Confirm(std::function<void(bool confirmed)> done);

  // Since when the store could not be read; infinite: it can.
  MonoTime failing_since() const { return m_failing_since; }
  // All that was written up to this moment has been read; minus infinity:
  // nothing was read yet.
  MonoTime confirmed_at() const { return m_confirmed_at; }

 private:
  void ReadAll();
  void Follow();
  void FollowSoon();
  void OnPage(bool whole, const absl::StatusOr<KeyedPage>& page);
  void Later(absl::Duration delay, std::function<void()> what);
  void OnCutOff();
  MonoTime ProvenThrough(bool whole, const KeyedPage& page) const;
  void Take(const KeyedPage& page, MonoTime confirmed_at);
  void ReadNow(MonoTime asked_at);
  void EndConfirmation(const absl::Status& status);

  const Timers m_timers;
  KeyedStore& m_store;
  const StoreTable m_table;
  const absl::Duration m_longest_wait;
  const PageCallback m_on_page;
  const std::function<void()> m_on_failure;
  uint64_t m_next_offset = 0;
  RetryPause m_pause;                          // after a failed read
  bool m_cut_off = false;                      // since the last read of news
  absl::Duration m_members_pause;              // after one that brought members
  MonoTime m_asked_at = absl::ZeroDuration();  // the read under way
  absl::Duration m_wait;                       // of the read under way
  MonoTime m_confirmed_at = -absl::InfiniteDuration();
  std::vector<std::function<void(bool)>> m_wait_for_confirmation;
  MonoTime m_failing_since = absl::InfiniteDuration();
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_STORE_FOLLOWER_H_
