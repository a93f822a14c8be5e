// The ends of runs that an agent has reported recently, from which it repeats a
// report that was lost with its link.
//
//   ends.Record({.task = 5c0e/0/0, .run = 1, .end = RunEnd::kDone}, now);
//   ends.Find({5c0e/0/0, 1, 0})   -> that report
#ifndef EGRETSWITCH_SRC_RECENT_ENDS_H_
#define EGRETSWITCH_SRC_RECENT_ENDS_H_

#include <cstddef>
#include <deque>

#include "clock.h"
#include "run_messages.h"
#include "worker_calls.h"

namespace egretswitch::internal {

class RecentEnds {
 public:
  static constexpr size_t kMaxEnds = 4096;

  void Record(const RunReport& report, MonoTime now);
  // Returns null if the end is not on record, or no longer.
  const RunReport* Find(const OrderedRun& ordered) const;
  // Whether an end of this run was recorded at `since` or later.
  bool RecordedSince(const RunKey& run, MonoTime since) const;

 private:
  struct End {
    RunReport report;
    MonoTime at = absl::ZeroDuration();
  };
  std::deque<End> m_ends;  // the oldest first
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RECENT_ENDS_H_
