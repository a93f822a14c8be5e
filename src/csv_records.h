// Splits CSV text (RFC 4180) into records of fields, strictly.
//
//   SplitCsv("a,\"b,c\"\r\n") -> [{line 1, ["a", "b,c"]}]
//   SplitCsv("a,b\"c\n")      -> fault: line 1, a quote within a bare field
#ifndef EGRETSWITCH_SRC_CSV_RECORDS_H_
#define EGRETSWITCH_SRC_CSV_RECORDS_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace egretswitch::internal {

struct CsvRecord {
  int line = 0;  // where it begins, from 1
  std::vector<std::string> fields;
};

// Where the text stops to be CSV.
struct CsvFault {
  int line = 0;
  std::string_view found;
  std::string_view allowed;
};

// Lines end in LF or CRLF; the last one may lack its end. A byte order mark,
// which spreadsheets like to write, is skipped.
std::variant<std::vector<CsvRecord>, CsvFault> SplitCsv(std::string_view text);

// The field as it is written: in quotes when it needs them.
std::string CsvField(std::string_view text);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CSV_RECORDS_H_
