#include "capacity_reservations.h"

#include <algorithm>

#include "task_needs.h"

namespace egretswitch::internal {
namespace {

// A message each way takes 1 to 2 ms between data centres, and an entry one to
// act on it. What is not used lies idle for so long.
constexpr absl::Duration kPromiseLife = absl::Milliseconds(4);

}  // namespace

void CapacityReservations::Reserve(const std::string& entry,
                        const TaskNeeds& needs,
                        MonoTime now) {
  m_promises[entry] = {needs, now + kPromiseLife};
}

TaskNeeds CapacityReservations::ReservedForOthers(const std::string& entry, MonoTime now) const {
  TaskNeeds kept;
  for (const auto& [name, promise] : m_promises) {
    if (name != entry && now < promise.until) {
      kept.millicores += promise.needs.millicores;
      kept.memory_mb += promise.needs.memory_mb;
      kept.accelerators += promise.needs.accelerators;
    }
  }
  return kept;
}

MonoTime CapacityReservations::NextExpiry(MonoTime now) const {
  MonoTime next = absl::InfiniteDuration();
  for (const auto& [name, promise] : m_promises) {
    if (now < promise.until) {
      next = std::min(next, promise.until);
    }
  }
  return next;
}

}  // namespace egretswitch::internal
