// Room on a worker that its agent has told one waiting entry of, and keeps from
// the others until that entry has had time to use it.
//
//   promises.Make("entry-1", {6200, 64, 0}, now);
//   promises.ReservedForOthers("entry-2", now)   -> {6200, 64, 0}
//   promises.ReservedForOthers("entry-1", now)   -> {0, 0, 0}
//
// Without it each entry that asks sees the same room, all but one send a start
// for nothing, and at overload these starts fill the links of small entries.
#ifndef EGRETSWITCH_SRC_CAPACITY_RESERVATIONS_H_
#define EGRETSWITCH_SRC_CAPACITY_RESERVATIONS_H_

#include <map>
#include <string>

#include "clock.h"
#include "submission.h"

namespace egretswitch::internal {

class CapacityReservations {
 public:
  // In place of an earlier promise to the entry.
  void Reserve(const std::string& entry, const TaskNeeds& needs, MonoTime now);
  // The entry has used its promise, or is gone.
  void Release(const std::string& entry) { m_promises.erase(entry); }

  // What is promised to others than `entry`.
  TaskNeeds ReservedForOthers(const std::string& entry, MonoTime now) const;

  // When the next promise lapses; infinite: there is none.
  MonoTime NextExpiry(MonoTime now) const;

 private:
  struct Promise {
    TaskNeeds needs;
    MonoTime until = absl::ZeroDuration();
  };

  std::map<std::string, Promise> m_promises;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CAPACITY_RESERVATIONS_H_
