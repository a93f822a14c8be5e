// Writes this process's own record into the store's table of members, and tries
// again until the store has taken it.
#ifndef EGRETSWITCH_SRC_MEMBER_ANNOUNCER_H_
#define EGRETSWITCH_SRC_MEMBER_ANNOUNCER_H_

#include <memory>

#include "absl/status/status.h"
#include "event_loop.h"
#include "keyed_store.h"
#include "run_messages.h"

namespace egretswitch::internal {

class MemberAnnouncer {
 public:
  MemberAnnouncer(EventLoop& loop, KeyedStore& store, MemberAddress self);

  // Puts the record now, and whenever Update() changes it.
  void Start();
  void Update(const WorkerAnnouncement& worker);

 private:
  void Put();
  void OnPut(const absl::Status& status);

  EventLoop& m_loop;
  KeyedStore& m_store;
  MemberAddress m_self;
  absl::Duration m_pause;
  bool m_putting = false;  // a put, or the pause before the next, is under way
  bool m_changed = false;  // since the put under way began
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_MEMBER_ANNOUNCER_H_
