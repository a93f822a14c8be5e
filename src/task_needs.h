// Arithmetic on what tasks need and workers have.
//
//   Fits({6200, 64, 0}, room)   Subtract(room, Times({6200, 64, 0}, 4))
#ifndef EGRETSWITCH_SRC_TASK_NEEDS_H_
#define EGRETSWITCH_SRC_TASK_NEEDS_H_

#include <algorithm>
#include <cstdint>

#include "submission.h"

namespace egretswitch::internal {

inline bool Fits(const TaskNeeds& needs, const TaskNeeds& room) {
  return needs.millicores <= room.millicores &&
         needs.memory_mb <= room.memory_mb &&
         needs.accelerators <= room.accelerators;
}

inline bool IsZero(const TaskNeeds& needs) {
  return needs.millicores == 0 && needs.memory_mb == 0 &&
         needs.accelerators == 0;
}

inline TaskNeeds Times(const TaskNeeds& needs, uint32_t count) {
  return {needs.millicores * count, needs.memory_mb * count,
          needs.accelerators * count};
}

// What holds either of them.
inline TaskNeeds ElementwiseMax(const TaskNeeds& left, const TaskNeeds& right) {
  return {std::max(left.millicores, right.millicores),
          std::max(left.memory_mb, right.memory_mb),
          std::max(left.accelerators, right.accelerators)};
}

// Never below nothing: another process may have taken more than is there.
inline void Subtract(TaskNeeds& room, const TaskNeeds& taken) {
  room.millicores -= std::min(room.millicores, taken.millicores);
  room.memory_mb -= std::min(room.memory_mb, taken.memory_mb);
  room.accelerators -= std::min(room.accelerators, taken.accelerators);
}

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_TASK_NEEDS_H_
