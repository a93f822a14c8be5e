// The callers' commands: submit a job and cancel one.
//
//   submit job.json --entry 127.0.0.1:8001      prints each task's output
//   cancel desk a17 --entry 127.0.0.1:8001
#ifndef EGRETSWITCH_SRC_CTL_JOBS_H_
#define EGRETSWITCH_SRC_CTL_JOBS_H_

#include <span>
#include <string>

#include "ctl_arguments.h"
#include "ctl_world.h"

namespace egretswitch::internal {

// Operand: the file. A submitted_ms or deadline_ms that the file lacks is
// filled in. With --wait, a refusal that says when to come back and a lost
// connection are followed by another submission of the same job.
int RunSubmit(std::span<const std::string> operands,
              const CtlArguments& arguments,
              CtlWorld& world);

// Operands: the team and the id.
int RunCancel(std::span<const std::string> operands,
              const CtlArguments& arguments,
              CtlWorld& world);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CTL_JOBS_H_
