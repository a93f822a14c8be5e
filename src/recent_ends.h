// The ends of runs that an agent has reported lately. A report that was lost
// with its link is told again from here.
//
//   ends.Note({.task = 5c0e/0/0, .run = 1, .end = RunEnd::kDone}, now);
//   ends.Find({5c0e/0/0, 1, 0})   -> that report
#ifndef EGRETSWITCH_SRC_RECENT_ENDS_H_
#define EGRETSWITCH_SRC_RECENT_ENDS_H_

#include <cstddef>
#include <deque>

#include "clock.h"
#include "run_messages.h"

namespace egretswitch::internal {

class RecentEnds {
 public:
  static constexpr size_t kMost = 4096;

  void Record(const RunReport& report, MonoTime now);
  // Null: it is not known, or no longer.
  const RunReport* Find(const OrderedRun& ordered) const;

 private:
  struct End {
    RunReport report;
    MonoTime at = absl::ZeroDuration();
  };
  std::deque<End> m_ends;  // by age
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RECENT_ENDS_H_
