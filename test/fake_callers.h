// Callers behind a balancer: they submit, resubmit after a refusal or a lost
// connection, cancel and hang up, and write down what they are told.
//
//   callers.Submit(plan);                   // now, through plan.entry
//   callers.OnAnswer(AnswerCaller{token});  // from an entry
#ifndef EGRETSWITCH_TEST_FAKE_CALLERS_H_
#define EGRETSWITCH_TEST_FAKE_CALLERS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "history.h"
#include "node_events.h"
#include "scenario.h"
#include "virtual_time.h"

namespace egretswitch::internal {

// How an entry's host takes a new connection. A lost host looks open to the
// balancer, but what is sent there is lost.
enum class EntryDoor : uint8_t { kOpen = 0, kDraining, kRefuses, kSilent };

// What the callers use of the world.
struct CallerPort {
  std::function<EntryDoor(const std::string& entry)> door;
  std::function<void(const std::string& entry, EntryEvent event)> send;
};

class FakeCallers {
 public:
  FakeCallers(VirtualTime& time,
              History& history,
              std::vector<std::string> entries,
              CallerPort port);

  void Submit(const JobPlan& plan, bool in_tail);

  // The last sent submission arrives once more at another entry, late, and
  // nobody waits for its answer.
  void ReplayLate(VirtualUs delay);

  // From now on callers declare ten times the run time.
  void DeclareWrongly() { m_declared_factor = 10; }

  void OnAnswer(const AnswerCaller& answer);

  // The connections to the entry that were opened until then are lost.
  void OnEntryGone(const std::string& entry, VirtualUs opened_until);

 private:
  struct Attempts {
    uint32_t made = 0;
    bool complete = false;
  };

  void Send(const SubmissionKey& key, uint32_t entry);
  RequestRecord& OpenRequest(const SubmissionKey& key,
                             const std::string& entry);
  void SendOn(const SubmissionKey& key, const std::string& entry);
  void SendLater(const SubmissionKey& key, uint32_t entry, VirtualUs delay);
  void Cancel(const SubmissionKey& key);
  void HangUp(uint64_t token);
  void React(uint64_t token);
  RequestRecord& Request(uint64_t token) {
    return m_history.requests[token - 1];
  }
  std::string PickEntry(uint32_t wanted) const;
  uint32_t AfterEntry(const std::string& entry) const;

  VirtualTime& m_time;
  History& m_history;
  std::vector<std::string> m_entries;
  CallerPort m_port;
  uint32_t m_declared_factor = 1;
  int64_t m_skew_ms;
  std::map<SubmissionKey, Attempts> m_attempts;
};

// Wall clock of the world at virtual time 0.
inline constexpr int64_t kWallStartMs = 1'700'000'000'000;

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_FAKE_CALLERS_H_
