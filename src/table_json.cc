#include "table_json.h"

#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "control_state.h"
#include "json_document.h"

namespace egretswitch::internal {
namespace {

using nlohmann::json;

constexpr JsonLimits kTableLimits = {.depth = 6, .values = 200'000};
constexpr size_t kMaxEditorBytes = 128;
constexpr size_t kMaxDetailBytes = 4096;
constexpr int64_t kMaxVersion = std::numeric_limits<int64_t>::max();
constexpr EditVerdict kVerdicts[] = {
    EditVerdict::kAccepted, EditVerdict::kSuperseded, EditVerdict::kInvalid,
    EditVerdict::kNotAppended, EditVerdict::kUnknown};

std::string Dump(const json& document) {
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

json RowToJson(const TableRow& row) {
  return {{"kind", row.kind},
          {"weight", row.weight},
          {"max_running", row.max_running},
          {"max_queued", row.max_queued},
          {"team_rate", row.team_rate},
          {"retry_percent", row.retry_percent},
          {"prefer_response", row.prefer_response}};
}

json RowStateToJson(const RowState& state) {
  return {{"row", RowToJson(state.row)},
          {"version", state.version},
          {"deleted", state.deleted}};
}

uint32_t ReadColumn(JsonObjectReader& reader,
                    std::string_view name,
                    uint32_t fallback) {
  return static_cast<uint32_t>(reader.Integer(
      name, {0, std::numeric_limits<uint32_t>::max()}, fallback));
}

// The kind may be empty only in the outcome of an edit of no row.
TableRow ReadRow(const json& value, std::string path, JsonObjectReader& outer) {
  JsonObjectReader reader(value, std::move(path));
  TableRow row;
  row.kind = reader.PrintableText("kind", 0, 64);
  row.weight = ReadColumn(reader, "weight", row.weight);
  row.max_running = ReadColumn(reader, "max_running", row.max_running);
  row.max_queued = ReadColumn(reader, "max_queued", row.max_queued);
  row.team_rate = ReadColumn(reader, "team_rate", row.team_rate);
  row.retry_percent = ReadColumn(reader, "retry_percent", row.retry_percent);
  row.prefer_response =
      ReadColumn(reader, "prefer_response", row.prefer_response);
  outer.Merge(reader.Finish());
  return row;
}

TableRow ReadRowField(JsonObjectReader& reader) {
  const json* value = reader.Find("row", true);
  return value == nullptr ? TableRow()
                          : ReadRow(*value, reader.PathOf("row"), reader);
}

RowState ReadRowState(const json& value,
                      std::string path,
                      JsonObjectReader& outer) {
  JsonObjectReader reader(value, std::move(path));
  RowState state;
  state.row = ReadRowField(reader);
  state.version =
      static_cast<uint64_t>(reader.Integer("version", {0, kMaxVersion}));
  state.deleted = reader.Boolean("deleted", false);
  outer.Merge(reader.Finish());
  return state;
}

}  // namespace

std::string_view EditVerdictName(EditVerdict verdict) {
  switch (verdict) {
    case EditVerdict::kAccepted:
      return "accepted";
    case EditVerdict::kSuperseded:
      return "superseded";
    case EditVerdict::kInvalid:
      return "invalid";
    case EditVerdict::kNotAppended:
      return "not_appended";
    case EditVerdict::kUnknown:
      break;
  }
  return "unknown";
}

std::string TableToJson(const TableView& table) {
  json rows = json::array();
  for (const RowState& state : table.rows) {
    rows.push_back(RowStateToJson(state));
  }
  return Dump(
      {{"table_version", table.table_version}, {"rows", std::move(rows)}});
}

absl::StatusOr<TableView> ParseTable(std::string_view text) {
  absl::StatusOr<json> document = ParseJson(text, kTableLimits);
  if (!document.ok()) {
    return document.status();
  }
  JsonObjectReader reader(*document, "");
  TableView table;
  table.table_version =
      static_cast<uint64_t>(reader.Integer("table_version", {0, kMaxVersion}));
  const json* rows = reader.Find("rows", true);
  if (rows != nullptr && !rows->is_array()) {
    reader.Fail("rows", DescribeJson(*rows), "an array");
  } else if (rows != nullptr) {
    for (const json& row : *rows) {
      table.rows.push_back(ReadRowState(
          row, absl::StrCat("rows[", table.rows.size(), "]"), reader));
    }
  }
  if (absl::Status status = reader.Finish(); !status.ok()) {
    return status;
  }
  return table;
}

std::string EditOutcomeToJson(const EditOutcome& outcome) {
  return Dump({{"verdict", EditVerdictName(outcome.verdict)},
               {"detail", outcome.detail},
               {"current", RowStateToJson(outcome.row)},
               {"table_version", outcome.table_version}});
}

absl::StatusOr<EditOutcome> ParseEditOutcome(std::string_view text) {
  absl::StatusOr<json> document = ParseJson(text, kTableLimits);
  if (!document.ok()) {
    return document.status();
  }
  JsonObjectReader reader(*document, "");
  EditOutcome outcome;
  const std::string name = reader.PrintableText("verdict", 1, 16);
  bool known = false;
  for (const EditVerdict verdict : kVerdicts) {
    if (EditVerdictName(verdict) == name) {
      outcome.verdict = verdict;
      known = true;
    }
  }
  if (!known) {
    reader.Fail("verdict", name, "accepted, superseded, invalid or unknown");
  }
  outcome.detail = reader.PrintableText("detail", 0, kMaxDetailBytes);
  if (const json* current = reader.Find("current", true)) {
    outcome.row = ReadRowState(*current, "current", reader);
  }
  outcome.table_version =
      static_cast<uint64_t>(reader.Integer("table_version", {0, kMaxVersion}));
  if (absl::Status status = reader.Finish(); !status.ok()) {
    return status;
  }
  return outcome;
}

absl::StatusOr<RowEdited> ParseRowEdit(std::string_view text) {
  absl::StatusOr<json> document = ParseJson(text, kTableLimits);
  if (!document.ok()) {
    return document.status();
  }
  JsonObjectReader reader(*document, "");
  RowEdited edit;
  edit.row = ReadRowField(reader);
  edit.expected_version = static_cast<uint64_t>(
      reader.Integer("expected_version", {0, kMaxVersion}));
  edit.deleted = reader.Boolean("deleted", false);
  if (reader.Find("editor", false) != nullptr) {
    edit.editor = reader.PrintableText("editor", 0, kMaxEditorBytes);
  }
  if (reader.Find("edit_id", false) != nullptr) {
    edit.edit_id = reader.PrintableText("edit_id", 0, kMaxEditorBytes);
  }
  if (absl::Status status = reader.Finish(); !status.ok()) {
    return status;
  }
  if (absl::Status status = ValidateRow(edit.row); !status.ok()) {
    return status;
  }
  return edit;
}

std::string RowEditToJson(const RowEdited& edit) {
  return Dump({{"row", RowToJson(edit.row)},
               {"expected_version", edit.expected_version},
               {"deleted", edit.deleted},
               {"editor", edit.editor},
               {"edit_id", edit.edit_id}});
}

}  // namespace egretswitch::internal
