// The runs of ended attempts that an agent has not reported as over yet. Until
// then the order to stop them may have been lost, so the entry repeats it.
//
//   abandoned.Add("5c0e", 12, 4, true, now);   // attempt 12 had 4 runs there
//   abandoned.TakeDueOrders(now + kRenewPeriod)   // "5c0e"
//   abandoned.RecordEnd(12, RunEnd::kStopped);   // one of the runs is over
//   abandoned.TakeOver(now + kRunCertainlyOver)  // the other three
#ifndef EGRETSWITCH_SRC_ABANDONED_RUNS_H_
#define EGRETSWITCH_SRC_ABANDONED_RUNS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "clock.h"
#include "run_messages.h"

namespace egretswitch::internal {

class AbandonedRuns {
 public:
  struct Attempt {
    std::string job;
    uint64_t attempt = 0;  // as in StartRuns
    uint32_t runs = 0;     // not reported as over
    uint32_t done = 0;     // completed in spite of the order to stop
    uint32_t orders = 0;   // to stop its runs, sent so far
    MonoTime ended_at = absl::ZeroDuration();
    MonoTime over_at = absl::ZeroDuration();
    MonoTime next_order = absl::ZeroDuration();  // to stop its runs
  };

  // The attempt has ended now, with this many runs on the agent. `ordered` says
  // whether the order to stop them was sent.
  void Add(std::string_view job,
           uint64_t attempt,
           uint32_t runs,
           bool ordered,
           MonoTime now);
  // The agent has reported the end of a run of the attempt, which may be one
  // that is not on record. Returns the attempt if this was its last run.
  std::optional<Attempt> RecordEnd(uint64_t attempt, RunEnd end);
  // Drops and returns the attempts whose runs are certainly over.
  std::vector<Attempt> TakeOver(MonoTime now);

  bool empty() const { return m_attempts.empty(); }
  absl::Span<const Attempt> attempts() const { return m_attempts; }
  // Returns the attempts whose order to stop is due, and records it as sent.
  std::vector<Attempt> TakeDueOrders(MonoTime now);
  // The orders sent so far may be lost: all are due at once.
  void RepeatOrders();

 private:
  std::vector<Attempt> m_attempts;  // in the order of their ends
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_ABANDONED_RUNS_H_
