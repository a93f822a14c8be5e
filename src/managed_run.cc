// A start without an answer may still be carried out seconds later. A stop
// makes the worker refuse that run number from then on, so the run is certainly
// over once the stop is answered.
#include "managed_run.h"

#include <algorithm>

#include "run_limits.h"

namespace egretswitch::internal {

void ManagedRun::RecordStartCall(MonoTime now) {
  ++start_calls;
  ++start_calls_pending;
  next_start_call = now + kStartRetry;
}

bool ManagedRun::MayRetryStart() const {
  return state == State::kStarting && start_calls < kMaxStartCalls;
}

// The run has certainly never started only if each call was refused: a lost
// call may have started it, in which case the worker refuses the next one as
// old. A worker may also refuse a repeated call for a run that it has
// confirmed.
ManagedRun::StartOutcome ManagedRun::RecordStartAnswer(CallVerdict verdict,
                                                       MonoTime now) {
  start_calls_pending -= std::min(start_calls_pending, 1u);
  if (verdict == CallVerdict::kDone) {
    start_confirmed = true;
    if (state != State::kStarting) {
      return StartOutcome::kPending;
    }
    state = State::kRunning;
    state_since = now;
    started_at = now;
    spec.clear();
    return StartOutcome::kStarted;
  }
  if (verdict == CallVerdict::kUnknown) {
    ++start_calls_lost;
  } else {
    refusal = verdict;
  }
  const bool unresolved =
      state == State::kStarting || state == State::kStopping;
  if (start_calls_pending > 0 || !unresolved) {
    return StartOutcome::kPending;
  }
  if (start_calls_lost == 0 && !start_confirmed) {
    return StartOutcome::kRefused;
  }
  if (state == State::kStopping) {
    return StartOutcome::kPending;
  }
  state = State::kUnknown;
  state_since = now;
  return StartOutcome::kUnknown;
}

void ManagedRun::BeginStop(MonoTime now) {
  state = State::kStopping;
  stop_overdue_at = now >= ExpiresAt() ? now : now + kStopOverdue;
  stop_answered = false;
  next_stop = now + kStopRetry;
}

void ManagedRun::RecordStopAnswer(MonoTime now) {
  stop_answered = true;
  stop_answered_at = now;
}

// A list does not reflect calls that were made after it was requested.
ManagedRun::ListOutcome ManagedRun::ReconcileWithList(bool listed,
                                                      MonoTime requested_at,
                                                      MonoTime now) {
  begun = begun || listed;
  if (state == State::kUnknown && listed) {
    state = State::kRunning;
    state_since = now;
    return ListOutcome::kKeep;
  }
  if (state == State::kUnknown && requested_at > state_since) {
    return ListOutcome::kStop;
  }
  if (state == State::kRunning && !listed && requested_at > state_since) {
    return ListOutcome::kEnded;
  }
  if (state == State::kStopping && !listed && stop_answered &&
      requested_at > stop_answered_at) {
    return ListOutcome::kStopped;
  }
  return ListOutcome::kKeep;
}

bool ManagedRun::NeedsList() const {
  return state == State::kUnknown ||
         (state == State::kStopping && stop_answered);
}

}  // namespace egretswitch::internal
