#include "dispatch_policy.h"

namespace egretswitch::internal {

bool SwitchOff(DispatchPolicy&, std::string_view) {
  return false;
}

}  // namespace egretswitch::internal
