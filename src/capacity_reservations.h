// Free capacity that an agent has offered to one waiting entry, and reserves
// for it until the entry has had time to use it.
//
//   reservations.Reserve("entry-1", {6200, 64, 0}, now);
//   reservations.ReservedForOthers("entry-2", now)   -> {6200, 64, 0}
//   reservations.ReservedForOthers("entry-1", now)   -> {0, 0, 0}
//
// Without reservations, each entry with waiting jobs would be offered the same
// capacity. All but one of their starts would be refused, and under overload
// such starts fill the links of small entries.
#ifndef EGRETSWITCH_SRC_CAPACITY_RESERVATIONS_H_
#define EGRETSWITCH_SRC_CAPACITY_RESERVATIONS_H_

#include <map>
#include <string>

#include "clock.h"
#include "submission.h"

namespace egretswitch::internal {

class CapacityReservations {
 public:
  // Replaces an earlier reservation of the entry.
  void Reserve(const std::string& entry, const TaskNeeds& needs, MonoTime now);
  // Called when the entry has used its reservation, or is disconnected.
  void Release(const std::string& entry) { m_reservations.erase(entry); }

  // Returns what is reserved for entries other than `entry`.
  TaskNeeds ReservedForOthers(const std::string& entry, MonoTime now) const;

  // Returns when the next reservation expires; infinite if there is none.
  MonoTime NextExpiry(MonoTime now) const;

 private:
  struct Reservation {
    TaskNeeds needs;
    MonoTime until = absl::ZeroDuration();
  };

  std::map<std::string, Reservation> m_reservations;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CAPACITY_RESERVATIONS_H_
