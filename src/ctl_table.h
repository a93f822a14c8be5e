// The commands on the operator table, which is edited as a CSV file.
//
//   table get -o t.csv     what is in force, with the version of each row
//   table diff t.csv       what the file would change
//   table put t.csv        edits the rows that differ, against their versions
//   table delete check 3   deletes a row, against its version
//   table history          every edit, from the log service itself
#ifndef EGRETSWITCH_SRC_CTL_TABLE_H_
#define EGRETSWITCH_SRC_CTL_TABLE_H_

#include <span>
#include <string>

#include "ctl_arguments.h"
#include "ctl_world.h"

namespace egretswitch::internal {

int RunTableGet(std::span<const std::string> operands,
                const CtlArguments& arguments,
                CtlWorld& world);
// Operand: the file. Exit code kCtlRefused when it differs.
int RunTableDiff(std::span<const std::string> operands,
                 const CtlArguments& arguments,
                 CtlWorld& world);
// Operand: the file. A row in force that the file lacks is left as it is.
int RunTablePut(std::span<const std::string> operands,
                const CtlArguments& arguments,
                CtlWorld& world);
// Operands: the kind and the row's version.
int RunTableDelete(std::span<const std::string> operands,
                   const CtlArguments& arguments,
                   CtlWorld& world);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CTL_TABLE_H_
