// State machine of one run that an agent manages, from the start order to the
// run's end.
//
//   starting --answered--> running --listed as ended--> reported
//       \--no answer--> unknown --listed as running--> running
//                              \--not listed--> stopping, then reported
#ifndef EGRETSWITCH_SRC_MANAGED_RUN_H_
#define EGRETSWITCH_SRC_MANAGED_RUN_H_

#include <cstdint>
#include <string>

#include "clock.h"
#include "run_limits.h"
#include "run_messages.h"
#include "worker_calls.h"

namespace egretswitch::internal {

struct ManagedRun {
  enum class State : uint8_t {
    kStarting,  // start calls are in flight
    kUnknown,   // no start call was answered; the next poll resolves it
    kRunning,
    kStopping,  // being stopped; uses capacity until its end is confirmed
  };

  // The combined result of the answers to the start calls so far.
  enum class StartOutcome : uint8_t {
    kPending = 0,  // no change
    kStarted,
    kRefused,  // each call was refused: the run never started
    kUnknown,  // the run may have started, or may still start
  };

  // What follows for this run from a list of the worker's runs.
  enum class ListOutcome : uint8_t {
    kKeep = 0,
    kStop,     // the start was not carried out, and must not be later
    kEnded,    // it ran, and its end was not reported
    kStopped,  // the stop is confirmed
  };

  std::string entry;
  uint64_t entry_incarnation = 0;  // of the process that started it
  uint64_t attempt = 0;            // number of the entry's attempt at the job
  // When the entry sent its last message that wants this run.
  MonoTime wanted_at = absl::ZeroDuration();
  // Whether its entry has connected again since, and not renewed it.
  bool from_earlier_link = false;
  TaskNeeds needs;
  std::string spec;  // cleared when the start is confirmed
  State state = State::kStarting;
  absl::Duration suspect_for = absl::ZeroDuration();  // from started_at
  bool begun = false;  // confirmed by the worker's present incarnation
  MonoTime state_since = absl::ZeroDuration();
  // The time of the answer to the start; of the order until it is answered.
  MonoTime started_at = absl::ZeroDuration();

  uint32_t start_calls = 0;
  uint32_t start_calls_pending = 0;  // neither answered nor timed out
  uint32_t start_calls_lost = 0;     // timed out: may still be carried out late
  bool start_confirmed = false;      // a call was answered as carried out
  CallVerdict refusal = CallVerdict::kRefused;  // of the latest refused call
  MonoTime next_start_call = absl::ZeroDuration();

  // When its stop is overdue; infinite unless it is being stopped.
  MonoTime stop_overdue_at = absl::InfiniteDuration();
  bool overdue_logged = false;
  bool stop_answered = false;
  MonoTime stop_answered_at = absl::ZeroDuration();
  MonoTime next_stop = absl::ZeroDuration();

  // When the run is stopped if no further message wants it.
  MonoTime ExpiresAt() const { return wanted_at + kRunLease; }

  // Whether the run may crash its worker, judging by former runs of its task.
  bool Suspect(MonoTime now) const { return now - started_at < suspect_for; }

  // A further start call is made now.
  void RecordStartCall(MonoTime now);
  bool MayRetryStart() const;
  StartOutcome RecordStartAnswer(CallVerdict verdict, MonoTime now);

  void BeginStop(MonoTime now);
  void RecordStopAnswer(MonoTime now);

  // `requested_at` is when the list was requested.
  ListOutcome ReconcileWithList(bool listed,
                                MonoTime requested_at,
                                MonoTime now);
  // Whether only a list of the worker's runs can resolve this run's state.
  bool NeedsList() const;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_MANAGED_RUN_H_
