// Bounds the starts that are repeated after a "not run" answer, for each row:
// every task that ran to its end earns retry_percent / 100 of a repeat.
//
//   budget.OnResults("pricing", 100, 20);  // earns 20 repeats
//   budget.TryTake("pricing")              // true, 19 left
//
// A reserve lets a row that has just begun, or that starts little, repeat too.
#ifndef EGRETSWITCH_SRC_RETRY_BUDGET_H_
#define EGRETSWITCH_SRC_RETRY_BUDGET_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "clock.h"

namespace egretswitch::internal {

class RetryBudget {
 public:
  // Repeats a row has at first, and the most it can save up.
  static constexpr double kReserve = 50;
  // Repeats per second that come back by themselves, up to the reserve.
  static constexpr double kReservePerSecond = 10;
  static constexpr double kMostSaved = 2000;

  // `count` tasks of the row ran to their end.
  void OnResults(std::string_view kind, uint32_t count, uint32_t retry_percent);

  // Takes one repeat if there is one.
  bool TryTake(std::string_view kind, MonoTime now);

 private:
  struct Row {
    double tokens = kReserve;
    MonoTime refilled_at = absl::ZeroDuration();
  };

  Row& RowOf(std::string_view kind);

  std::map<std::string, Row, std::less<>> m_rows;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RETRY_BUDGET_H_
