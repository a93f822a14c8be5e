#include "table_csv.h"

#include <array>
#include <charconv>
#include <limits>
#include <map>
#include <optional>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "control_state.h"
#include "csv_records.h"

namespace egretswitch::internal {
namespace {

constexpr size_t kMaxShownBytes = 60;
constexpr size_t kFixedColumns = 2;  // kind and version

constexpr std::array<TableColumn, 6> kColumns = {{
    {"weight", &TableRow::weight},
    {"max_running", &TableRow::max_running},
    {"max_queued", &TableRow::max_queued},
    {"team_rate", &TableRow::team_rate},
    {"retry_percent", &TableRow::retry_percent},
    {"prefer_response", &TableRow::prefer_response},
}};

std::string HeaderLine() {
  std::string header = "kind,version";
  for (const TableColumn& column : kColumns) {
    absl::StrAppend(&header, ",", std::string(column.name));
  }
  return header;
}

std::string Quoted(std::string_view text) {
  const std::string shown(text.substr(0, kMaxShownBytes));
  return absl::StrCat("\"", absl::CHexEscape(shown),
                      text.size() > kMaxShownBytes ? "...\"" : "\"");
}

template <typename Number>
std::optional<Number> ParseWhole(std::string_view text) {
  Number value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  const bool is_whole = error == std::errc() && stop == end;
  return is_whole ? std::optional(value) : std::nullopt;
}

// Turns records into rows and collects the faults of all of them.
class TableReader {
 public:
  explicit TableReader(std::string_view name) : m_name(name) {}

  absl::StatusOr<std::vector<VersionedRow>> Read(std::string_view text) {
    const auto split = SplitCsv(text);
    if (const auto* fault = std::get_if<CsvFault>(&split)) {
      AddUnexpected(fault->line, std::string(fault->found), fault->allowed);
    } else {
      ReadRecords(std::get<std::vector<CsvRecord>>(split));
    }
    if (!m_faults.empty()) {
      return absl::InvalidArgumentError(absl::StrJoin(m_faults, "\n"));
    }
    return std::move(m_rows);
  }

 private:
  void ReadRecords(const std::vector<CsvRecord>& records) {
    const std::string header = HeaderLine();
    if (records.empty() || absl::StrJoin(records[0].fields, ",") != header) {
      const std::string found =
          records.empty() ? "nothing"
                          : Quoted(absl::StrJoin(records[0].fields, ","));
      AddUnexpected(1, found, absl::StrCat("the header line ", header));
      return;
    }
    for (size_t i = 1; i < records.size(); ++i) {
      ReadRow(records[i]);
    }
  }

  void ReadRow(const CsvRecord& record) {
    const size_t field_count = kFixedColumns + kColumns.size();
    if (record.fields.size() != field_count) {
      AddUnexpected(record.line, absl::StrCat(record.fields.size(), " fields"),
                    absl::StrCat(field_count, " fields"));
      return;
    }
    const size_t faults_before = m_faults.size();
    VersionedRow row;
    row.row.kind = record.fields[0];
    row.version = ReadNumber<uint64_t>(record, 1, "version");
    for (size_t i = 0; i < kColumns.size(); ++i) {
      row.row.*kColumns[i].member =
          ReadNumber<uint32_t>(record, kFixedColumns + i, kColumns[i].name);
    }
    if (m_faults.size() > faults_before) {
      return;  // a field that is no number has no range
    }
    Check(record.line, row.row);
    m_rows.push_back(std::move(row));
  }

  void Check(int line, const TableRow& row) {
    if (const absl::Status status = ValidateRow(row); !status.ok()) {
      Add(line, std::string(status.message()));
      return;
    }
    const auto [it, is_new] = m_lines.emplace(row.kind, line);
    if (!is_new) {
      AddColumn(
          line, "kind",
          absl::StrCat(Quoted(row.kind), " again, as in line ", it->second),
          "each kind once");
    }
  }

  template <typename Number>
  Number ReadNumber(const CsvRecord& record,
                    size_t index,
                    std::string_view column) {
    const auto number = ParseWhole<Number>(record.fields[index]);
    if (!number) {
      AddColumn(record.line, column, Quoted(record.fields[index]),
                absl::StrCat("a whole number from 0 to ",
                             std::numeric_limits<Number>::max()));
    }
    return number.value_or(0);
  }

  void Add(int line, const std::string& text) {
    m_faults.push_back(
        absl::StrCat("user error: ", m_name, ":", line, ": ", text));
  }
  void AddColumn(int line,
                 std::string_view column,
                 const std::string& found,
                 std::string_view allowed) {
    Add(line, absl::StrCat("column ", std::string(column), ": found ", found,
                           ", allowed ", std::string(allowed)));
  }
  void AddUnexpected(int line,
                     const std::string& found,
                     std::string_view allowed) {
    Add(line,
        absl::StrCat("found ", found, ", allowed ", std::string(allowed)));
  }

  std::string m_name;
  std::map<std::string, int> m_lines;  // by kind
  std::vector<std::string> m_faults;
  std::vector<VersionedRow> m_rows;
};

}  // namespace

std::span<const TableColumn> TableColumns() {
  return kColumns;
}

absl::StatusOr<std::vector<VersionedRow>> ParseTableCsv(
    std::string_view text,
    std::string_view name_for_errors) {
  return TableReader(name_for_errors).Read(text);
}

std::string WriteTableCsv(std::span<const VersionedRow> rows) {
  std::string text = HeaderLine() + "\n";
  for (const VersionedRow& row : rows) {
    absl::StrAppend(&text, CsvField(row.row.kind), ",", row.version);
    for (const TableColumn& column : kColumns) {
      absl::StrAppend(&text, ",", row.row.*column.member);
    }
    text += "\n";
  }
  return text;
}

}  // namespace egretswitch::internal
