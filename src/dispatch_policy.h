// Which of the optional decisions of an entry are in force, so that each can be
// measured by a run without it.
//
//   DispatchPolicy policy;
//   SwitchOff(policy, "stale_last");
#ifndef EGRETSWITCH_SRC_DISPATCH_POLICY_H_
#define EGRETSWITCH_SRC_DISPATCH_POLICY_H_

#include <string_view>

namespace egretswitch::internal {

struct DispatchPolicy {};

// False when there is no such mechanism.
bool SwitchOff(DispatchPolicy& policy, std::string_view name);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_DISPATCH_POLICY_H_
