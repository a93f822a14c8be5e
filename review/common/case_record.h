// What a case has sent, seen answered and seen run, one line each, with the
// milliseconds since the record was opened.
//
//   CaseRecord record("review/1/record.txt");
//   record.Add("job 5c0e sent to entry-0");   -> "    12 ms  job 5c0e sent ..."
#ifndef EGRETSWITCH_REVIEW_COMMON_CASE_RECORD_H_
#define EGRETSWITCH_REVIEW_COMMON_CASE_RECORD_H_

#include <fstream>
#include <string>
#include <string_view>
#include <vector>

#include "event_loop.h"

namespace egretswitch::review {

class CaseRecord {
 public:
  explicit CaseRecord(const std::string& file);

  void Add(std::string_view line);
  // Adds the line, and counts it as a broken rule.
  void Break(std::string_view line);

  const std::vector<std::string>& broken() const { return m_broken; }

 private:
  const MonoTime m_begin = internal::EventLoop::MonoNow();
  std::ofstream m_out;
  std::vector<std::string> m_broken;
};

}  // namespace egretswitch::review

#endif  // EGRETSWITCH_REVIEW_COMMON_CASE_RECORD_H_
