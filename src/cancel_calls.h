// The callers' open cancel calls: each is answered with what became of its
// job, or refused when no owner tells in time.
//
//   calls.Open(9, a17);
//   calls.Resolve(a17, refusal{kCancelled})  -> AnswerCaller{9, kCancelled}
#ifndef EGRETSWITCH_SRC_CANCEL_CALLS_H_
#define EGRETSWITCH_SRC_CANCEL_CALLS_H_

#include <cstdint>
#include <map>

#include "entry_refs.h"
#include "kernel.h"
#include "node_events.h"
#include "outcome.h"
#include "submission.h"

namespace egretswitch::internal {

class CancelCalls {
 public:
  explicit CancelCalls(Kernel& kernel);

  void Open(CallerToken token, const SubmissionKey& key);
  void Resolve(const SubmissionKey& key, const JobOutcome& outcome);

  // No owner of the job can be asked now.
  void Refuse(const SubmissionKey& key);

  void CallerGone(CallerToken token) { m_calls.erase(token); }
  void OnTick();
  bool Idle() const { return m_calls.empty(); }

 private:
  struct Call {
    SubmissionKey key;
    MonoTime since;
  };

  JobRefusal NoOwner();

  const EntryRefs& m_entry;
  std::map<CallerToken, Call> m_calls;
};

// Answers a caller and counts the answer or refusal.
void AnswerToken(NodeContext& context, CallerToken token, JobOutcome outcome);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CANCEL_CALLS_H_
