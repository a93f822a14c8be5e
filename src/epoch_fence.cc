#include "epoch_fence.h"

#include <algorithm>

namespace egretswitch::internal {

void EpochFence::Raise(ShardId shard, Epoch epoch) {
  Epoch& fence = m_epochs[shard];
  fence = std::max(fence, epoch);
}

bool EpochFence::Admit(ShardId shard, Epoch epoch) {
  if (epoch < Of(shard)) {
    return false;
  }
  Raise(shard, epoch);
  return true;
}

Epoch EpochFence::Of(ShardId shard) const {
  const auto it = m_epochs.find(shard);
  return it == m_epochs.end() ? 0 : it->second;
}

}  // namespace egretswitch::internal
