// The help texts of egretswitchctl.
#ifndef EGRETSWITCH_SRC_CTL_HELP_H_
#define EGRETSWITCH_SRC_CTL_HELP_H_

#include <string_view>

namespace egretswitch::internal {

// Everything: commands with an example each, options, exit codes.
std::string_view CtlHelp();

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CTL_HELP_H_
