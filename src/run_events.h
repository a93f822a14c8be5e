// Events and actions of the two state machines that manage runs: RunManager in
// the agent and JobDispatcher in the entry. They have no other inputs or
// outputs.
//
//   PeerMessageReceived{entry-1, 7, StartRuns{...}}  ->  [StartCall{...}]
//   StartAnswered{key, kNoCapacity}  ->  [SendRunMessage{entry-1, ...}]
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

struct PeerConnected {
  std::string name;
  uint64_t incarnation = 0;
  std::string data_centre = {};
};

struct PeerDisconnected {
  std::string name;
  uint64_t incarnation = 0;
};

struct PeerMessageReceived {
  std::string name;
  uint64_t incarnation = 0;
  RunMessageBody body;
};

// A timer fired; see NextWake() of each state machine.
struct TimePassed {};

// The process received SIGTERM: it refuses new work and finishes what is open.
struct DrainBegan {};

// Sends a message to one incarnation of a peer; dropped if the link now leads
// to another process of that name.
struct SendRunMessage {
  std::string peer;
  uint64_t incarnation = 0;
  RunMessageBody body;
};

// ---- Agent ------------------------------------------------------------------

struct WorkerAnnounced {
  WorkerAnnouncement announcement;
};

// The worker has shut down; it runs nothing any more.
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

using RunManagerEvent = std::variant<PeerConnected,
                                     PeerDisconnected,
                                     PeerMessageReceived,
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

// ---- Entry ------------------------------------------------------------------

// A link to another entry came up.
struct EntryLinkUp {
  std::string name;
  uint64_t incarnation = 0;
  bool understands_attempts = false;
};

// Identifies one call of a caller within this process.
using CallId = uint64_t;

struct JobArrived {
  CallId call = 0;
  StepJob job;
  JobQueue queue;                 // as configured when the job arrived
  absl::Duration caller_timeout;  // how long the caller waits in total
  // Time since the request was received completely; counts towards
  // caller_timeout.
  absl::Duration waited = absl::ZeroDuration();
};

// The caller disconnected without waiting for the answer.
struct CallerLeft {
  CallId call = 0;
};

// Callers cancelled these jobs, at this or at another entry. The open ones end;
// those that arrive later do not start.
struct JobsCancelled {
  std::vector<std::string> jobs;
};

// Another process remembers these cancelled jobs.
struct CancelledJobsReceived {
  std::vector<CancelledJob> jobs;
};

// Whether this entry has received what other processes remember of cancelled
// jobs. It starts no job before.
struct CancelMemoryChanged {
  bool complete = false;
};

// The operators evacuated a data centre or ended an evacuation.
struct EvacuationsChanged {
  Evacuations state;
};

enum class JobVerdict : uint8_t {
  kCompleted = 0,  // every task succeeded
  kFailed,         // a task failed permanently
  kNotRun,         // refused; no task has run or will run
  kMayHaveRun,     // abandoned; tasks may have run, none is running any more
  kCancelled,      // by a caller; tasks may have run, none starts any more
};

std::string_view JobVerdictName(JobVerdict verdict);

struct JobAnswer {
  JobVerdict verdict = JobVerdict::kNotRun;
  std::string reason;  // empty when completed
  // Delay before the caller should retry; only with kNotRun.
  absl::Duration retry_after = absl::ZeroDuration();
};

struct AnswerJob {
  CallId call = 0;
  JobAnswer answer;
};

// What a caller's cancel came to.
enum class CancelVerdict : uint8_t {
  kCancelled = 0,  // the job was open; nothing of it starts any more
  kNotFound,       // no entry holds the job
  kUnconfirmed,    // not found, but not every entry could be asked
};

// Follows CheckCallers: a CallerLeft was handled for each caller that has left.
struct CallersChecked {};

using JobDispatcherEvent = std::variant<JobArrived,
                                        CallerLeft,
                                        CallersChecked,
                                        JobsCancelled,
                                        CancelledJobsReceived,
                                        CancelMemoryChanged,
                                        EntryLinkUp,
                                        PeerConnected,
                                        PeerDisconnected,
                                        PeerMessageReceived,
                                        EvacuationsChanged,
                                        TimePassed>;

// Opens a new link to a peer whose current link may be dead. The current link
// stays in use until the new one is up.
struct RedialPeer {
  std::string peer;
  uint64_t incarnation = 0;
};

// Looks at the connections of all callers now, without waiting for the event
// loop to report those that have ended.
struct CheckCallers {};

using JobDispatcherAction = std::variant<AnswerJob,
                                         SendRunMessage,
                                         RedialPeer,
                                         CheckCallers,
                                         NoteStateChange>;
using JobDispatcherActions = std::vector<JobDispatcherAction>;

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_EVENTS_H_
