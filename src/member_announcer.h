// Writes this process's own record into the store's table of members, and tries
// again until the store has taken it.
#ifndef EGRETSWITCH_SRC_MEMBER_ANNOUNCER_H_
#define EGRETSWITCH_SRC_MEMBER_ANNOUNCER_H_

#include <memory>

#include "event_loop.h"
#include "keyed_store.h"
#include "run_messages.h"

namespace egretswitch::internal {

class MemberAnnouncer {
 public:
  MemberAnnouncer(EventLoop& loop, KeyedStore& store, MemberAddress self);

  void Start();
  bool announced() const { return m_announced; }

 private:
  void Put();

  EventLoop& m_loop;
  KeyedStore& m_store;
  const MemberAddress m_self;
  absl::Duration m_pause;
  bool m_announced = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_MEMBER_ANNOUNCER_H_
