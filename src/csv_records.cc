#include "csv_records.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace egretswitch::internal {
namespace {

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

// Walks over the text once. Each Read function leaves m_rest behind what it
// has read and returns false after a fault.
class CsvSplitter {
 public:
  explicit CsvSplitter(std::string_view text) : m_rest(text) {
    if (m_rest.starts_with(kByteOrderMark)) {
      m_rest.remove_prefix(kByteOrderMark.size());
    }
  }

  std::variant<std::vector<CsvRecord>, CsvFault> Split() {
    std::vector<CsvRecord> records;
    while (!m_rest.empty()) {
      CsvRecord record{m_line, {}};
      if (!ReadRecord(&record)) {
        return *m_fault;
      }
      records.push_back(std::move(record));
    }
    return records;
  }

 private:
  bool ReadRecord(CsvRecord* record) {
    while (true) {
      std::string field;
      const bool is_quoted = m_rest.starts_with('"');
      if (!(is_quoted ? ReadQuoted(&field) : ReadBare(&field))) {
        return false;
      }
      record->fields.push_back(std::move(field));
      if (Skip(",")) {
        continue;
      }
      if (m_rest.empty() || Skip("\r\n") || Skip("\n")) {
        ++m_line;
        return true;
      }
      return Fail("text after the closing quote",
                  "a comma or the end of the line");
    }
  }

  bool ReadBare(std::string* field) {
    const size_t size =
        std::min(m_rest.find_first_of(",\r\n\""), m_rest.size());
    *field = m_rest.substr(0, size);
    m_rest.remove_prefix(size);
    if (m_rest.starts_with('"')) {
      return Fail("a quote within a field that has none around it",
                  "the whole field in quotes, with each inner quote doubled");
    }
    if (m_rest.starts_with('\r') && !m_rest.starts_with("\r\n")) {
      return Fail("a carriage return alone", "LF or CRLF at the end of a line");
    }
    return true;
  }

  bool ReadQuoted(std::string* field) {
    m_rest.remove_prefix(1);
    while (!m_rest.empty()) {
      if (Skip("\"\"")) {
        field->push_back('"');
      } else if (Skip("\"")) {
        return true;
      } else {
        m_line += m_rest.front() == '\n' ? 1 : 0;
        field->push_back(m_rest.front());
        m_rest.remove_prefix(1);
      }
    }
    return Fail("a quoted field without an end", "a closing quote");
  }

  bool Skip(std::string_view text) {
    if (!m_rest.starts_with(text)) {
      return false;
    }
    m_rest.remove_prefix(text.size());
    return true;
  }

  bool Fail(std::string_view found, std::string_view allowed) {
    m_fault = CsvFault{m_line, found, allowed};
    return false;
  }

  std::string_view m_rest;
  int m_line = 1;
  std::optional<CsvFault> m_fault;
};

}  // namespace

std::variant<std::vector<CsvRecord>, CsvFault> SplitCsv(std::string_view text) {
  return CsvSplitter(text).Split();
}

std::string CsvField(std::string_view text) {
  if (text.find_first_of(",\"\r\n") == std::string_view::npos) {
    return std::string(text);
  }
  std::string quoted = "\"";
  for (const char c : text) {
    quoted.append(c == '"' ? 2 : 1, c);
  }
  return quoted + "\"";
}

}  // namespace egretswitch::internal
