// The history of the operator table, read from the log service itself: every
// edit that the log still keeps, with its verdict.
//
//   table history --log 127.0.0.1:9000
//   offset 8  check version 3  accepted  by ana: weight 8 -> 9
//   offset 9  check version 3  superseded  by ben
#ifndef EGRETSWITCH_SRC_CTL_HISTORY_H_
#define EGRETSWITCH_SRC_CTL_HISTORY_H_

#include <span>
#include <string>

#include "ctl_arguments.h"
#include "ctl_world.h"

namespace egretswitch::internal {

int RunTableHistory(std::span<const std::string> operands,
                    const CtlArguments& arguments,
                    CtlWorld& world);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CTL_HISTORY_H_
