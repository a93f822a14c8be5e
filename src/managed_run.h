// One run that an agent answers for, from the order to start it to its end.
//
//   starting --answered--> running --listed as ended--> reported
//       \--no answer--> unknown --listed as running--> running
//                              \--not listed--> stopping, then reported
#ifndef EGRETSWITCH_SRC_MANAGED_RUN_H_
#define EGRETSWITCH_SRC_MANAGED_RUN_H_

#include <cstdint>
#include <string>

#include "clock.h"
#include "run_messages.h"
#include "worker_calls.h"

namespace egretswitch::internal {

struct ManagedRun {
  enum class State : uint8_t {
    kStarting,  // calls to start it are under way
    kUnknown,   // none got an answer: the next look tells
    kRunning,
    kStopping,  // a stop was decided; the run counts until its end is seen
  };

  // What the answers to the calls to start it have come to.
  enum class StartOutcome : uint8_t {
    kOpen = 0,  // nothing new
    kStarted,
    kRefused,  // by each call: it never started
    kUnknown,  // it may have started, or may be started later
  };

  // What a list of the worker's runs says of this one.
  enum class ListOutcome : uint8_t {
    kKeep = 0,
    kStop,  // the start was not carried out, and must not be any more
    kGone,  // it ran, and has ended unseen
    kStopped,
  };

  std::string entry;
  uint64_t attempt = 0;  // the entry's, at the job
  TaskNeeds needs;
  std::string spec;  // until the start is answered
  State state = State::kStarting;
  absl::Duration suspect_for = absl::ZeroDuration();  // from its start on
  bool begun = false;  // the present life of the worker has said so
  MonoTime since = absl::ZeroDuration();       // of the state
  MonoTime started_at = absl::ZeroDuration();  // ordered, until it is answered

  uint32_t calls = 0;       // to start it
  uint32_t calls_open = 0;  // of these, neither answered nor given up
  uint32_t calls_lost = 0;  // of these, given up: may be carried out late
  CallVerdict refusal = CallVerdict::kRefused;  // the last one
  MonoTime next_call = absl::ZeroDuration();

  bool stop_answered = false;
  MonoTime stop_answered_at = absl::ZeroDuration();
  MonoTime next_stop = absl::ZeroDuration();

  // Whether it may crash its worker, as far as its task's former runs tell.
  bool Suspect(MonoTime now) const { return now - started_at < suspect_for; }

  // One more call to start it is made now.
  void NoteCall(MonoTime now);
  bool MayCallAgain() const;
  StartOutcome NoteStartAnswer(CallVerdict verdict, MonoTime now);

  void BeginStop(MonoTime now);
  void NoteStopAnswered(MonoTime now);

  // `requested_at` is when the list was asked for.
  ListOutcome NoteList(bool listed, MonoTime requested_at, MonoTime now);
  // Whether only a list can tell what became of it.
  bool Doubtful() const;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_MANAGED_RUN_H_
