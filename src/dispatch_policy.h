// Which decisions of an entry are in force. The daemon uses all of them; a
// model of load can switch each off, so that its worth is a run and not an
// edit.
//
//   DispatchPolicy policy;
//   SwitchOff(policy, "predicted_end")   // jobs wait a fixed share instead
#ifndef EGRETSWITCH_SRC_DISPATCH_POLICY_H_
#define EGRETSWITCH_SRC_DISPATCH_POLICY_H_

#include <string_view>
#include <variant>

namespace egretswitch::internal {

// A job is refused once its predicted end misses its latency objective.
struct RefuseByPredictedEnd {};

// A job is refused when nothing of it has begun for this share of its latency
// objective, whatever waits.
struct RefuseAfterShare {
  double share = 0.24;
};

using RefusalRule = std::variant<RefuseByPredictedEnd, RefuseAfterShare>;

struct DispatchPolicy {
  RefusalRule refusal = RefuseByPredictedEnd{};
  // Jobs whose caller had no answer to an earlier attempt go last.
  bool repeats_last = true;
  // Agents give room to the entry with the most urgent task first.
  bool urgent_entries_first = true;
  // An entry deals with as many workers as its own work needs, not with all.
  bool worker_reach = true;
  // Runs that take far longer than their like are moved to another worker.
  bool move_stragglers = true;
  // Workers that fail or hang several jobs in a row get none for a while.
  bool eject_workers = true;
  // Run times are expected by what was seen of the queue, not by the caller's
  // estimate alone.
  bool correct_estimates = true;
  // Faster workers are preferred, by the run times seen.
  bool learn_slowness = true;
};

// False when there is no such mechanism.
bool SwitchOff(DispatchPolicy& policy, std::string_view name);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_DISPATCH_POLICY_H_
