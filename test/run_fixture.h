// Shared by the tests of the run state machines: a virtual clock, and filters
// for the actions that a state machine returned.
#ifndef EGRETSWITCH_TEST_RUN_FIXTURE_H_
#define EGRETSWITCH_TEST_RUN_FIXTURE_H_

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "clock.h"
#include "run_events.h"

namespace egretswitch::internal {

// Returns all actions of type `Wanted`, in their order.
template <typename Wanted, typename Action>
std::vector<Wanted> ActionsOf(const std::vector<Action>& actions) {
  std::vector<Wanted> found;
  for (const Action& action : actions) {
    if (const auto* wanted = std::get_if<Wanted>(&action)) {
      found.push_back(*wanted);
    }
  }
  return found;
}

// Returns the bodies of type `Body` that were sent to `peer`.
template <typename Body, typename Action>
std::vector<Body> SentTo(const std::string& peer,
                         const std::vector<Action>& actions) {
  std::vector<Body> found;
  for (const SendRunMessage& send : ActionsOf<SendRunMessage>(actions)) {
    const auto* body = std::get_if<Body>(&send.body);
    if (send.peer == peer && body != nullptr) {
      found.push_back(*body);
    }
  }
  return found;
}

// A clock that the test advances explicitly.
class VirtualClock {
 public:
  Now now() const { return {m_mono, 1'700'000'000'000}; }
  int64_t ms() const { return absl::ToInt64Milliseconds(m_mono); }
  void Advance(absl::Duration by) { m_mono += by; }

 private:
  MonoTime m_mono = absl::Seconds(100);
};

inline constexpr TaskNeeds kSixCores = {6000, 64, 0};
inline constexpr TaskNeeds kWholeWorker = {64000, 131072, 0};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_RUN_FIXTURE_H_
