// Schedules an agent's polls of its worker: which polls are in flight, when the
// next one is due, and which ends of runs have been received.
//
//   poller.TakeDue(worker, needs, now)  -> [PollCall{wait 200 ms}]
//   poller.RecordAnswer(call, CallVerdict::kDone, now)
//
// A long poll waits at the worker for the next end of a run, so that the agent
// receives it within a network delay. A short poll, which does not wait, is
// sent beside it when the long one is overdue or the list of runs is needed at
// once. While calls get lost, two long polls are in flight, so that a single
// lost answer does not hide the ends.
#ifndef EGRETSWITCH_SRC_WORKER_POLLER_H_
#define EGRETSWITCH_SRC_WORKER_POLLER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "clock.h"
#include "worker_calls.h"
#include "worker_state.h"

namespace egretswitch::internal {

// What the agent needs from its worker.
struct PollNeeds {
  bool runs = false;  // the ends of runs
  bool list = false;  // the list of runs, which alone can resolve some of them
  bool lease = true;  // false while the lease must not be extended
};

class WorkerPoller {
 public:
  std::vector<PollCall> TakeDue(WorkerState& worker,
                                const PollNeeds& needs,
                                MonoTime now);
  // The first poll of a worker that announced itself or was named by a peer.
  PollCall TakeCandidatePoll(const WorkerState& worker);
  void RecordAnswer(const PollCall& call, CallVerdict verdict, MonoTime now);
  // Records that a call of any kind got no answer in time.
  void RecordLostCall(MonoTime now);

  // Infinite if no poll is due before another one is answered.
  MonoTime NextDue(const WorkerState& worker, const PollNeeds& needs) const;

  // Whether no poll is in flight, so that the worker's end would not show.
  bool Idle() const { return m_long_polls + m_short_polls == 0; }

  // For a new worker: its ends are numbered anew, and a poll is due at once.
  void Reset(MonoTime now);

  // Returns the ends that no earlier answer has reported.
  std::vector<EndedRun> TakeNewEnds(const PollAnswer& answer);

 private:
  PollCall Make(const WorkerState& worker,
                const std::string& incarnation,
                absl::Duration wait);
  uint32_t& InFlight(absl::Duration wait);
  uint32_t LongPollsWanted(MonoTime now) const;
  // When the next short poll is due to confirm that the worker has not
  // restarted; infinite if none.
  MonoTime NextConfirmation(const WorkerState& worker) const;
  // When the next short poll is due because calls get lost; infinite if none.
  MonoTime NextLossPoll(const PollNeeds& needs) const;

  uint64_t m_acknowledged = 0;  // sequence of the last end received
  uint32_t m_long_polls = 0;    // in flight
  uint32_t m_short_polls = 0;   // in flight
  MonoTime m_loss_period_until = absl::ZeroDuration();
  MonoTime m_next_poll = absl::ZeroDuration();
  MonoTime m_next_loss_poll = absl::ZeroDuration();
  MonoTime m_short_poll_at = absl::ZeroDuration();  // of the latest one sent
  // Whether a poll was sent without a lease, and none with a lease since.
  bool m_lease_withheld = false;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_POLLER_H_
