// Searched when an agent and an entry reconnect, and for the ends since a
// recent poll, so a linear search is enough.
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

bool RecentEnds::RecordedSince(const RunKey& run, MonoTime since) const {
  for (auto end = m_ends.rbegin(); end != m_ends.rend() && end->at >= since;
       ++end) {
    if (end->report.task == run.task && end->report.run == run.run) {
      return true;
    }
  }
  return false;
}

}  // namespace egretswitch::internal
