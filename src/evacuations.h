// The data centres that the operators have evacuated. Workers there get no new
// tasks until the data centre is taken back into service.
//
//   Evacuations current{.through = 12, .data_centres = {"south"}};
//   current.Covers("south")                                   -> true
//   IsNewer({.through = 9, .data_centres = {}}, current)      -> false
//
// The state is that of the operators' table as of one offset. Of two states,
// the one with the higher offset replaces the other as a whole, whichever
// process sent it, so an old state never undoes a newer one.
#ifndef EGRETSWITCH_SRC_EVACUATIONS_H_
#define EGRETSWITCH_SRC_EVACUATIONS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "msgpack_config.h"

namespace egretswitch::internal {

struct Evacuations {
  // All records of the table before this offset are applied; 0 before the first
  // read.
  uint64_t through = 0;
  std::vector<std::string> data_centres;  // sorted
  bool operator==(const Evacuations&) const = default;
  MSGPACK_DEFINE(through, data_centres)

  bool IsLoaded() const { return through > 0; }
  bool Covers(std::string_view data_centre) const;
};

bool IsNewer(const Evacuations& state, const Evacuations& than);

// Whether the names are sorted, distinct and not empty. What is read from the
// store always is.
bool IsWellFormed(const Evacuations& state);

// Returns the state with its offset and the data centres that either state
// lists.
Evacuations WithEvacuatedIn(const Evacuations& state, const Evacuations& other);

// Returns the data centres that are in `state` and not in `other`.
std::vector<std::string> OnlyIn(const Evacuations& state,
                                const Evacuations& other);

// One record of the table.
struct EvacuationRecord {
  std::string data_centre;
  bool evacuated = false;  // false: taken back into service
  uint64_t version = 0;    // its offset, plus 1
};

// The result of reading the table.
struct EvacuationsRead {
  std::vector<EvacuationRecord> records;  // by version
  uint64_t through = 0;
  // Whether the records are a complete snapshot of the evacuated data centres;
  // otherwise they are changes to the previous state.
  bool whole = false;
};

// Returns the state after applying the read. A data centre stays evacuated
// until a record takes it back, or a complete snapshot does not list it.
Evacuations ApplyRead(const Evacuations& current, const EvacuationsRead& read);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_EVACUATIONS_H_
