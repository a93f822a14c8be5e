// Writes this process's own record into the store's table of members, and tries
// again until the store has taken it.
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
  // `seed` differs between processes: it spreads their attempts.
  MemberAnnouncer(Timers timers,
                  KeyedStore& store,
                  MemberAddress self,
                  uint64_t seed);

  // Puts the record now, and whenever Update() changes it.
  void Start();
  void Update(const WorkerAnnouncement& worker);

 private:
  void Put();
  void OnPut(const absl::Status& status);

  const Timers m_timers;
  KeyedStore& m_store;
  MemberAddress m_self;
  RetryPause m_pause;
  bool m_putting = false;  // a put, or the pause before the next, is under way
  bool m_changed = false;  // since the put under way began
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_MEMBER_ANNOUNCER_H_
