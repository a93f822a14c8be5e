// Finds the entry that holds a cancelled job: cancels it here, then asks the
// linked entries, which pass the request on where the deployment has more
// entries than are linked. Performs no I/O.
//
//   CancelRequested{call 7, 5c0e}  ->  SendRunMessage{entry-2, CancelStepJobs}
//   PeerMessageReceived{entry-2, StepJobsCancelled{cancelled}}
//       ->  AnswerCancel{call 7, kCancelled}
//
// Every entry that is asked remembers the job (cancelled_jobs.h).
#ifndef EGRETSWITCH_SRC_CANCEL_SEARCH_H_
#define EGRETSWITCH_SRC_CANCEL_SEARCH_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/types/span.h"
#include "clock.h"
#include "run_counters.h"
#include "run_events.h"

namespace egretswitch::internal {

// How long an entry awaits replies, for each link that its request may still
// cross. Above the pauses of a busy machine; with kMaxCancelHops a caller waits
// 1 s at most, a third of the time in which a cancel must take effect.
inline constexpr absl::Duration kCancelTimePerHop = absl::Milliseconds(250);

// A thousand entries reach each other over three links, or four if half of them
// are down.
inline constexpr uint32_t kMaxCancelHops = 4;

// Requests and replies to one peer are sent together, this far apart, so that a
// wave of cancels costs a bounded number of messages.
inline constexpr absl::Duration kCancelBatchPeriod = absl::Milliseconds(10);

// How long an entry whose link is lost counts as one that may hold a job. Above
// the time that callers of short jobs wait.
inline constexpr absl::Duration kLostEntryRetention = absl::Seconds(10);

// How long a request is remembered, so that it is passed on once, and sent to
// entries whose links come up meanwhile. Far above the longest search.
inline constexpr absl::Duration kCancelSearchRetention = absl::Seconds(5);

// Bounds memory and work: a request beyond it is carried out here and not
// passed on.
inline constexpr size_t kMaxCancelSearches = 4000;

// A link to another entry came up.
struct CancelPeerConnected {
  std::string name;
  uint64_t incarnation = 0;
  bool understands_cancels = false;
};

// How many entries the deployment has on record, including this one.
struct EntriesCounted {
  size_t count = 0;
};

// A caller cancels a job.
struct CancelRequested {
  CallId call = 0;
  std::string job;
};

using CancelEvent = std::variant<CancelPeerConnected,
                                 PeerDisconnected,
                                 PeerMessageReceived,
                                 EntriesCounted,
                                 CancelRequested,
                                 TimePassed>;

struct AnswerCancel {
  CallId call = 0;
  CancelVerdict verdict = CancelVerdict::kUnconfirmed;
};

using CancelAction =
    std::variant<AnswerCancel, SendRunMessage, NoteStateChange>;
using CancelActions = std::vector<CancelAction>;

class CancelSearch {
 public:
  // Cancels jobs at this entry. Returns for each whether it was open here, now
  // or when it was cancelled before.
  using CancelHere =
      std::function<std::vector<bool>(absl::Span<const std::string> jobs)>;

  // Requests are numbered from `seed`, which must be random.
  CancelSearch(uint64_t seed, CancelHere cancel_here);

  CancelActions Handle(const CancelEvent& event, MonoTime now);

  // When TimePassed is next due; infinite if only another event can cause an
  // action.
  MonoTime NextWake() const;

  const RunCounters& counters() const { return m_counters; }

 private:
  struct Peer {
    uint64_t incarnation = 0;
    bool understands_cancels = false;
    MonoTime lost_at = absl::InfiniteDuration();  // infinite while linked
    std::vector<CancelRequest> requests = {};     // to be sent
    std::vector<CancelReply> replies = {};
    bool linked() const { return lost_at == absl::InfiniteDuration(); }
  };
  struct Search {
    std::string job;
    std::optional<CallId> call = {};  // absent if another entry asked
    std::string asker = {};           // that entry
    uint64_t asker_incarnation = 0;
    uint32_t hops = 0;  // links that the request may still cross
    MonoTime began_at = absl::ZeroDuration();
    std::set<std::string> pending = {};  // entries that have not replied
    bool cancelled = false;
    bool cancelled_here = false;
    bool complete = true;
    bool answered = false;
  };

  void On(const CancelPeerConnected& event);
  void On(const PeerDisconnected& event);
  void On(const PeerMessageReceived& event);
  void On(const EntriesCounted& event);
  void On(const CancelRequested& event);
  void On(const TimePassed&) {}

  void OnRequests(const std::string& from, const CancelStepJobs& asked);
  void OnReplies(const std::string& from, const StepJobsCancelled& replied);
  void OnRepeated(const std::string& from, uint64_t request, Search& search);
  void Begin(uint64_t request, Search search, bool held);
  void AskPeers(uint64_t request, Search& search);
  uint32_t HopsNeeded() const;
  MonoTime DeadlineOf(const Search& search) const;
  void SettleDue();
  void Settle(uint64_t request, Search& search);
  void AnswerCaller(CallId call, const Search& search);
  void Reply(const std::string& peer, const CancelReply& reply);
  void DropOld();
  void SendQueued();

  const CancelHere m_cancel_here;
  CancelActions m_actions;
  MonoTime m_now = absl::ZeroDuration();
  std::map<std::string, Peer> m_peers;    // other entries
  size_t m_entries = 0;                   // on record
  std::map<uint64_t, Search> m_searches;  // by request
  // The requests in the order of their beginning.
  std::deque<std::pair<MonoTime, uint64_t>> m_by_age;
  std::set<std::pair<MonoTime, uint64_t>> m_deadlines;  // of open searches
  uint64_t m_last_request;
  bool m_anything_queued = false;
  MonoTime m_next_send = absl::ZeroDuration();
  RunCounters m_counters;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CANCEL_SEARCH_H_
