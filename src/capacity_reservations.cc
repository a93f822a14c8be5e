#include "capacity_reservations.h"

#include <algorithm>

#include "task_needs.h"

namespace egretswitch::internal {
namespace {

// A message each way takes 1 to 2 ms between data centres, and an entry takes
// 1 ms to act on it. Capacity that is not used stays idle for this long.
constexpr absl::Duration kReservationTime = absl::Milliseconds(4);

}  // namespace

void CapacityReservations::Reserve(const std::string& entry,
                                   const TaskNeeds& needs,
                                   MonoTime now) {
  m_reservations[entry] = {needs, now + kReservationTime};
}

TaskNeeds CapacityReservations::ReservedForOthers(const std::string& entry,
                                                  MonoTime now) const {
  TaskNeeds reserved;
  for (const auto& [name, reservation] : m_reservations) {
    if (name != entry && now < reservation.until) {
      reserved.millicores += reservation.needs.millicores;
      reserved.memory_mb += reservation.needs.memory_mb;
      reserved.accelerators += reservation.needs.accelerators;
    }
  }
  return reserved;
}

MonoTime CapacityReservations::NextExpiry(MonoTime now) const {
  MonoTime next = absl::InfiniteDuration();
  for (const auto& [name, reservation] : m_reservations) {
    if (now < reservation.until) {
      next = std::min(next, reservation.until);
    }
  }
  return next;
}

}  // namespace egretswitch::internal
