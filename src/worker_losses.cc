#include "worker_losses.h"

#include "absl/time/time.h"
#include "run_limits.h"

namespace egretswitch::internal {
namespace {

// An agent notices a crash when the next life of its worker answers, or when
// the worker has been silent and its last lease is over. Two agents notice one
// event so far apart at most, with a margin for busy machines.
const absl::Duration kSameEvent =
    kWorkerSilence + kWorkerLease + absl::Milliseconds(100);

// Far longer than a job is open.
constexpr absl::Duration kKeepLosses = absl::Seconds(30);

}  // namespace

void WorkerLosses::Note(const std::string& agent, MonoTime now) {
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
