// A caller's deadline counts from its first attempt, so a repeat has less time
// left. After a power loss up to half of the arriving jobs are repeats; the
// upper quartile of the samples is then still that of first attempts.
#include "typical_timeout.h"

#include <algorithm>
#include <vector>

namespace egretswitch::internal {
namespace {

// Samples kept for each queue: some tenths of a second of a busy queue.
constexpr size_t kMaxSamples = 32;
// With fewer samples no job is reported as a repeat.
constexpr size_t kMinSamples = 8;
// The timeouts of first attempts at one queue vary with the size of the job:
// the middle half by about a fifth. A caller that has waited more than a second
// for an answer has less than this fraction left, unless its job is very long.
constexpr double kRepeatFraction = 0.7;

absl::Duration UpperQuartile(const std::deque<absl::Duration>& samples) {
  std::vector<absl::Duration> sorted(samples.begin(), samples.end());
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
  std::deque<absl::Duration>& samples = m_samples[queue];
  samples.push_back(caller_timeout);
  if (samples.size() > kMaxSamples) {
    samples.pop_front();
  }
}

bool TypicalTimeout::IsRepeat(const std::string& queue,
                              absl::Duration caller_timeout) const {
  const auto it = m_samples.find(queue);
  return it != m_samples.end() && it->second.size() >= kMinSamples &&
         caller_timeout < kRepeatFraction * UpperQuartile(it->second);
}

}  // namespace egretswitch::internal
