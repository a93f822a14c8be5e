// Switches for the scheduling mechanisms of an entry. The daemon uses the
// defaults; a load simulation can disable each one to measure its effect.
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

// A job is refused when none of its tasks has started within this share of its
// latency objective, regardless of the queue.
struct RefuseAfterShare {
  double share = 0.24;
};

using RefusalRule = std::variant<RefuseByPredictedEnd, RefuseAfterShare>;

struct DispatchPolicy {
  RefusalRule refusal = RefuseByPredictedEnd{};
  // Repeats of attempts that were not answered are dispatched last.
  bool repeats_last = true;
  // Agents reserve free capacity for the entry with the most urgent task.
  bool urgent_entries_first = true;
  // An entry uses a subset of the workers, as large as its own work needs.
  bool worker_reach = true;
  // Runs that take far longer than their siblings are moved to another worker.
  bool move_stragglers = true;
  // Runs are also moved earlier, while a new run would still make the
  // objective.
  bool move_early = false;
  // Workers that fail or hang several jobs in a row get none for some time.
  bool eject_workers = true;
  // Run times are predicted from earlier runs of the queue, not from the
  // caller's estimate alone.
  bool correct_estimates = true;
  // The forecast of a job's end allows for the scatter that the runs of its
  // queue show, not for a fixed one.
  bool learn_noise = true;
  // An entry that has just started holds jobs until its first workers are
  // linked.
  bool await_first_workers = true;
  // Faster workers are preferred, judged by their observed run times.
  bool learn_slowness = true;
};

// Returns false if there is no mechanism of that name.
bool SwitchOff(DispatchPolicy& policy, std::string_view name);
bool SwitchOn(DispatchPolicy& policy, std::string_view name);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_DISPATCH_POLICY_H_
