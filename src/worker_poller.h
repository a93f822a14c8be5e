// When an agent looks at its worker: which looks are under way, when the next
// one is due, and which ends of runs have been seen.
//
//   looks.TakeDue(worker, list_wanted, now)  -> [PollCall{wait 200 ms}]
//   looks.Answered(call, CallVerdict::kDone, now)
//
// A long look waits at the worker for an end, so that an end is known within a
// network delay of it. A quick one goes beside it when the long one is overdue
// or the list of what runs is wanted at once. While calls get lost two long
// ones are under way, so that one lost answer does not hide the ends.
#ifndef EGRETSWITCH_SRC_WORKER_POLLER_H_
#define EGRETSWITCH_SRC_WORKER_POLLER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "clock.h"
#include "worker_state.h"
#include "worker_calls.h"

namespace egretswitch::internal {

// What the agent has to learn from its worker.
struct PollNeeds {
  bool runs = false;  // there are some whose ends are to be known
  bool list = false;  // and some of which only the list of what runs can tell
};

class WorkerPoller {
 public:
  std::vector<PollCall> TakeDue(WorkerState& worker,
                                const PollNeeds& needs,
                                MonoTime now);
  // At a worker that has announced itself, or that a peer has named.
  PollCall TakeFirst(const WorkerState& worker);
  void Answered(const PollCall& call, CallVerdict verdict, MonoTime now);
  // A call of any kind got no answer in time.
  void NoteLostCall(MonoTime now);

  // Infinite: none is due before one is answered.
  MonoTime NextDue(const WorkerState& worker, const PollNeeds& needs) const;

  // Another worker: its ends are numbered anew, and a look is due at once.
  void StartOver(MonoTime now);

  // The ends that no look before has told of.
  std::vector<EndedRun> TakeNewEnds(const PollAnswer& answer);

 private:
  PollCall Make(const WorkerState& worker,
                const std::string& incarnation,
                absl::Duration wait);
  uint32_t& UnderWay(absl::Duration wait);
  uint32_t LongLooksWanted(MonoTime now) const;
  // When the next quick look is due because calls get lost; infinite: none is.
  MonoTime NextOfSpell(const PollNeeds& needs) const;

  uint64_t m_acknowledged = 0;  // sequence of the last end that was seen
  uint32_t m_long_looks = 0;    // under way
  uint32_t m_quick_looks = 0;
  MonoTime m_calls_lost_until = absl::ZeroDuration();
  MonoTime m_next_look = absl::ZeroDuration();
  MonoTime m_next_of_spell = absl::ZeroDuration();
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_POLLER_H_
