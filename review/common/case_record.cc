#include "case_record.h"

#include <iomanip>

namespace egretswitch::review {

CaseRecord::CaseRecord(const std::string& file) : m_out(file) {}

void CaseRecord::Add(std::string_view line) {
  const absl::Duration since = internal::EventLoop::MonoNow() - m_begin;
  m_out << std::setw(6) << absl::ToInt64Milliseconds(since) << " ms  " << line
        << std::endl;
}

void CaseRecord::Break(std::string_view line) {
  m_broken.emplace_back(line);
  Add("BROKEN: " + m_broken.back());
}

}  // namespace egretswitch::review
