#include "worker_losses.h"

#include "absl/time/time.h"

namespace egretswitch::internal {
namespace {

// An agent notices a crash at once when connections are refused, and at the
// latest when the worker has been silent (kWorkerTimeout) and its last lease is
// certainly over: 1.26 s later. The rest is a margin for busy machines.
constexpr absl::Duration kSameEvent = absl::Milliseconds(1500);

// Far longer than a job is open.
constexpr absl::Duration kKeepLosses = absl::Seconds(30);

}  // namespace

void WorkerLosses::Record(const std::string& agent, MonoTime now) {
  while (!m_losses.empty() && now - m_losses.front().noticed_at > kKeepLosses) {
    m_losses.pop_front();
  }
  m_losses.push_back({agent, now});
}

size_t WorkerLosses::LostAround(MonoTime at,
                                const std::set<std::string>& apart) const {
  std::set<std::string> agents;
  for (const Loss& loss : m_losses) {
    if (absl::AbsDuration(loss.noticed_at - at) <= kSameEvent &&
        !apart.contains(loss.agent)) {
      agents.insert(loss.agent);
    }
  }
  return agents.size();
}

}  // namespace egretswitch::internal
