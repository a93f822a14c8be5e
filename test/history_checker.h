// Judges a run by what callers, workers and operators wrote down, without any
// knowledge of how the dispatcher works.
//
//   CheckHistory(history) -> {{1, "desk/a17 task 0 started twice: ..."}}
//
// Points (the brief, "What must always hold"):
//   1 no task starts twice            5 not repeatable: at most once (as 1)
//   2 answers complete or failed      6 no new work for a leaving upstream
//   3 each caller its own answer      7 a planned stop cuts off nothing
//   4 "not run" is true               8 accepted edits in force, never back
//   9 after all faults new work is answered completely
#ifndef EGRETSWITCH_TEST_HISTORY_CHECKER_H_
#define EGRETSWITCH_TEST_HISTORY_CHECKER_H_

#include <string>
#include <vector>

#include "history.h"

namespace egretswitch::internal {

// A final answer may come this long after the deadline: clock skew between
// caller and entry, one round trip and one tick.
inline constexpr VirtualUs kAnswerGrace = Ms(1000);

// An entry keeps a call that cancels this long while it looks for the owner.
inline constexpr VirtualUs kCancelPatience = Ms(3000);

// A leaving upstream gets nothing new after this time.
inline constexpr VirtualUs kLeavingGrace = Ms(2000);

// An accepted edit is in force everywhere within this time.
inline constexpr VirtualUs kTableGrace = Ms(9000);

struct Violation {
  int point = 0;
  std::string what;
};

std::vector<Violation> CheckHistory(const History& history);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_HISTORY_CHECKER_H_
