// Tells the linked entries which attempts at jobs are open here, and knows
// attempt_there, so that a job that arrives again starts only once its former
// attempt is over. A caller may leave without its entry noticing: only the
// entry that it reaches next knows. Performs no I/O.
//
//   RecordOpened("5c0e", 12, now)
//   TakeDue(now + kAnnounceAfter)  -> SendRunMessage{entry-2, OpenAttempts}
//
//   // At entry-2, where the job arrives again:
//   RequestEnd("5c0e", now)        -> SendRunMessage{entry-1, EndAttempts}
//   MustAwait("5c0e", now, ...)    -> true, until entry-1 reports that it is
//                                     over, or is certainly over itself
//
// A first attempt is not held, since no other entry has announced it, but for
// the round trip in which a new link brings the other entry's list.
//
// Entries that are not linked know nothing of each other's attempts.
#ifndef EGRETSWITCH_SRC_ATTEMPT_EXCHANGE_H_
#define EGRETSWITCH_SRC_ATTEMPT_EXCHANGE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/functional/function_ref.h"
#include "absl/types/span.h"
#include "clock.h"
#include "run_events.h"
#include "run_limits.h"

namespace egretswitch::internal {

// Announcements to one peer are sent together, this far apart.
inline constexpr absl::Duration kAnnouncementPeriod = absl::Milliseconds(50);

// An attempt is announced once it is this old. Its caller does not come again
// before kResendAfter; this leaves kMaxEntryPause, for which an entry may be
// paused without ending its attempts, kAnnouncementPeriod, and 150 ms for
// timers and the link.
inline constexpr absl::Duration kAnnounceAfter = absl::Milliseconds(600);

// An entry with announced attempts sends a message at least this often. With
// the period of its timer that is below kRenewPeriod.
inline constexpr absl::Duration kAttemptHeartbeatPeriod =
    absl::Milliseconds(120);

// How long the list of a newly linked entry is awaited. It is sent at once.
inline constexpr absl::Duration kListTimeout = absl::Milliseconds(250);

// The attempts of an entry that has fallen silent are over this long after its
// last message: kRunCertainlyOver, after kRenewPeriod in which it may have
// renewed them.
inline constexpr absl::Duration kSilentAttemptsOver = absl::Milliseconds(1360);

// A run of an attempt, at one process of an agent.
struct RunAtAgent {
  std::string agent;
  uint64_t incarnation = 0;  // of the agent
  uint32_t step = 0;
  uint32_t index = 0;
  RunNumber run = 0;
  auto operator<=>(const RunAtAgent&) const = default;
};

class AttemptExchange {
 public:
  // When a run of an attempt that ended at `ended_at` is certainly over,
  // without a report of its end.
  using RunOverAt =
      absl::FunctionRef<MonoTime(const RunAtAgent& run, MonoTime ended_at)>;

  // ---- Links to other entries

  // `understands` says whether that entry takes part in the exchange.
  void RecordLinked(const std::string& entry,
                    uint64_t incarnation,
                    bool understands,
                    MonoTime now);
  void RecordUnlinked(const std::string& entry,
                      uint64_t incarnation,
                      MonoTime now);

  // ---- Attempts of this entry, whose numbers rise

  // `opened_at` is when its caller began to wait, as far as known.
  void RecordOpened(std::string_view job, uint64_t attempt, MonoTime opened_at);
  // Another call for the job arrived: its caller has come again.
  void RecordJoined(uint64_t attempt, MonoTime opened_at);
  // The attempt ended now. These runs of it may go on.
  void RecordEnded(uint64_t attempt, std::set<RunAtAgent> runs, MonoTime now);
  // The end of a run was reported.
  void RecordRunOver(uint64_t attempt, const RunAtAgent& run);
  // Looks for runs of ended attempts that are over without a report.
  void RecordRunsOver(RunOverAt over_at, MonoTime now);

  // ---- Messages of other entries

  // An attempt at another entry.
  struct KnownAttempt {
    std::string job;
    MonoTime opened_at = absl::ZeroDuration();
  };

  // Returns the attempts that the message lists, also those known before.
  std::vector<KnownAttempt> HandleOpen(const std::string& entry,
                                       uint64_t incarnation,
                                       const OpenAttempts& message,
                                       MonoTime now);
  // Returns the named attempts that are open here; the caller is to end them.
  std::vector<uint64_t> HandleEnd(const std::string& entry,
                                  uint64_t incarnation,
                                  const EndAttempts& message);

  // ---- Attempts of other entries

  // Whether an attempt at the job that another entry opened before `opened_at`
  // may still go on. `lease_bound_until` is until when the lease of any worker
  // may last.
  bool MustAwait(std::string_view job,
                 MonoTime opened_at,
                 MonoTime lease_bound_until,
                 MonoTime now) const;
  // Whether a newly linked entry has yet to list its attempts.
  bool AwaitsList(MonoTime now) const;
  // Requests that those attempts end. Returns their entries' names.
  std::vector<std::string> RequestEnd(std::string_view job, MonoTime opened_at);

  // Makes all that is to be sent due now.
  void SendAtOnce() { m_urgent = true; }
  // Returns the messages that are due, and records them as sent.
  std::vector<SendRunMessage> TakeDue(MonoTime now);

  // Whether runs of an ended attempt of this entry at the job may go on.
  bool HasEndedAttempt(std::string_view job) const;

  // Attempts of this entry that the others know of.
  size_t announced() const { return m_announced; }

 private:
  using Entry = std::pair<std::string, uint64_t>;  // name and incarnation
  struct OwnAttempt {
    std::string job;
    MonoTime opened_at = absl::ZeroDuration();
    MonoTime announce_at = absl::ZeroDuration();
    MonoTime ended_at = absl::InfiniteDuration();  // infinite while open
    std::set<RunAtAgent> runs = {};  // that may go on, once it has ended
    bool announced = false;
    bool end_requested = false;
  };
  struct PeerAttempt {
    std::string job;
    MonoTime opened_at = absl::ZeroDuration();
  };
  struct Peer {
    bool linked = false;
    bool understands = false;
    bool listed = false;  // has listed its attempts on the present link
    MonoTime linked_at = absl::ZeroDuration();
    MonoTime unlinked_at = absl::ZeroDuration();
    MonoTime heard_at = absl::ZeroDuration();
    std::map<uint64_t, PeerAttempt> attempts = {};
    // To be sent.
    bool send_all = false;
    std::vector<OpenAttempt> opened = {};
    std::vector<uint64_t> over = {};
    std::vector<uint64_t> to_end = {};
  };

  void RecordOver(std::map<uint64_t, OwnAttempt>::iterator own);
  void AnnounceOld(MonoTime now);
  void Announce(uint64_t attempt, const OwnAttempt& own, MonoTime now);
  void SendTo(const Entry& entry,
              Peer& peer,
              bool heartbeat,
              MonoTime now,
              std::vector<SendRunMessage>& messages);
  std::vector<OpenAttempt> AllAnnounced(MonoTime now) const;
  static MonoTime OverAt(const Peer& peer);
  void Learn(const Entry& entry,
             Peer& peer,
             uint64_t attempt,
             PeerAttempt attempt_there);
  void Forget(const Entry& entry, Peer& peer, uint64_t attempt);
  void ForgetAll(const Entry& entry, Peer& peer);
  void DropLostPeers(MonoTime now);

  std::map<uint64_t, OwnAttempt> m_own;  // by attempt
  std::set<std::pair<MonoTime, uint64_t>> m_to_announce;
  size_t m_announced = 0;
  std::set<uint64_t> m_ended;  // of m_own
  std::map<Entry, Peer> m_peers;
  // The attempts of all peers, by job.
  std::map<std::string, std::set<std::pair<Entry, uint64_t>>, std::less<>>
      m_elsewhere;
  bool m_urgent = false;  // something is to be sent at once
  MonoTime m_next_send = absl::ZeroDuration();
  MonoTime m_next_heartbeat = absl::ZeroDuration();
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_ATTEMPT_EXCHANGE_H_
