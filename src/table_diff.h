// Compares a table file with the table in force, row by row.
//
//   file check v3 weight 9, in force check v3 weight 8 -> kChanged, against v3
//   file check v3 weight 9, in force check v4 weight 7 -> kOutdated
#ifndef EGRETSWITCH_SRC_TABLE_DIFF_H_
#define EGRETSWITCH_SRC_TABLE_DIFF_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "log_records.h"
#include "table_csv.h"

namespace egretswitch::internal {

enum class RowDifference : uint8_t {
  kNone = 0,   // the same values, whatever the versions
  kAdded,      // not in force
  kChanged,    // an edit against the version in force
  kOutdated,   // other values, and the row in force has a later version
  kNotInFile,  // in force only
};

struct RowComparison {
  RowDifference difference = RowDifference::kNone;
  VersionedRow file;              // empty for kNotInFile, but for the kind
  RowState in_force;              // version 0 when there is none
  uint64_t expected_version = 0;  // what an edit is to name
};

// In the order of the file, then the rows in force that it lacks.
std::vector<RowComparison> CompareTables(std::span<const VersionedRow> file,
                                         std::span<const RowState> in_force);

// "weight 8 -> 9, team_rate 0 -> 50": from the row in force to the file's.
std::string DescribeChange(const TableRow& from, const TableRow& to);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_TABLE_DIFF_H_
