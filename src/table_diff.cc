#include "table_diff.h"

#include <map>
#include <set>

#include "absl/strings/str_cat.h"

namespace egretswitch::internal {
namespace {

RowComparison CompareRow(const VersionedRow& file, const RowState& in_force) {
  RowComparison result{RowDifference::kNone, file, in_force, file.version};
  const bool exists = in_force.version > 0 && !in_force.deleted;
  if (exists && file.row == in_force.row) {
    return result;
  }
  // A file says 0 for a row that does not exist. When it did once, its
  // versions go on, and an edit has to name the one of the deletion.
  if (!exists && file.version == 0) {
    result.expected_version = in_force.version;
  }
  if (result.expected_version < in_force.version) {
    result.difference = RowDifference::kOutdated;
  } else {
    // A version beyond the one in force comes from an entry that has read
    // more of the log: the log will decide.
    result.difference =
        exists ? RowDifference::kChanged : RowDifference::kAdded;
  }
  return result;
}

}  // namespace

std::vector<RowComparison> CompareTables(std::span<const VersionedRow> file,
                                         std::span<const RowState> in_force) {
  std::map<std::string, RowState> by_kind;
  for (const RowState& state : in_force) {
    by_kind[state.row.kind] = state;
  }
  std::vector<RowComparison> result;
  std::set<std::string> in_file;
  for (const VersionedRow& row : file) {
    result.push_back(CompareRow(row, by_kind[row.row.kind]));
    in_file.insert(row.row.kind);
  }
  for (const auto& [kind, state] : by_kind) {
    if (!in_file.contains(kind) && !state.deleted) {
      RowComparison missing{RowDifference::kNotInFile, {}, state, 0};
      missing.file.row.kind = kind;
      result.push_back(missing);
    }
  }
  return result;
}

std::string DescribeChange(const TableRow& from, const TableRow& to) {
  std::string text;
  for (const TableColumn& column : TableColumns()) {
    const uint32_t before = from.*column.member;
    const uint32_t after = to.*column.member;
    if (before != after) {
      absl::StrAppend(&text, text.empty() ? "" : ", ", std::string(column.name),
                      " ", before, " -> ", after);
    }
  }
  return text;
}

}  // namespace egretswitch::internal
