// What happens to the decisions about runs, on the agent's side (RunManager)
// and on the entry's (JobDispatcher), and what they ask for: their whole
// interface to the world.
//
//   EntrySaid{entry-1, StartRuns{...}}  ->  [StartCall{...}]
//   StartAnswered{key, kNoRoom}         ->  [SendRunMessage{entry-1, ...}]
#ifndef EGRETSWITCH_SRC_RUN_EVENTS_H_
#define EGRETSWITCH_SRC_RUN_EVENTS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "clock.h"
#include "evacuations.h"
#include "node_events.h"
#include "run_messages.h"
#include "service_config.h"
#include "step_job.h"
#include "worker_calls.h"

namespace egretswitch::internal {

// ---- Shared -----------------------------------------------------------------

struct PeerUp {
  std::string name;
  uint64_t incarnation = 0;
  std::string data_centre = {};
};

struct PeerDown {
  std::string name;
  uint64_t incarnation = 0;
};

struct PeerSaid {
  std::string name;
  uint64_t incarnation = 0;
  RunMessageBody body;
};

// Time passes; see NextWake() of each side.
struct TimePassed {};

// SIGTERM: take nothing new, finish what is in hand.
struct DrainBegan {};

// Meant for this one process: dropped when the link is to another of its name.
struct SendRunMessage {
  std::string peer;
  uint64_t incarnation = 0;
  RunMessageBody body;
};

// ---- The agent's side
// ---------------------------------------------------------

struct WorkerAnnounced {
  WorkerAnnouncement announcement;
};

// The worker ends; nothing runs there any more.
struct WorkerWithdrew {
  std::string worker_id;
};

struct StartAnswered {
  StartCall call;
  CallAnswer answer;
};

struct StopAnswered {
  StopCall call;
  CallAnswer answer;
};

struct PollAnswered {
  PollCall call;
  MonoTime requested_at = absl::ZeroDuration();
  PollAnswer answer;
};

using RunManagerEvent = std::variant<PeerUp,
                                     PeerDown,
                                     PeerSaid,
                                     TimePassed,
                                     DrainBegan,
                                     WorkerAnnounced,
                                     WorkerWithdrew,
                                     StartAnswered,
                                     StopAnswered,
                                     PollAnswered>;

using RunManagerAction = std::
    variant<SendRunMessage, StartCall, StopCall, PollCall, NoteStateChange>;
using RunManagerActions = std::vector<RunManagerAction>;

// ---- The entry's side
// ---------------------------------------------------------

// Names one call of a caller within this process.
using CallId = uint64_t;

struct JobArrived {
  CallId call = 0;
  StepJob job;
  JobQueue queue;           // as of the job's arrival
  absl::Duration patience;  // how long the caller waits in all
  // Since its request was whole: a part of the caller's patience.
  absl::Duration waited = absl::ZeroDuration();
};

// The caller no longer waits for the answer.
struct CallerLeft {
  CallId call = 0;
};

// The operators evacuate a data centre or take one back.
struct EvacuationsChanged {
  Evacuations state;
};

enum class JobVerdict : uint8_t {
  kCompleted = 0,  // every task ended well
  kFailed,         // a task failed for good
  kNotRun,         // refused; nothing of it ran or ever will
  kMayHaveRun,     // given up; tasks of it ran, none does any more
};

std::string_view JobVerdictName(JobVerdict verdict);

struct JobAnswer {
  JobVerdict verdict = JobVerdict::kNotRun;
  std::string reason;  // empty when completed
  // When to come back; only with kNotRun.
  absl::Duration retry_after = absl::ZeroDuration();
};

struct AnswerJob {
  CallId call = 0;
  JobAnswer answer;
};

using JobDispatcherEvent = std::variant<JobArrived,
                                        CallerLeft,
                                        PeerUp,
                                        PeerDown,
                                        PeerSaid,
                                        EvacuationsChanged,
                                        TimePassed>;

// The link to this process may be dead: another one is to take its place. Until
// it is up, the old one stays as it is.
struct DialAgain {
  std::string peer;
  uint64_t incarnation = 0;
};

using JobDispatcherAction =
    std::variant<AnswerJob, SendRunMessage, DialAgain, NoteStateChange>;
using JobDispatcherActions = std::vector<JobDispatcherAction>;

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_EVENTS_H_
