// Returns a seed that differs between processes and between their restarts.
#ifndef EGRETSWITCH_SRC_RANDOM_SEED_H_
#define EGRETSWITCH_SRC_RANDOM_SEED_H_

#include <cstdint>

namespace egretswitch::internal {

uint64_t RandomSeed();

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RANDOM_SEED_H_
