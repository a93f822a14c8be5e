#include "limit_shares.h"

#include <algorithm>

namespace egretswitch::internal {
namespace {

// Units i < limit with i * shard_count / limit < shard, for the bound of a
// shard's units: the smallest i with i * shard_count >= shard * limit.
uint64_t FirstUnitOf(uint64_t shard, uint64_t limit, uint64_t shard_count) {
  return (shard * limit + shard_count - 1) / shard_count;
}

}  // namespace

uint32_t ShareOf(uint32_t limit, const std::vector<bool>& owned) {
  const uint64_t shard_count = owned.size();
  uint64_t units = 0;
  for (uint64_t shard = 0; shard < shard_count; ++shard) {
    if (owned[shard]) {
      units += FirstUnitOf(shard + 1, limit, shard_count) -
               FirstUnitOf(shard, limit, shard_count);
    }
  }
  return static_cast<uint32_t>(units);
}

double RateShareOf(double rate, const std::vector<bool>& owned) {
  if (owned.empty()) {
    return 0;
  }
  const auto count = std::count(owned.begin(), owned.end(), true);
  return rate * static_cast<double>(count) / static_cast<double>(owned.size());
}

}  // namespace egretswitch::internal
