// Which incarnation of the worker beside an agent is the present one, and how
// far its lease reaches.
//
//   watch.Announce({.incarnation = "i-7", ...}, now);  -> look at i-7
//   watch.Look answered by i-7                         -> i-7 is the worker
//
// An announcement may be late: its sender may have crashed, and another
// incarnation may live at the same address. So one that names another
// incarnation is believed only after that one has answered a call.
//
// A worker that starts again under its id answers calls meant for its former
// life. The first answer that tells so supersedes the present incarnation:
// nothing new is begun, and the new life is looked at and then adopted.
#ifndef EGRETSWITCH_SRC_WORKER_STATE_H_
#define EGRETSWITCH_SRC_WORKER_STATE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "clock.h"
#include "remote_clock.h"
#include "worker_calls.h"

namespace egretswitch::internal {

// What an announcement comes to.
enum class AnnouncementOutcome : uint8_t {
  kNothingNew = 0,
  kLook,  // it names an incarnation to be looked at before it is believed
  kRoomChanged,  // the worker's capacity is another one from now on
  kContradicts,  // what lasts as long as the incarnation is not as it was:
                 // ignored
};

class WorkerState {
 public:
  AnnouncementOutcome Announce(const WorkerAnnouncement& announcement);

  // A call to `incarnation` was answered by it. True when this makes it the
  // present worker in place of another one, or of none.
  bool HeardFrom(const std::string& incarnation,
                 const CallAnswer& answer,
                 MonoTime now);

  // Whether an answer to a call to `incarnation` that tells this clock can't be
  // the next life's, which answers to the same id.
  bool IsOfPresentLife(const std::string& incarnation, int64_t clock_ms) const;

  // A call to the present worker found nobody, or another one in its place.
  // True when that is new.
  bool NoteAway();
  // Whether it has answered nothing since.
  bool away() const { return m_away; }

  // `answering` answered a call that was meant for `called`, an earlier life of
  // the same worker. True when it is to be looked at.
  bool NoteNewLife(const std::string& called,
                   const std::string& answering,
                   int64_t clock_ms);
  // Whether a later life of the present worker has answered.
  bool superseded() const { return m_superseded; }

  // The incarnation turned a call away for a higher token that it has seen.
  // True when it is the candidate, and the next call to it has a higher token.
  bool NoteFenced(const std::string& incarnation, const CallAnswer& answer);

  // A worker of this id says that it ends. False when that may be a late word
  // of a former life.
  bool MayHaveWithdrawn(const std::string& worker_id) const;

  // The incarnation is over, or another one answers in its place.
  void Forget(const std::string& incarnation);

  bool identified() const { return m_present.has_value(); }
  const WorkerAnnouncement& present() const { return *m_present; }
  // To be looked at; null: none.
  const std::optional<WorkerAnnouncement>& candidate() const {
    return m_candidate;
  }

  // A token that no former agent of this worker has used.
  static uint64_t FirstToken(const WorkerAnnouncement& announcement);
  uint64_t fencing_token() const { return m_fencing_token; }
  // A call was fenced: another agent has used a higher token.
  void RaiseToken(MonoTime now);

  // Where a lease that begins now ends, on the worker's clock. Remembered, for
  // CertainlyOver().
  int64_t ExtendLease(MonoTime now);
  // Whether each lease that was ever asked for has run out.
  bool CertainlyOver(MonoTime now) const;

  bool Silent(MonoTime now) const;
  MonoTime last_heard() const { return m_last_heard; }

 private:
  AnnouncementOutcome AnnounceOther(const WorkerAnnouncement& announcement);

  std::optional<WorkerAnnouncement> m_present;
  std::optional<WorkerAnnouncement> m_candidate;
  // Whether its own announcement has come, or what is held of it is taken from
  // its former life.
  bool m_present_described = false;
  bool m_candidate_described = false;
  bool m_superseded = false;
  bool m_away = false;
  RemoteClock m_clock;
  int64_t m_highest_clock_ms = 0;  // that the present incarnation told
  uint64_t m_fencing_token = 0;
  MonoTime m_last_heard = absl::ZeroDuration();
  MonoTime m_lease_asked_at = absl::ZeroDuration();
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_STATE_H_
