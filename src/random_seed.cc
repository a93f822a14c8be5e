#include "random_seed.h"

#include <random>

namespace egretswitch::internal {

uint64_t RandomSeed() {
  std::random_device device;
  return device();
}

}  // namespace egretswitch::internal
