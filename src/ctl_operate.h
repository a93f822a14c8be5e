// The operators' commands on entries themselves: what they know, what they
// count, and how they end.
//
//   status --entry 127.0.0.1:7201 --entry 127.0.0.1:7202 --token-file token
//   drain --entry 127.0.0.1:7201 --token-file token
//   entry ended entry-b --entry 127.0.0.1:7201 --token-file token
#ifndef EGRETSWITCH_SRC_CTL_OPERATE_H_
#define EGRETSWITCH_SRC_CTL_OPERATE_H_

#include <span>
#include <string>

#include "ctl_arguments.h"
#include "ctl_world.h"

namespace egretswitch::internal {

// Asks every entry; those that can't be reached are shown as such, and the
// exit code then is kCtlUnreachable.
int RunStatus(std::span<const std::string> operands,
              const CtlArguments& arguments,
              CtlWorld& world);
int RunCounters(std::span<const std::string> operands,
                const CtlArguments& arguments,
                CtlWorld& world);

// --entry is the metrics address of an entry on the platform; without a token.
int RunEvacuations(std::span<const std::string> operands,
                   const CtlArguments& arguments,
                   CtlWorld& world);

// Exactly one entry.
int RunDrain(std::span<const std::string> operands,
             const CtlArguments& arguments,
             CtlWorld& world);

// Operand: the name of the entry that has ended.
int RunEntryEnded(std::span<const std::string> operands,
                  const CtlArguments& arguments,
                  CtlWorld& world);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CTL_OPERATE_H_
