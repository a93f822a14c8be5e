// The caller's deadline counts from its first attempt, so a repeat has less of
// it left. After a loss of power up to half of what arrives are repeats, so the
// upper quartile of what was seen is still that of first attempts.
#include "typical_timeout.h"

#include <algorithm>
#include <vector>

namespace egretswitch::internal {
namespace {

// Jobs of a queue that are remembered: some tenths of a second of a busy one.
constexpr size_t kRemembered = 32;
// Before so many are known nothing is said.
constexpr size_t kLeastKnown = 8;
// First attempts of one queue differ with the size of the job, by a fifth or so
// in the middle half; a caller that waited more than a second for an answer has
// less than this share left, unless its job is very long.
constexpr double kRepeatShare = 0.7;

absl::Duration UpperQuartile(const std::deque<absl::Duration>& seen) {
  std::vector<absl::Duration> sorted(seen.begin(), seen.end());
  const auto quartile =
      sorted.begin() + static_cast<ptrdiff_t>(sorted.size() * 3 / 4);
  std::nth_element(sorted.begin(), quartile, sorted.end());
  return *quartile;
}

}  // namespace

void TypicalTimeout::Record(const std::string& queue,
                            absl::Duration caller_timeout) {
  if (caller_timeout == absl::InfiniteDuration()) {
    return;
  }
  std::deque<absl::Duration>& seen = m_seen[queue];
  seen.push_back(caller_timeout);
  if (seen.size() > kRemembered) {
    seen.pop_front();
  }
}

bool TypicalTimeout::IsRepeat(const std::string& queue,
                              absl::Duration caller_timeout) const {
  const auto it = m_seen.find(queue);
  return it != m_seen.end() && it->second.size() >= kLeastKnown &&
         caller_timeout < kRepeatShare * UpperQuartile(it->second);
}

}  // namespace egretswitch::internal
