// The operator table as CSV, one row per kind of work, as operators edit it in
// a spreadsheet:
//
//   kind,version,weight,max_running,max_queued,team_rate,retry_percent,prefer_response
//   check,3,8,0,5000,50,20,80
//
// `version` is the version of the row that the edit is made against; 0 stands
// for a row that does not exist yet.
#ifndef EGRETSWITCH_SRC_TABLE_CSV_H_
#define EGRETSWITCH_SRC_TABLE_CSV_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "log_records.h"

namespace egretswitch::internal {

struct VersionedRow {
  uint64_t version = 0;
  TableRow row;
  bool operator==(const VersionedRow&) const = default;
};

// One numeric column of a row.
struct TableColumn {
  std::string_view name;
  uint32_t TableRow::*member;
};

// The columns after kind and version, in the order of the file.
std::span<const TableColumn> TableColumns();

// Reads a table strictly (RFC 4180, lines may end in LF or CRLF). All faults
// are reported, a "user error: NAME:LINE: ..." line each.
absl::StatusOr<std::vector<VersionedRow>> ParseTableCsv(
    std::string_view text,
    std::string_view name_for_errors);

// With the header line; what ParseTableCsv() reads back unchanged.
std::string WriteTableCsv(std::span<const VersionedRow> rows);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_TABLE_CSV_H_
