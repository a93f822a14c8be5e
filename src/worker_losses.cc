#include "worker_losses.h"

#include "absl/time/time.h"

namespace egretswitch::internal {
namespace {

// An agent detects a crash at once if connections are refused, and otherwise
// when the worker has been unresponsive for kWorkerTimeout and its last lease
// has certainly lapsed, at most 1.26 s later. The rest is a margin for busy
// machines.
constexpr absl::Duration kSameEvent = absl::Milliseconds(1500);

// Far longer than a job is open.
constexpr absl::Duration kLossRetention = absl::Seconds(30);

}  // namespace

void WorkerLosses::Record(const std::string& agent, MonoTime now) {
  while (!m_losses.empty() &&
         now - m_losses.front().detected_at > kLossRetention) {
    m_losses.pop_front();
  }
  m_losses.push_back({agent, now});
}

size_t WorkerLosses::LostAround(MonoTime at,
                                const std::set<std::string>& excluded) const {
  std::set<std::string> agents;
  for (const Loss& loss : m_losses) {
    if (absl::AbsDuration(loss.detected_at - at) <= kSameEvent &&
        !excluded.contains(loss.agent)) {
      agents.insert(loss.agent);
    }
  }
  return agents.size();
}

}  // namespace egretswitch::internal
