// A read may be older than what is held: a neighbour that was ahead has told of
// its state while the read was under way.
#include "evacuations.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace egretswitch::internal {

bool Evacuations::Covers(std::string_view data_centre) const {
  return std::binary_search(data_centres.begin(), data_centres.end(),
                            data_centre);
}

bool IsNewer(const Evacuations& state, const Evacuations& than) {
  return state.through > than.through;
}

std::vector<std::string> OnlyIn(const Evacuations& state,
                                const Evacuations& other) {
  std::vector<std::string> only;
  std::set_difference(state.data_centres.begin(), state.data_centres.end(),
                      other.data_centres.begin(), other.data_centres.end(),
                      std::back_inserter(only));
  return only;
}

Evacuations ApplyRead(const Evacuations& held, const EvacuationsRead& read) {
  if (read.through < held.through) {
    return held;
  }
  std::set<std::string> covered;
  if (!read.whole) {
    covered.insert(held.data_centres.begin(), held.data_centres.end());
  }
  for (const EvacuationRecord& record : read.records) {
    const bool counted = !read.whole && record.version <= held.through;
    if (counted) {
      continue;
    }
    if (record.evacuated) {
      covered.insert(record.data_centre);
    } else {
      covered.erase(record.data_centre);
    }
  }
  return {read.through, {covered.begin(), covered.end()}};
}

}  // namespace egretswitch::internal
