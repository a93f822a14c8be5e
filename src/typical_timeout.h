// How long callers of a queue usually wait when they hand a job in for the
// first time, learnt from what arrives; and so whether a job is handed in again
// after an attempt that this process may know nothing of.
//
//   usual.Note("checks", absl::Milliseconds(1900));   // and some dozen others
//   usual.IsRepeat("checks", absl::Milliseconds(600))  -> true
#ifndef EGRETSWITCH_SRC_TYPICAL_TIMEOUT_H_
#define EGRETSWITCH_SRC_TYPICAL_TIMEOUT_H_

#include <deque>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace egretswitch::internal {

class TypicalTimeout {
 public:
  // `patience` is what is left of the caller's wait as it hands a job in;
  // infinite: it did not say.
  void Record(const std::string& queue, absl::Duration caller_timeout);

  // False while too little is known.
  bool IsRepeat(const std::string& queue, absl::Duration caller_timeout) const;

 private:
  // The latest ones, the newest last.
  absl::flat_hash_map<std::string, std::deque<absl::Duration>> m_seen;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_TYPICAL_TIMEOUT_H_
