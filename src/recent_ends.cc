// Searched only when an agent and an entry reconnect, so a linear search is
// enough.
#include "recent_ends.h"

#include <algorithm>

#include "run_limits.h"

namespace egretswitch::internal {

void RecentEnds::Record(const RunReport& report, MonoTime now) {
  while (!m_ends.empty() && (m_ends.size() >= kMaxEnds ||
                             now - m_ends.front().at > kReportedEndRetention)) {
    m_ends.pop_front();
  }
  m_ends.push_back({report, now});
}

const RunReport* RecentEnds::Find(const OrderedRun& ordered) const {
  const auto it =
      std::find_if(m_ends.rbegin(), m_ends.rend(), [&](const End& end) {
        return end.report.task == ordered.task &&
               end.report.run == ordered.run &&
               end.report.attempt == ordered.attempt;
      });
  return it == m_ends.rend() ? nullptr : &it->report;
}

}  // namespace egretswitch::internal
