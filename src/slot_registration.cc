#include "slot_registration.h"

#include <algorithm>
#include <random>
#include <utility>

namespace egretswitch::internal {
namespace {

constexpr absl::Duration kLongestPause = absl::Seconds(10);

}  // namespace

SlotRegistration::SlotRegistration(const Kernel& kernel,
                                   SlotRegistered record,
                                   std::string append_id)
    : m_context(kernel.Find<NodeContext>("context")),
      m_record(std::move(record)),
      m_append_id(std::move(append_id)) {}

void SlotRegistration::Begin() {
  if (!m_next_attempt.has_value() || m_context.now().mono < *m_next_attempt) {
    return;
  }
  m_next_attempt.reset();
  m_context.counters().Add(Counter::kLogAppends);
  m_context.Do(AppendLog{{m_append_id, m_record}});
}

void SlotRegistration::OnAppendDone(std::string_view append_id) {
  if (append_id == m_append_id) {
    m_next_attempt.reset();
  }
}

void SlotRegistration::OnAppendFailed(std::string_view append_id) {
  if (append_id != m_append_id) {
    return;
  }
  m_context.counters().Add(Counter::kLogAppendFailures);
  m_next_attempt = m_context.now().mono + NextPause();
}

// All agents lose the log together: equal pauses would make them return to it
// together as well.
absl::Duration SlotRegistration::NextPause() {
  const absl::Duration shortest = m_shortest_pause;
  m_shortest_pause = std::min(2 * shortest, kLongestPause / 2);
  std::uniform_real_distribution<double> spread(1.0, 2.0);
  return shortest * spread(m_context.random());
}

}  // namespace egretswitch::internal
