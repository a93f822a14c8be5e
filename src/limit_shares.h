// How a limit of the whole deployment is divided between the owners of shards
// without a message: unit i belongs to shard i * shard_count / limit.
//
//   ShareOf(8, 64, owns shards 0..31)   // 4; the owner of 32..63 has the rest
//
// The shares of all owners add up to the limit exactly.
#ifndef EGRETSWITCH_SRC_LIMIT_SHARES_H_
#define EGRETSWITCH_SRC_LIMIT_SHARES_H_

#include <cstdint>
#include <vector>

namespace egretswitch::internal {

// Units of `limit` that belong to the shards marked in `owned`, whose size is
// the shard count.
uint32_t ShareOf(uint32_t limit, const std::vector<bool>& owned);

// Part of a rate (per second) that belongs to the marked shards.
double RateShareOf(double rate, const std::vector<bool>& owned);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LIMIT_SHARES_H_
