#include "entry_state_notes.h"

namespace egretswitch::internal {

EntryStateNotes::EntryStateNotes(const LogFollower* log,
                                 const OwnerLease* lease,
                                 NodeContext* context)
    : m_log(*log), m_lease(*lease), m_context(*context) {}

void EntryStateNotes::Update() {
  Note(m_log.Answers(), &m_log_answers, "log answers", "log lost");
  Note(m_lease.IsHeld(), &m_lease_held, "owner lease held",
       "owner lease lapsed");
}

void EntryStateNotes::Note(bool now,
                           bool* before,
                           const char* gained,
                           const char* lost) {
  if (now != *before) {
    *before = now;
    m_context.Do(NoteStateChange{now ? gained : lost, {}});
  }
}

}  // namespace egretswitch::internal
