// Keeps the memory of cancelled jobs in more processes than the entries that
// heard of the cancels, and gives it to an entry that starts. Performs no I/O.
//
//   an entry that starts
//     CancelMemoryPeerUp{entry-2}  ->  SendRunMessage{entry-2,
//                                                     CancelledJobsRequest}
//     CancelledJobsPart{jobs, last, complete}  ->  MergeCancelledJobs{jobs},
//                                                  CancelMemoryComplete
//   an entry whose caller cancels a job
//     CancelsRecorded{5c0e}  ->  SendRunMessage{agent-3, CancelledJobsPart}
//   an agent that receives such a part for the first time
//     ->  SendRunMessage{entry-1, CancelledJobsRequest}
//
// docs/design/cancelling.md describes the protocol and what was weighed.
#ifndef EGRETSWITCH_SRC_CANCEL_EXCHANGE_H_
#define EGRETSWITCH_SRC_CANCEL_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/types/span.h"
#include "cancelled_jobs.h"
#include "clock.h"
#include "node_events.h"
#include "run_counters.h"
#include "run_events.h"

namespace egretswitch::internal {

// The number of agents that remember cancelled jobs for each entry, its
// keepers. Entries choose different ones, so that the memory survives the loss
// of all entries and of some agents.
inline constexpr size_t kCancelKeepers = 8;

// How long an entry collects cancels that it received from other entries before
// it sends them to its keepers. Cancels of its own callers are sent at once.
inline constexpr absl::Duration kKeeperBatchPeriod = absl::Milliseconds(200);

// How long an entry that has started waits for the memory of its peers before
// it starts jobs, counted from its first link to an agent.
inline constexpr absl::Duration kCancelMemoryTimeout = absl::Milliseconds(300);
// The same while parts keep arriving.
inline constexpr absl::Duration kMaxCancelMemoryTimeout = absl::Seconds(1);
// Between two parts of one answer, on a busy machine.
inline constexpr absl::Duration kCancelPartTimeout = absl::Milliseconds(100);

// A link came up.
struct CancelMemoryPeerUp {
  std::string name;
  uint64_t incarnation = 0;
  ProcessRole role = ProcessRole::kEntry;
  bool understands_cancelled_jobs = false;
};

// Cancels that were recorded at this process now, by a caller or another entry.
// Those that other processes know already are left out.
struct CancelsRecorded {
  std::vector<std::string> jobs;
};

// A caller of this entry is about to receive an acknowledgement of what was
// recorded.
struct CancelsAcknowledged {};

// How many agents this entry dials.
struct AgentsDialled {
  size_t count = 0;
};

using CancelExchangeEvent = std::variant<CancelMemoryPeerUp,
                                         PeerDisconnected,
                                         PeerMessageReceived,
                                         CancelsRecorded,
                                         CancelsAcknowledged,
                                         AgentsDialled,
                                         TimePassed>;

// The jobs are to be merged into the process's memory, and not to start.
struct MergeCancelledJobs {
  std::vector<CancelledJob> jobs;
};

// The entry has what its peers remember, and may start jobs.
struct CancelMemoryComplete {};

using CancelExchangeAction = std::variant<SendRunMessage,
                                          MergeCancelledJobs,
                                          CancelMemoryComplete,
                                          NoteStateChange>;
using CancelExchangeActions = std::vector<CancelExchangeAction>;

class CancelExchange {
 public:
  // `memory` is only read, and must outlive the exchange. `seed` selects the
  // agents that an entry tells, and must differ between entries.
  CancelExchange(ProcessRole role, const CancelledJobs& memory, uint64_t seed);

  CancelExchangeActions Handle(const CancelExchangeEvent& event, MonoTime now);

  // When TimePassed is next due; infinite if only another event can cause an
  // action.
  MonoTime NextWake() const;

  // Whether an entry has received the memory of its peers since its start. An
  // agent's memory is never known to be complete.
  bool complete() const { return m_complete; }

  const RunCounters& counters() const { return m_counters; }

 private:
  // A request of this process and the parts received so far.
  struct Transfer {
    CancelledJobsRequest request;
    MonoTime began_at = absl::ZeroDuration();
    size_t jobs = 0;
    size_t new_jobs = 0;  // unknown here before
    uint32_t oldest_ms = 0;
  };
  struct Peer {
    uint64_t incarnation = 0;
    ProcessRole role = ProcessRole::kEntry;
    bool understands = false;
    MonoTime lost_at = absl::InfiniteDuration();  // infinite while linked
    uint64_t hash = 0;       // the agents with the lowest ones become keepers
    bool is_keeper = false;  // of this entry, on this link
    bool transferring = false;  // `transfer` awaits a part
    bool answered = false;      // a transfer was completed on this link
    bool complete = false;      // the peer's memory was, in its last part
    Transfer transfer = {};
    bool linked() const { return lost_at == absl::InfiniteDuration(); }
  };

  void On(const CancelMemoryPeerUp& event);
  void On(const PeerDisconnected& event);
  void On(const PeerMessageReceived& event);
  void On(const CancelsRecorded& event);
  void On(const CancelsAcknowledged& event);
  void On(const AgentsDialled& event);
  void On(const TimePassed&) {}

  void OnRequest(const std::string& from, const CancelledJobsRequest& request);
  void OnPart(const std::string& from,
              Peer& peer,
              const CancelledJobsPart& part);
  absl::Duration MissedTime(const Peer& former, uint64_t incarnation) const;
  void Request(const std::string& name, Peer& peer);
  void ContinueTransfer(const std::string& from,
                        Peer& peer,
                        const CancelledJobsPart& part);
  void LogTransfer(const std::string& from, const Peer& peer);
  void SelectKeepers();
  void PassOn(absl::Span<const CancelledJob> jobs, std::string_view except);
  void SendToKeepers();
  void CompleteIfDue();
  void Complete(std::string_view by);
  bool AwaitsEntry() const;
  bool AnyEntryComplete() const;
  size_t AgentsAnswered() const;
  MonoTime GiveUpAt() const;
  void DropLost();
  void Send(const std::string& name, RunMessageBody body);

  const bool m_is_entry;
  const CancelledJobs& m_memory;
  const uint64_t m_seed;
  CancelExchangeActions m_actions;
  MonoTime m_now = absl::ZeroDuration();
  MonoTime m_began_at = absl::InfiniteDuration();  // the first event
  std::map<std::string, Peer> m_peers;
  std::vector<CancelledJob> m_unsent;  // to the keepers
  MonoTime m_send_at = absl::InfiniteDuration();
  size_t m_agents_dialled = 0;
  MonoTime m_first_agent_at = absl::InfiniteDuration();
  MonoTime m_last_part_at = -absl::InfiniteDuration();  // one that wasn't last
  bool m_complete = false;
  RunCounters m_counters;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CANCEL_EXCHANGE_H_
