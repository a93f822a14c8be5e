#include "ctl_history.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "control_state.h"
#include "node_limits.h"
#include "table_csv.h"
#include "table_diff.h"

namespace egretswitch::internal {
namespace {

using nlohmann::json;

// One edit of the log, and what the fold made of it.
struct HistoryLine {
  uint64_t offset = 0;
  RowEdited edit;
  std::string_view verdict;
  std::string change;  // of an accepted one
};

absl::StatusOr<std::vector<LogEntry>> ReadWholeLog(
    const CtlArguments& arguments,
    const CtlWorld& world) {
  std::vector<LogEntry> entries;
  uint64_t from = 0;
  while (true) {
    auto page = world.read_log(arguments.log, arguments.stream, from);
    if (!page.ok()) {
      return page.status();
    }
    for (LogEntry& entry : page->entries) {
      entries.push_back(std::move(entry));
    }
    if (page->entries.empty() || entries.back().offset + 1 >= page->head) {
      return entries;
    }
    from = entries.back().offset + 1;
  }
}

std::string_view VerdictName(FoldVerdict verdict) {
  switch (verdict) {
    case FoldVerdict::kAccepted:
      return "accepted";
    case FoldVerdict::kSuperseded:
      return "superseded";
    case FoldVerdict::kInvalid:
      return "invalid";
    case FoldVerdict::kSkipped:
    case FoldVerdict::kGap:
      break;
  }
  // It came before the oldest snapshot that the log still keeps.
  return "unknown";
}

std::string ChangeOf(const TableRow* before, const RowEdited& edit) {
  if (edit.deleted) {
    return "deleted";
  }
  const std::string change =
      DescribeChange(before == nullptr ? TableRow() : *before, edit.row);
  return absl::StrCat(before == nullptr ? "added" : "",
                      before == nullptr && !change.empty() ? ", " : "", change);
}

// Folds the log as every process does and keeps the verdict of each edit.
class HistoryReader {
 public:
  explicit HistoryReader(uint32_t shard_count) : m_state(shard_count) {}

  std::vector<HistoryLine> Read(const std::vector<LogEntry>& log) {
    size_t next = 0;
    while (next < log.size()) {
      const uint64_t before = m_state.next_offset();
      Fold(log[next]);
      const bool jumped =
          log[next].offset > before && m_state.next_offset() != before;
      // A snapshot across a gap continues from its own next_offset, which may
      // lie before it.
      next = jumped ? IndexOf(log, m_state.next_offset()) : next + 1;
    }
    std::vector<HistoryLine> lines;
    for (auto& [offset, line] : m_lines) {
      lines.push_back(std::move(line));
    }
    return lines;
  }

 private:
  static size_t IndexOf(const std::vector<LogEntry>& log, uint64_t offset) {
    size_t index = 0;
    while (index < log.size() && log[index].offset < offset) {
      ++index;
    }
    return index;
  }

  void Fold(const LogEntry& entry) {
    const auto* edit = std::get_if<RowEdited>(&entry.record.body);
    if (edit == nullptr) {
      m_state.Apply(entry);
      return;
    }
    const TableRow* row = m_state.FindRow(edit->row.kind);
    const std::string change = ChangeOf(row, *edit);
    const FoldVerdict verdict = m_state.Apply(entry);
    m_lines[entry.offset] = {entry.offset, *edit, VerdictName(verdict),
                             verdict == FoldVerdict::kAccepted ? change : ""};
  }

  ControlState m_state;
  std::map<uint64_t, HistoryLine> m_lines;  // by offset
};

std::string Describe(const HistoryLine& line) {
  return absl::StrCat("offset ", line.offset, "  ", line.edit.row.kind,
                      " against version ", line.edit.expected_version, "  ",
                      std::string(line.verdict), "  by ",
                      line.edit.editor.empty() ? "unknown" : line.edit.editor,
                      line.change.empty() ? "" : ": ", line.change);
}

json ToJson(const HistoryLine& line) {
  return {{"offset", line.offset},
          {"kind", line.edit.row.kind},
          {"expected_version", line.edit.expected_version},
          {"deleted", line.edit.deleted},
          {"verdict", line.verdict},
          {"editor", line.edit.editor},
          {"change", line.change}};
}

}  // namespace

int RunTableHistory(std::span<const std::string>,
                    const CtlArguments& arguments,
                    CtlWorld& world) {
  if (arguments.log.empty()) {
    return ReportFailure(
        absl::InvalidArgumentError("--log: found nothing, allowed the log "
                                   "service's address, such as 127.0.0.1:9000"),
        world);
  }
  const auto log = ReadWholeLog(arguments, world);
  if (!log.ok()) {
    return ReportFailure(absl::UnavailableError(absl::StrCat(
                             arguments.log, ": ", log.status().message())),
                         world);
  }
  const uint32_t shard_count =
      arguments.shards == 0 ? kDefaultShardCount : arguments.shards;
  json lines = json::array();
  for (const HistoryLine& line : HistoryReader(shard_count).Read(*log)) {
    if (arguments.json) {
      lines.push_back(ToJson(line));
    } else {
      world.out << Describe(line) << "\n";
    }
  }
  if (arguments.json) {
    world.out << lines.dump(-1, ' ', false, json::error_handler_t::replace)
              << "\n";
  }
  return kCtlOk;
}

}  // namespace egretswitch::internal
