// Arithmetic on the resources that tasks need and workers have.
//
//   Fits({6200, 64, 0}, free)   Subtract(free, Times({6200, 64, 0}, 4))
#ifndef EGRETSWITCH_SRC_TASK_NEEDS_H_
#define EGRETSWITCH_SRC_TASK_NEEDS_H_

#include <algorithm>
#include <cstdint>

#include "submission.h"

namespace egretswitch::internal {

inline bool Fits(const TaskNeeds& needs, const TaskNeeds& free) {
  return needs.millicores <= free.millicores &&
         needs.memory_mb <= free.memory_mb &&
         needs.accelerators <= free.accelerators;
}

inline bool IsZero(const TaskNeeds& needs) {
  return needs.millicores == 0 && needs.memory_mb == 0 &&
         needs.accelerators == 0;
}

inline TaskNeeds Times(const TaskNeeds& needs, uint32_t count) {
  return {needs.millicores * count, needs.memory_mb * count,
          needs.accelerators * count};
}

// Returns the smallest resources that either of them fits in.
inline TaskNeeds ElementwiseMax(const TaskNeeds& left, const TaskNeeds& right) {
  return {std::max(left.millicores, right.millicores),
          std::max(left.memory_mb, right.memory_mb),
          std::max(left.accelerators, right.accelerators)};
}

// Stops at zero, since other processes may have taken more than is free.
inline void Subtract(TaskNeeds& free, const TaskNeeds& taken) {
  free.millicores -= std::min(free.millicores, taken.millicores);
  free.memory_mb -= std::min(free.memory_mb, taken.memory_mb);
  free.accelerators -= std::min(free.accelerators, taken.accelerators);
}

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_TASK_NEEDS_H_
