// The operator table as JSON, for the operator calls and the command line.
//
//   {"row":{"kind":"check","weight":5},"expected_version":3} -> RowEdited
#ifndef EGRETSWITCH_SRC_TABLE_JSON_H_
#define EGRETSWITCH_SRC_TABLE_JSON_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "log_records.h"

namespace egretswitch::internal {

// The table as one process has it in force.
struct TableView {
  uint64_t table_version = 0;
  std::vector<RowState> rows;  // deleted ones too: their versions go on
};

// What became of an edit.
enum class EditVerdict : uint8_t {
  kAccepted = 0,  // in the log and folded
  kSuperseded,    // another edit of the row came first
  kInvalid,       // a value is out of range; nothing was appended
  kNotAppended,   // the log took nothing: no effect
  kUnknown,       // the log did not tell; read the table back later
};

struct EditOutcome {
  EditVerdict verdict = EditVerdict::kUnknown;
  std::string detail;
  RowState row;  // as folded now; version 0 when there is none
  uint64_t table_version = 0;
};

// "accepted", "superseded", "invalid", "not_appended" or "unknown".
std::string_view EditVerdictName(EditVerdict verdict);

std::string TableToJson(const TableView& table);
absl::StatusOr<TableView> ParseTable(std::string_view text);

std::string EditOutcomeToJson(const EditOutcome& outcome);
absl::StatusOr<EditOutcome> ParseEditOutcome(std::string_view text);

// Reads {"row":{..},"expected_version":N,"deleted":false,"editor":"..",
// "edit_id":".."}. Columns left out have their defaults; the row is checked by
// ValidateRow().
absl::StatusOr<RowEdited> ParseRowEdit(std::string_view text);
std::string RowEditToJson(const RowEdited& edit);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_TABLE_JSON_H_
