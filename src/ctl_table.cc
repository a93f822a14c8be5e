#include "ctl_table.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "ctl_client.h"
#include "table_csv.h"
#include "table_diff.h"
#include "table_json.h"

namespace egretswitch::internal {
namespace {

using nlohmann::json;

absl::StatusOr<TableView> FetchTable(const CtlClient& client) {
  const auto response = client.Call("GET", "/table");
  if (!response.ok()) {
    return response.status();
  }
  if (!IsSuccess(*response)) {
    return absl::UnknownError(ErrorTextOf(*response));
  }
  auto table = ParseTable(response->body);
  if (!table.ok()) {
    return absl::UnknownError(
        absl::StrCat("an answer that is no table: ", table.status().message()));
  }
  return table;
}

absl::StatusOr<std::vector<VersionedRow>> ReadTableFile(
    const std::string& path) {
  const auto text = ReadInputFile(path);
  if (!text.ok()) {
    return text.status();
  }
  return ParseTableCsv(*text, path);
}

// A client, and the comparison of the file with what is in force.
struct ComparedFile {
  CtlClient client;
  std::vector<RowComparison> rows;
};

absl::StatusOr<ComparedFile> CompareFile(const std::string& path,
                                         const CtlArguments& arguments,
                                         const CtlWorld& world) {
  auto client = CtlClient::Create(CtlApi::kOperators, arguments, world);
  if (!client.ok()) {
    return client.status();
  }
  const auto file = ReadTableFile(path);
  if (!file.ok()) {
    return file.status();
  }
  const auto table = FetchTable(*client);
  if (!table.ok()) {
    return table.status();
  }
  return ComparedFile{*std::move(client), CompareTables(*file, table->rows)};
}

std::string OutdatedText(uint64_t file_version, uint64_t version_in_force) {
  return absl::StrCat(
      "the row changed underneath: the file has version ", file_version,
      ", but version ", version_in_force,
      " is in force; of two edits the first in log order wins (see table "
      "diff, or get the table again)");
}

// What became of one row of `table put` or `table delete`.
struct RowResult {
  std::string kind = {};
  std::string outcome = {};  // "unchanged", "outdated" or an EditVerdict's name
  std::string detail = {};
  uint64_t version = 0;  // in force afterwards, as far as it is known
  int exit_code = kCtlOk;
};

std::string VerdictText(const EditOutcome& outcome, uint64_t expected_version) {
  switch (outcome.verdict) {
    case EditVerdict::kAccepted:
      return "";
    case EditVerdict::kSuperseded:
      return OutdatedText(expected_version, outcome.row.version);
    case EditVerdict::kInvalid:
    case EditVerdict::kNotAppended:
      return outcome.detail;
    case EditVerdict::kUnknown:
      break;
  }
  return "the log did not tell whether the edit took effect; see table diff "
         "later: " +
         outcome.detail;
}

// An edit that was sent and not answered may have taken effect.
RowResult LostEdit(const std::string& kind, const absl::Status& status) {
  RowResult result{.kind = kind, .exit_code = kCtlUnreachable};
  result.outcome = absl::IsAborted(status) ? "unknown" : "not sent";
  result.detail = std::string(status.message());
  if (absl::IsUnauthenticated(status)) {
    result.outcome = "refused";
    result.exit_code = kCtlRefused;
  }
  return result;
}

RowResult SendEdit(const CtlClient& client, const RowEdited& edit) {
  const std::string& kind = edit.row.kind;
  const auto response = client.Call("POST", "/table", RowEditToJson(edit));
  if (!response.ok()) {
    return LostEdit(kind, response.status());
  }
  const auto outcome = ParseEditOutcome(response->body);
  if (!outcome.ok()) {
    return {.kind = kind,
            .outcome = "unknown",
            .detail = ErrorTextOf(*response),
            .exit_code = kCtlRefused};
  }
  const bool is_accepted = outcome->verdict == EditVerdict::kAccepted;
  return {.kind = kind,
          .outcome = std::string(EditVerdictName(outcome->verdict)),
          .detail = VerdictText(*outcome, edit.expected_version),
          .version = outcome->row.version,
          .exit_code = is_accepted ? kCtlOk : kCtlRefused};
}

RowResult PutRow(const CtlClient& client,
                 const RowComparison& row,
                 const std::string& editor) {
  const std::string& kind = row.file.row.kind;
  switch (row.difference) {
    case RowDifference::kNone:
      return {.kind = kind,
              .outcome = "unchanged",
              .version = row.in_force.version};
    case RowDifference::kNotInFile:
      return {.kind = kind,
              .outcome = "not in file",
              .detail = "left as it is",
              .version = row.in_force.version};
    case RowDifference::kOutdated:
      return {.kind = kind,
              .outcome = "outdated",
              .detail = OutdatedText(row.file.version, row.in_force.version),
              .version = row.in_force.version,
              .exit_code = kCtlRefused};
    case RowDifference::kAdded:
    case RowDifference::kChanged:
      break;
  }
  RowEdited edit;
  edit.editor = editor;
  edit.expected_version = row.expected_version;
  edit.row = row.file.row;
  return SendEdit(client, edit);
}

int PrintResults(const std::vector<RowResult>& results,
                 bool as_json,
                 CtlWorld& world) {
  int exit_code = kCtlOk;
  json rows = json::array();
  for (const RowResult& result : results) {
    exit_code = std::max(exit_code, result.exit_code);
    rows.push_back({{"kind", result.kind},
                    {"outcome", result.outcome},
                    {"detail", result.detail},
                    {"version", result.version}});
    if (!as_json) {
      world.out << result.kind << ": " << result.outcome;
      if (result.exit_code == kCtlOk) {
        world.out << ", version " << result.version;
      }
      world.out << (result.detail.empty() ? "" : ": ") << result.detail << "\n";
    }
  }
  if (as_json) {
    world.out << rows.dump(-1, ' ', false, json::error_handler_t::replace)
              << "\n";
  }
  return exit_code;
}

// One line of `table diff`; empty for a row that is the same.
std::string DiffLine(const RowComparison& row) {
  const std::string change = DescribeChange(row.in_force.row, row.file.row);
  const std::string& kind = row.file.row.kind;
  switch (row.difference) {
    case RowDifference::kNone:
      return "";
    case RowDifference::kAdded:
      return absl::StrCat("+ ", kind);
    case RowDifference::kChanged:
      return absl::StrCat("~ ", kind, ": ", change);
    case RowDifference::kOutdated:
      return absl::StrCat("! ", kind, ": ", change, ": ",
                          OutdatedText(row.file.version, row.in_force.version));
    case RowDifference::kNotInFile:
      break;
  }
  return absl::StrCat("- ", kind, ": not in the file");
}

std::optional<uint64_t> ParseVersion(std::string_view text) {
  uint64_t version = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, version);
  const bool is_whole = error == std::errc() && stop == end;
  return is_whole ? std::optional(version) : std::nullopt;
}

std::string CsvOf(const TableView& table) {
  std::vector<VersionedRow> rows;
  for (const RowState& state : table.rows) {
    if (!state.deleted) {
      rows.push_back({state.version, state.row});
    }
  }
  return WriteTableCsv(rows);
}

}  // namespace

int RunTableGet(std::span<const std::string>,
                const CtlArguments& arguments,
                CtlWorld& world) {
  const auto client = CtlClient::Create(CtlApi::kOperators, arguments, world);
  if (!client.ok()) {
    return ReportFailure(client.status(), world);
  }
  const auto table = FetchTable(*client);
  if (!table.ok()) {
    return ReportFailure(table.status(), world);
  }
  const std::string text =
      arguments.json ? TableToJson(*table) + "\n" : CsvOf(*table);
  if (arguments.output.empty()) {
    world.out << text;
    return kCtlOk;
  }
  std::ofstream file(arguments.output, std::ios::binary);
  file << text;
  file.close();
  if (!file) {
    return ReportFailure(absl::InvalidArgumentError(absl::StrCat(
                             "--output: found \"", arguments.output,
                             "\", which can't be written")),
                         world);
  }
  return kCtlOk;
}

int RunTableDiff(std::span<const std::string> operands,
                 const CtlArguments& arguments,
                 CtlWorld& world) {
  const auto compared = CompareFile(operands[0], arguments, world);
  if (!compared.ok()) {
    return ReportFailure(compared.status(), world);
  }
  json lines = json::array();
  for (const RowComparison& row : compared->rows) {
    const std::string line = DiffLine(row);
    if (line.empty()) {
      continue;
    }
    lines.push_back(line);
    if (!arguments.json) {
      world.out << line << "\n";
    }
  }
  if (arguments.json) {
    world.out << lines.dump() << "\n";
  }
  return lines.empty() ? kCtlOk : kCtlRefused;
}

int RunTablePut(std::span<const std::string> operands,
                const CtlArguments& arguments,
                CtlWorld& world) {
  const auto compared = CompareFile(operands[0], arguments, world);
  if (!compared.ok()) {
    return ReportFailure(compared.status(), world);
  }
  std::vector<RowResult> results;
  for (const RowComparison& row : compared->rows) {
    results.push_back(PutRow(compared->client, row, world.editor));
  }
  return PrintResults(results, arguments.json, world);
}

int RunTableDelete(std::span<const std::string> operands,
                   const CtlArguments& arguments,
                   CtlWorld& world) {
  const std::optional<uint64_t> version = ParseVersion(operands[1]);
  if (!version) {
    return ReportFailure(absl::InvalidArgumentError(absl::StrCat(
                             "table delete: found version \"", operands[1],
                             "\", allowed a whole number")),
                         world);
  }
  const auto client = CtlClient::Create(CtlApi::kOperators, arguments, world);
  if (!client.ok()) {
    return ReportFailure(client.status(), world);
  }
  RowEdited edit;
  edit.editor = world.editor;
  edit.expected_version = *version;
  edit.deleted = true;
  edit.row.kind = operands[0];
  return PrintResults({SendEdit(*client, edit)}, arguments.json, world);
}

}  // namespace egretswitch::internal
