// What the jobs' side of an entry is built on, as one service ("entry") of its
// micro-kernel.
//
//   EntryRefs& entry = kernel.Find<EntryRefs>("entry");
//   entry.authority.Serves(shard)
#ifndef EGRETSWITCH_SRC_ENTRY_REFS_H_
#define EGRETSWITCH_SRC_ENTRY_REFS_H_

#include <cstdint>

#include "agent_directory.h"
#include "control_state.h"
#include "node_context.h"
#include "shard_authority.h"

namespace egretswitch::internal {

struct EntryRefs {
  NodeContext& context;
  const ControlState& control;
  const ShardAuthority& authority;
  AgentDirectory& agents;
  Hello self;
  uint32_t shard_count = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_ENTRY_REFS_H_
