// A start without an answer may still be carried out seconds later. The stop
// makes the worker refuse that run number from then on, so once it is answered
// the run is certainly over.
#include "managed_run.h"

#include <algorithm>

#include "run_limits.h"

namespace egretswitch::internal {

void ManagedRun::NoteCall(MonoTime now) {
  ++calls;
  ++calls_open;
  next_call = now + kStartRetry;
}

bool ManagedRun::MayCallAgain() const {
  return state == State::kStarting && calls < kMaxStartCalls;
}

// Only when each call was refused has the run certainly never started: a lost
// one may have started it, and then the worker refuses the next one as old.
ManagedRun::StartOutcome ManagedRun::NoteStartAnswer(CallVerdict verdict,
                                               MonoTime now) {
  calls_open -= std::min(calls_open, 1u);
  if (verdict == CallVerdict::kDone) {
    if (state != State::kStarting) {
      return StartOutcome::kOpen;
    }
    state = State::kRunning;
    since = now;
    started_at = now;
    spec.clear();
    return StartOutcome::kStarted;
  }
  if (verdict == CallVerdict::kUnknown) {
    ++calls_lost;
  } else {
    refusal = verdict;
  }
  const bool in_doubt = state == State::kStarting || state == State::kStopping;
  if (calls_open > 0 || !in_doubt) {
    return StartOutcome::kOpen;
  }
  if (calls_lost == 0) {
    return StartOutcome::kRefused;
  }
  if (state == State::kStopping) {
    return StartOutcome::kOpen;
  }
  state = State::kUnknown;
  since = now;
  return StartOutcome::kUnknown;
}

void ManagedRun::BeginStop(MonoTime now) {
  state = State::kStopping;
  stop_answered = false;
  next_stop = now + kStopRetry;
}

void ManagedRun::NoteStopAnswered(MonoTime now) {
  stop_answered = true;
  stop_answered_at = now;
}

// A list says nothing of what the worker was told after it was asked for it.
ManagedRun::ListOutcome ManagedRun::NoteList(bool listed,
                                       MonoTime requested_at,
                                       MonoTime now) {
  begun = begun || listed;
  if (state == State::kUnknown && listed) {
    state = State::kRunning;
    since = now;
    return ListOutcome::kKeep;
  }
  if (state == State::kUnknown && requested_at > since) {
    return ListOutcome::kStop;
  }
  if (state == State::kRunning && !listed && requested_at > since) {
    return ListOutcome::kGone;
  }
  if (state == State::kStopping && !listed && stop_answered &&
      requested_at > stop_answered_at) {
    return ListOutcome::kStopped;
  }
  return ListOutcome::kKeep;
}

bool ManagedRun::Doubtful() const {
  return state == State::kUnknown ||
         (state == State::kStopping && stop_answered);
}

}  // namespace egretswitch::internal
