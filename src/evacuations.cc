// A read may be older than the current state, if a peer sent a newer state
// while the read was in progress.
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

bool IsWellFormed(const Evacuations& state) {
  const std::vector<std::string>& names = state.data_centres;
  const auto misplaced = std::adjacent_find(
      names.begin(), names.end(),
      [](const auto& left, const auto& right) { return left >= right; });
  return misplaced == names.end() && (names.empty() || !names.front().empty());
}

Evacuations WithEvacuatedIn(const Evacuations& state,
                            const Evacuations& other) {
  Evacuations result{.through = state.through, .data_centres = {}};
  std::set_union(state.data_centres.begin(), state.data_centres.end(),
                 other.data_centres.begin(), other.data_centres.end(),
                 std::back_inserter(result.data_centres));
  return result;
}

std::vector<std::string> OnlyIn(const Evacuations& state,
                                const Evacuations& other) {
  std::vector<std::string> only;
  std::set_difference(state.data_centres.begin(), state.data_centres.end(),
                      other.data_centres.begin(), other.data_centres.end(),
                      std::back_inserter(only));
  return only;
}

Evacuations ApplyRead(const Evacuations& current, const EvacuationsRead& read) {
  if (read.through < current.through) {
    return current;
  }
  std::set<std::string> result;
  if (!read.whole) {
    result.insert(current.data_centres.begin(), current.data_centres.end());
  }
  for (const EvacuationRecord& record : read.records) {
    const bool applied = !read.whole && record.version <= current.through;
    if (applied) {
      continue;
    }
    if (record.evacuated) {
      result.insert(record.data_centre);
    } else {
      result.erase(record.data_centre);
    }
  }
  return {read.through, {result.begin(), result.end()}};
}

}  // namespace egretswitch::internal
