// Estimates the caller timeout of first attempts at jobs of a queue. A job with
// a much shorter timeout is a repeat of an attempt that may have been sent to
// another entry.
//
//   typical.Record("checks", absl::Milliseconds(1900));   // for each job
//   typical.IsRepeat("checks", absl::Milliseconds(600))  -> true
#ifndef EGRETSWITCH_SRC_TYPICAL_TIMEOUT_H_
#define EGRETSWITCH_SRC_TYPICAL_TIMEOUT_H_

#include <deque>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace egretswitch::internal {

class TypicalTimeout {
 public:
  // `caller_timeout` is the time for which the caller still waits when it sends
  // a job; infinite if the caller does not state it.
  void Record(const std::string& queue, absl::Duration caller_timeout);

  // Returns false while there are too few samples.
  bool IsRepeat(const std::string& queue, absl::Duration caller_timeout) const;

 private:
  // The latest timeouts of each queue, the newest last.
  absl::flat_hash_map<std::string, std::deque<absl::Duration>> m_samples;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_TYPICAL_TIMEOUT_H_
