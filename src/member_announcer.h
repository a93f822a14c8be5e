// Writes the record of this process into the store's table of members, and
// retries until the store has accepted it.
#ifndef EGRETSWITCH_SRC_MEMBER_ANNOUNCER_H_
#define EGRETSWITCH_SRC_MEMBER_ANNOUNCER_H_

#include <cstdint>
#include <memory>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "keyed_store.h"
#include "retry_pause.h"
#include "run_messages.h"
#include "timers.h"

namespace egretswitch::internal {

class MemberAnnouncer {
 public:
  // `seed` must differ between processes, so that they don't retry at the same
  // time.
  MemberAnnouncer(Timers timers,
                  KeyedStore& store,
                  MemberAddress self,
                  uint64_t seed);

  // Writes the record now and after each Update().
  void Start();
  void Update(const WorkerAnnouncement& worker);

 private:
  void Put();
  void OnPut(const absl::Status& status);

  const Timers m_timers;
  KeyedStore& m_store;
  MemberAddress m_self;
  RetryPause m_pause;
  bool m_put_pending = false;  // or a retry is scheduled
  bool m_changed_since_put = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_MEMBER_ANNOUNCER_H_
