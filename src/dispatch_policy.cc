#include "dispatch_policy.h"

namespace egretswitch::internal {
namespace {

struct Switch {
  std::string_view name;
  bool DispatchPolicy::*member;
};

constexpr Switch kSwitches[] = {
    {"repeats_last", &DispatchPolicy::repeats_last},
    {"urgent_entries_first", &DispatchPolicy::urgent_entries_first},
    {"worker_reach", &DispatchPolicy::worker_reach},
    {"move_stragglers", &DispatchPolicy::move_stragglers},
    {"move_early", &DispatchPolicy::move_early},
    {"eject_workers", &DispatchPolicy::eject_workers},
    {"correct_estimates", &DispatchPolicy::correct_estimates},
    {"learn_noise", &DispatchPolicy::learn_noise},
    {"learn_slowness", &DispatchPolicy::learn_slowness},
    {"await_first_workers", &DispatchPolicy::await_first_workers},
};

bool Set(DispatchPolicy& policy, std::string_view name, bool value) {
  for (const Switch& candidate : kSwitches) {
    if (candidate.name == name) {
      policy.*candidate.member = value;
      return true;
    }
  }
  return false;
}

}  // namespace

bool SwitchOff(DispatchPolicy& policy, std::string_view name) {
  if (name == "predicted_end") {
    policy.refusal = RefuseAfterShare{};
    return true;
  }
  return Set(policy, name, false);
}

bool SwitchOn(DispatchPolicy& policy, std::string_view name) {
  return Set(policy, name, true);
}

}  // namespace egretswitch::internal
