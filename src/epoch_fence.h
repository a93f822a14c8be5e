// Refuses owners that have been replaced: the highest epoch seen of each shard.
//
//   fence.Raise(3, 5);   // FenceShards of the new owner
//   fence.Admit(3, 4)    // false: the former owner
//   fence.Admit(3, 6)    // true, and the fence is 6 from now on
#ifndef EGRETSWITCH_SRC_EPOCH_FENCE_H_
#define EGRETSWITCH_SRC_EPOCH_FENCE_H_

#include <map>

#include "messages.h"

namespace egretswitch::internal {

class EpochFence {
 public:
  // Raises the fence of the shard to `epoch`, never lowers it.
  void Raise(ShardId shard, Epoch epoch);

  // Whether an owner under `epoch` is heeded; if so, raises the fence to it.
  bool Admit(ShardId shard, Epoch epoch);

  // 0 while no epoch of the shard has been seen.
  Epoch Of(ShardId shard) const;

 private:
  std::map<ShardId, Epoch> m_epochs;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_EPOCH_FENCE_H_
