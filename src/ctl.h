// The whole of egretswitchctl but its main(): finds the command and runs it.
//
//   const std::string_view args[] = {"settings", "check", "entry.yaml"};
//   int exit_code = RunCtl(args, world);
#ifndef EGRETSWITCH_SRC_CTL_H_
#define EGRETSWITCH_SRC_CTL_H_

#include <span>
#include <string_view>

#include "ctl_world.h"

namespace egretswitch::internal {

// `args` without the program's name. Returns a CtlExit.
int RunCtl(std::span<const std::string_view> args, CtlWorld& world);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CTL_H_
