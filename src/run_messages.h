// Messages between entries and agents about runs of tasks, and between entries
// about the deployment, as plain data.
//
//   entry  StartRuns{job 5c0e, tasks 0..3}   ->  agent
//   entry  RenewRuns{}  every kRenewPeriod   ->  agent
//   entry  Evacuations{}  on each link       ->  agent
//   entry  <-  RunReports{5c0e/0/0 done; 12000 millicores free}
//
// Timestamps that limit the age of a message are on the agent's clock. An entry
// estimates that clock from the agent's messages (remote_clock.h) and stamps
// its own messages with it, so no two processes need synchronized clocks.
#ifndef EGRETSWITCH_SRC_RUN_MESSAGES_H_
#define EGRETSWITCH_SRC_RUN_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "evacuations.h"
#include "msgpack_config.h"
#include "step_job.h"
#include "table_messages.h"
#include "worker_announcement.h"

namespace egretswitch::internal {

// One run of a task; the message names the job and the step.
struct RunStart {
  uint32_t index = 0;
  RunNumber run = 0;
  // How long after its start the task may crash its worker, judged by crashes
  // under its previous runs (SuspectMs()); 0 if it is not suspected.
  uint32_t suspect_ms = 0;
  MSGPACK_DEFINE(index, run, suspect_ms)
};

// Starts tasks of one step of a job on the agent's worker.
struct StartRuns {
  int64_t sent_at_ms = 0;  // on the agent's clock, never ahead of it
  uint64_t sequence = 0;   // per sender, rises by one
  std::string worker;      // the incarnation of the worker to start them on
  uint64_t attempt = 0;    // the sender's number for this attempt at the job
  std::string job;
  std::string spec;
  uint32_t step = 0;
  TaskNeeds needs;       // of each task
  uint32_t urgency = 0;  // of the job, 0 is the most urgent
  std::vector<RunStart> runs;
  MSGPACK_DEFINE(sent_at_ms,
                 sequence,
                 worker,
                 attempt,
                 job,
                 spec,
                 step,
                 needs,
                 urgency,
                 runs)
};

// Stops these runs of the job, or all of them if none is listed.
struct StopRuns {
  std::string job;
  uint32_t step = 0;
  std::vector<RunStart> runs;
  MSGPACK_DEFINE(job, step, runs)
};

// The free capacity that an entry requests for its waiting tasks of one
// urgency.
struct CapacityRequest {
  uint32_t urgency = 0;  // 0 is the most urgent
  TaskNeeds needs;       // of the smallest task
  uint32_t tasks = 0;    // how many tasks wait
  bool operator==(const CapacityRequest&) const = default;
  MSGPACK_DEFINE(urgency, needs, tasks)
};

// A run that the sender has started and received no end for.
struct OrderedRun {
  TaskRef task;
  RunNumber run = 0;
  uint64_t attempt = 0;  // as in StartRuns
  MSGPACK_DEFINE(task, run, attempt)
};

// Renews the lease of the sender's runs on this agent.
struct RenewRuns {
  int64_t sent_at_ms = 0;  // as in StartRuns
  // Capacity requested on this worker, the most urgent first. The agent
  // notifies the sender when there is free capacity. If empty, the previous
  // request holds.
  std::vector<CapacityRequest> wanted;
  // Set in the first renewal on a new link: the runs started over earlier
  // links. The agent reports each of these that it does not hold, since the
  // start or the report of the end may have been lost.
  std::vector<OrderedRun> ordered_before = {};
  // The attempts (as in StartRuns) whose runs the sender wants on this agent.
  // Each renewal names all of them. Absent in renewals of earlier versions.
  std::optional<std::vector<uint64_t>> wanted_attempts = {};
  MSGPACK_DEFINE(sent_at_ms, wanted, ordered_before, wanted_attempts)
};

enum class RunEnd : uint8_t {
  kDone = 0,
  kFailed,       // the task's or the worker's fault; it ran
  kStopped,      // by a StopRuns or because its lease lapsed; it ran
  kWorkerLost,   // its worker crashed, became unresponsive or left
  kNoCapacity,   // never started: it does not fit beside the present runs
  kLeaving,      // never started: the worker takes no new tasks
  kStale,        // never started: too old, or for a previous incarnation
  kOldNumber,    // never started: the worker has seen this run number or higher
  kRefused,      // never started: the worker refused it
  kEvacuated,    // never started: the data centre is evacuated
  kUnreachable,  // never started: no connection to the worker
  // Never started: another task that may crash its worker has just begun there.
  kSuspectBeside,
};

// Whether a run with this end did no work at all.
inline bool NeverStarted(RunEnd end) {
  return end >= RunEnd::kNoCapacity;
}

// What an agent has recorded of a run that ended with its worker.
enum class RunLoss : uint8_t {
  kMayHaveBegun = 0,  // the worker never confirmed its start
  kWorkerGone,        // it had begun; the worker was unresponsive or leaving
  kWorkerCrashed,     // it had begun; another incarnation answers
};

struct RunReport {
  TaskRef task;
  RunNumber run = 0;
  RunEnd end = RunEnd::kDone;
  uint32_t run_ms =
      0;  // from the answer to its start, or its order, to its end
  // As in StartRuns: a caller may submit a job again while a start of its
  // previous attempt is still in flight.
  uint64_t attempt = 0;
  RunLoss loss = RunLoss::kMayHaveBegun;  // with kWorkerLost
  MSGPACK_DEFINE(task, run, end, run_ms, attempt, loss)
};

// State of the worker beside an agent.
struct WorkerStatus {
  std::string worker;  // its incarnation; empty before the first contact
  std::string service;
  std::string kind;  // workers of one kind are equally fast
  TaskNeeds capacity;
  TaskNeeds free;
  uint64_t started_through = 0;  // StartRuns of the receiver counted in `free`
  bool accepting = false;        // neither leaving, unresponsive nor evacuated
  uint64_t evacuations = 0;      // offset of the agent's state (evacuations.h)
  // How long the worker's lease may still last, where that may exceed what the
  // agent requested; 0 otherwise.
  uint32_t lease_bound_ms = 0;
  MSGPACK_DEFINE(worker,
                 service,
                 kind,
                 capacity,
                 free,
                 started_through,
                 accepting,
                 evacuations,
                 lease_bound_ms)
};

struct RunReports {
  int64_t clock_ms = 0;  // the agent's clock at sending
  WorkerStatus worker;
  std::vector<RunReport> reports;
  MSGPACK_DEFINE(clock_ms, worker, reports)
};

// An entry's record of a worker, for an agent that has just started. The agent
// uses it once the worker has answered a call, and need not wait for the
// worker's next announcement.
struct WorkerHint {
  WorkerAnnouncement worker;
  MSGPACK_DEFINE(worker)
};

struct CancelRequest {
  // Drawn by the entry that a caller asked, and kept when it is passed on.
  uint64_t request = 0;
  std::string job;
  // How many more links the request may be passed on over.
  uint32_t hops = 0;
  MSGPACK_DEFINE(request, job, hops)
};

// Asks a linked entry to cancel jobs, and not to start them if they arrive
// later.
struct CancelStepJobs {
  std::vector<CancelRequest> requests;
  MSGPACK_DEFINE(requests)
};

struct CancelReply {
  uint64_t request = 0;
  // Whether the job was open at the replying entry, or at one that it asked.
  bool cancelled = false;
  // Whether each entry that was asked has replied.
  bool complete = false;
  MSGPACK_DEFINE(request, cancelled, complete)
};

// Replies to requests of CancelStepJobs.
struct StepJobsCancelled {
  std::vector<CancelReply> replies;
  MSGPACK_DEFINE(replies)
};

// A cancelled job as its sender remembers it.
struct CancelledJob {
  std::string job;
  uint32_t age_ms = 0;  // since its latest cancel
  bool held = false;    // as in CancelledJobs::Add()
  MSGPACK_DEFINE(job, age_ms, held)
};

// Asks a peer for the cancelled jobs that it remembers.
struct CancelledJobsRequest {
  // Only the jobs that the peer learnt of within this time.
  uint32_t learnt_within_ms = 0;
  // Only the jobs with higher ids: the last id of the previous part.
  std::string after = {};
  MSGPACK_DEFINE(learnt_within_ms, after)
};

// Some cancelled jobs. An agent that receives a part that it did not request is
// to remember the sender's cancelled jobs from then on.
struct CancelledJobsPart {
  std::vector<CancelledJob> jobs = {};
  bool requested = false;  // answers a CancelledJobsRequest
  bool last = false;       // no further part answers that request
  // Whether the sender has received the memory of its peers since its start.
  bool complete = false;
  MSGPACK_DEFINE(jobs, requested, last, complete)
};

// An attempt at a job that its sender has open, or whose runs may go on there.
struct OpenAttempt {
  std::string job;
  uint64_t attempt = 0;  // as in StartRuns
  uint32_t age_ms = 0;   // since the job arrived
  MSGPACK_DEFINE(job, attempt, age_ms)
};

// Tells a linked entry of attempts that are some time old. Sent every
// kRenewPeriod at least while the sender has any.
struct OpenAttempts {
  bool all = false;  // lists all of the sender's; else only the new ones
  std::vector<OpenAttempt> opened = {};
  std::vector<uint64_t> over = {};  // attempts without a run that may go on
  MSGPACK_DEFINE(all, opened, over)
};

// Requests that a linked entry ends these attempts of its own, since their jobs
// have arrived again at the sender.
struct EndAttempts {
  std::vector<uint64_t> attempts = {};
  MSGPACK_DEFINE(attempts)
};

// New alternatives are added at the end: an index is part of the wire format.
using RunMessageBody = std::variant<StartRuns,
                                    StopRuns,
                                    RenewRuns,
                                    RunReports,
                                    WorkerHint,
                                    TableMessage,
                                    Evacuations,
                                    CancelStepJobs,
                                    StepJobsCancelled,
                                    CancelledJobsRequest,
                                    CancelledJobsPart,
                                    OpenAttempts,
                                    EndAttempts>;

// How many alternatives a process of this version understands. Hello names it,
// so that a new one is sent only to peers that understand it.
inline constexpr uint32_t kRunMessageKinds =
    std::variant_size_v<RunMessageBody>;

// Whether a peer that understands the first `kinds` alternatives understands
// both messages about cancelled jobs.
inline bool UnderstandsCancels(uint32_t kinds) {
  return kinds > RunMessageBody(std::in_place_type<StepJobsCancelled>).index();
}

// Whether a peer that understands the first `kinds` alternatives understands
// both messages about the memory of cancelled jobs.
inline bool UnderstandsCancelledJobs(uint32_t kinds) {
  return kinds > RunMessageBody(std::in_place_type<CancelledJobsPart>).index();
}

// Whether a peer that understands the first `kinds` alternatives understands
// both messages about open attempts.
inline bool UnderstandsAttempts(uint32_t kinds) {
  return kinds > RunMessageBody(std::in_place_type<EndAttempts>).index();
}

// The alternative of Message that carries all of the above.
struct RunMessage {
  RunMessageBody body;
  MSGPACK_DEFINE(body)
};

}  // namespace egretswitch::internal

MSGPACK_ADD_ENUM(egretswitch::internal::RunEnd)
MSGPACK_ADD_ENUM(egretswitch::internal::RunLoss)

#endif  // EGRETSWITCH_SRC_RUN_MESSAGES_H_
