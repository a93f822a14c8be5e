// What the cases share: a small deployment of the deployed roles as separate
// processes on loopback, the record, and what a case reports in the end.
#ifndef EGRETSWITCH_REVIEW_COMMON_CASE_H_
#define EGRETSWITCH_REVIEW_COMMON_CASE_H_

#include <string>

#include "case_record.h"
#include "event_loop.h"

namespace egretswitch::review {

// Exit codes of a case.
enum class CaseVerdict : int {
  kHeld = 0,
  kBroken = 1,
  kCouldNotRun = 2,
};

struct CaseOptions {
  std::string daemon;     // path of egretswitchd
  std::string directory;  // for settings and logs; exists
  bool trouble = true;    // whether the disruption happens
};

// Runs the loop for this long.
inline void RunFor(internal::EventLoop& loop, absl::Duration duration) {
  loop.RunUntil([] { return false; }, duration);
}

// A stop order that is lost with its link: review/1.
CaseVerdict RunLostStop(const CaseOptions& options, CaseRecord& record);
// A lease on the clock of a worker's former boot: review/2.
CaseVerdict RunLeaseOfFormerBoot(const CaseOptions& options,
                                 CaseRecord& record);
// A job that is cancelled while it runs: review/3.
CaseVerdict RunCancelledJob(const CaseOptions& options, CaseRecord& record);

}  // namespace egretswitch::review

#endif  // EGRETSWITCH_REVIEW_COMMON_CASE_H_
