// One log line when the log is lost or answers again, and when this entry's
// lease lapses or is held again.
//
//   log fails for 1.5 s    -> NoteStateChange{"log lost"}, once
//   lease ends 4 s later   -> NoteStateChange{"owner lease lapsed"}, once
#ifndef EGRETSWITCH_SRC_ENTRY_STATE_NOTES_H_
#define EGRETSWITCH_SRC_ENTRY_STATE_NOTES_H_

#include "log_follower.h"
#include "node_context.h"
#include "owner_lease.h"

namespace egretswitch::internal {

class EntryStateNotes {
 public:
  EntryStateNotes(const LogFollower* log,
                  const OwnerLease* lease,
                  NodeContext* context);

  // Called after every event; the first one finds neither.
  void Update();

 private:
  void Note(bool now, bool* before, const char* gained, const char* lost);

  const LogFollower& m_log;
  const OwnerLease& m_lease;
  NodeContext& m_context;
  bool m_log_answers = false;
  bool m_lease_held = false;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_ENTRY_STATE_NOTES_H_
