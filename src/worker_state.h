// Tracks which incarnation of the worker beside an agent is the present one,
// and until when its lease lasts.
//
//   worker.Announce({.incarnation = "i-7", ...});  -> kPoll: i-7 is a candidate
//   worker.RecordAnswer("i-7", answer, now);       -> i-7 is the present worker
//
// An announcement may be late: its sender may have crashed, and another
// incarnation may run at the same address. So an announcement that names
// another incarnation only makes it the candidate, which is adopted once it has
// answered a call.
//
// A worker that restarts under its id answers calls addressed to its former
// incarnation. The first answer that reveals this supersedes the present
// incarnation: nothing new is started, and the new incarnation is polled and
// then adopted.
//
// A time on the worker's clock means a lease of the longest duration to the
// next incarnation, whose clock starts anew. So none is sent while
// MayHaveRestarted().
#ifndef EGRETSWITCH_SRC_WORKER_STATE_H_
#define EGRETSWITCH_SRC_WORKER_STATE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "clock.h"
#include "remote_clock.h"
#include "worker_calls.h"

namespace egretswitch::internal {

// The effect of an announcement.
enum class AnnouncementOutcome : uint8_t {
  kUnchanged = 0,
  kPoll,  // it names an incarnation that must be polled before it is adopted
  kCapacityChanged,
  kContradicts,  // ignored: it changes a property that is fixed for the
                 // incarnation
};

// A worker's clock may be slow by this share, which makes a lease last longer.
inline constexpr double kWorkerDrift = 0.02;

class WorkerState {
 public:
  // `max_lease` is the longest lease that a worker grants; 0 if unknown.
  explicit WorkerState(absl::Duration max_lease = absl::ZeroDuration())
      : m_max_lease(max_lease) {}

  AnnouncementOutcome Announce(const WorkerAnnouncement& announcement);

  // Records that `incarnation` answered a call. Returns true if this makes it
  // the present worker in place of another one, or of none.
  bool RecordAnswer(const std::string& incarnation,
                    const CallAnswer& answer,
                    MonoTime now);

  // Whether an answer to a call to `incarnation` with this worker clock is
  // certainly not from the next incarnation, which answers to the same id. The
  // call was made at `requested_at` or later.
  bool IsFromPresentIncarnation(
      const std::string& incarnation,
      int64_t clock_ms,
      MonoTime requested_at = absl::ZeroDuration()) const;

  // The worker may have ended before `now`: a call to it lost its connection,
  // or another incarnation is heard of.
  void RecordDoubt(MonoTime now) { m_doubted_at = now; }
  // The present incarnation answered a poll that was made at `requested_at`.
  void RecordConfirmed(MonoTime requested_at, int64_t clock_ms, MonoTime now);
  // Whether the next incarnation may be the one that carries out a call made
  // now. Always false for a worker that has another id after a restart.
  bool MayHaveRestarted(MonoTime now) const {
    return now >= MayHaveRestartedFrom();
  }
  // When it is to be confirmed again by a poll; infinite if never.
  MonoTime MayHaveRestartedFrom() const;

  // A call to the present worker got no connection, or another worker answered
  // in its place. Returns true if the worker was reachable before.
  bool RecordUnreachable();
  // Whether the worker has not answered any call since.
  bool unreachable() const { return m_unreachable; }

  // `answering` answered a call addressed to `called`, an earlier incarnation
  // of the same worker. Returns true if `answering` is to be polled.
  bool RecordNewIncarnation(const std::string& called,
                            const std::string& answering,
                            int64_t clock_ms);
  // Whether a later incarnation of the present worker has answered.
  bool superseded() const { return m_superseded; }

  // The incarnation refused a call because it has seen a higher token. Returns
  // true if it is the candidate and the next call to it has a higher token.
  bool RecordFenced(const std::string& incarnation, const CallAnswer& answer);

  // Whether a withdrawal of the worker with this id applies to the present
  // incarnation. False if it may be a late message of a former one.
  bool MayHaveWithdrawn(const std::string& worker_id) const;

  // The present incarnation says that it ends. It may still run what it runs
  // until it does.
  void RecordWithdrawn();
  // Whether it has said so.
  bool withdrawn() const { return m_withdrawn; }

  // The incarnation has ended, or another one answers in its place.
  void Remove(const std::string& incarnation);

  // Whether there is a present worker: one that has answered a call.
  bool identified() const { return m_present.has_value(); }
  const WorkerAnnouncement& present() const { return *m_present; }
  // The incarnation to be polled; nullopt if there is none.
  const std::optional<WorkerAnnouncement>& candidate() const {
    return m_candidate;
  }

  // Returns a token that no former agent of this worker has used.
  static uint64_t FirstToken(const WorkerAnnouncement& announcement);
  uint64_t fencing_token() const { return m_fencing_token; }
  // A call was fenced: another agent has used a higher token.
  void RaiseToken(MonoTime now);

  // Returns the end, on the worker's clock, of a lease that begins now, and
  // records the request for AllLeasesExpired().
  int64_t ExtendLease(MonoTime now);
  // The latest end that ExtendLease() returned for the present incarnation; 0
  // if none.
  int64_t lease_until_ms() const { return m_lease_until_ms; }
  // How long the lease that this process requested last goes on; zero if it has
  // requested none.
  absl::Duration GrantedLease(MonoTime now) const;
  // Whether every lease that was ever requested has certainly expired.
  bool AllLeasesExpired(MonoTime now) const;
  // How long a lease may last that a call to the former incarnation has
  // obtained from the present one; 0 if there is none or the maximum is
  // unknown.
  absl::Duration LeaseBound(MonoTime now) const;

  bool Unresponsive(MonoTime now) const;
  MonoTime last_answer_at() const { return m_last_answer_at; }

 private:
  AnnouncementOutcome AnnounceOther(const WorkerAnnouncement& announcement);
  void AdoptCandidate(const CallAnswer& answer, MonoTime now);
  absl::Duration LongestLease() const;

  const absl::Duration m_max_lease;
  std::optional<WorkerAnnouncement> m_present;
  std::optional<WorkerAnnouncement> m_candidate;
  // Whether the incarnation's own announcement has been received. Otherwise its
  // properties are copied from its former incarnation.
  bool m_present_announced = false;
  bool m_candidate_announced = false;
  bool m_superseded = false;
  bool m_unreachable = false;
  bool m_withdrawn = false;
  RemoteClock m_clock{kWorkerDrift};
  int64_t m_highest_clock_ms = 0;  // reported by the present incarnation
  uint64_t m_fencing_token = 0;
  MonoTime m_last_answer_at = absl::ZeroDuration();
  MonoTime m_lease_requested_at = absl::ZeroDuration();
  int64_t m_lease_until_ms = 0;
  MonoTime m_lease_bound_until = absl::ZeroDuration();
  // The present incarnation has certainly answered at `m_confirmed_at`, and to
  // a call made at `m_confirmed_request`.
  MonoTime m_confirmed_at = absl::ZeroDuration();
  MonoTime m_confirmed_request = absl::ZeroDuration();
  MonoTime m_doubted_at = -absl::InfiniteDuration();
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_STATE_H_
