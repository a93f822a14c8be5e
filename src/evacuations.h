// Which data centres the operators have evacuated: workers there get nothing
// new until the data centre is taken back.
//
//   Evacuations held{.through = 12, .data_centres = {"south"}};
//   held.Covers("south")                                      -> true
//   IsNewer({.through = 9, .data_centres = {}}, held)         -> false
//
// This is the state of the operators' table as of one offset, so of two states
// the one that was read further is right as a whole: an old one, from whomever,
// never undoes a newer one.
#ifndef EGRETSWITCH_SRC_EVACUATIONS_H_
#define EGRETSWITCH_SRC_EVACUATIONS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "msgpack_config.h"

namespace egretswitch::internal {

struct Evacuations {
  // All records of the table before this offset are counted; 0: nothing is
  // known yet.
  uint64_t through = 0;
  std::vector<std::string> data_centres;  // sorted
  bool operator==(const Evacuations&) const = default;
  MSGPACK_DEFINE(through, data_centres)

  bool IsLoaded() const { return through > 0; }
  bool Covers(std::string_view data_centre) const;
};

bool IsNewer(const Evacuations& state, const Evacuations& than);

// In `state` and not in `other`.
std::vector<std::string> OnlyIn(const Evacuations& state,
                                const Evacuations& other);

// One record of the table.
struct EvacuationRecord {
  std::string data_centre;
  bool evacuated = false;  // false: taken back
  uint64_t version = 0;    // its offset, plus 1
};

// A read of the table.
struct EvacuationsRead {
  std::vector<EvacuationRecord> records;  // by version
  uint64_t through = 0;
  // All that is evacuated is among the records; otherwise they only change what
  // was known.
  bool whole = false;
};

// What is known after the read. What was evacuated stays so until its taking
// back is read: by its own record, or by its absence from a whole read.
Evacuations ApplyRead(const Evacuations& held, const EvacuationsRead& read);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_EVACUATIONS_H_
