// Messages about runs of tasks, between entries and agents, and what entries
// tell each other of the deployment, as plain data.
//
//   entry  StartRuns{job 5c0e, tasks 0..3}   ->  agent
//   entry  RenewRuns{}  every kRenewPeriod   ->  agent
//   entry  Evacuations{}  on each link       ->  agent
//   entry  <-  RunReports{5c0e/0/0 done; 12000 millicores free}
//
// Times that bound what an old message may still do are on the agent's clock:
// an entry learns it from the agent's messages (remote_clock.h) and stamps what
// it sends, so that no two processes need the same time of day.
#ifndef EGRETSWITCH_SRC_RUN_MESSAGES_H_
#define EGRETSWITCH_SRC_RUN_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "evacuations.h"
#include "msgpack_config.h"
#include "step_job.h"
#include "table_messages.h"
#include "worker_announcement.h"

namespace egretswitch::internal {

// One run of a task of a step that the message names.
struct RunStart {
  uint32_t index = 0;
  RunNumber run = 0;
  // The task may crash its worker until so long after its start, as workers
  // crashed under former runs (SuspectMs()); 0: it is as good as any other.
  uint32_t suspect_ms = 0;
  MSGPACK_DEFINE(index, run, suspect_ms)
};

// Starts tasks of one step of a job on the agent's worker.
struct StartRuns {
  int64_t sent_at_ms = 0;  // on the agent's clock, never later than the truth
  uint64_t sequence = 0;   // of this sender, rises by one
  std::string worker;      // the worker's incarnation that is meant
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

// The sender no longer wants these runs of the job; none named: all of them.
struct StopRuns {
  std::string job;
  uint32_t step = 0;
  std::vector<RunStart> runs;
  MSGPACK_DEFINE(job, step, runs)
};

// Tasks of one urgency that wait at an entry.
struct CapacityRequest {
  uint32_t urgency = 0;  // 0 is the most urgent
  TaskNeeds needs;       // of the smallest of them
  uint32_t tasks = 0;    // how many
  bool operator==(const CapacityRequest&) const = default;
  MSGPACK_DEFINE(urgency, needs, tasks)
};

// A run that the sender has ordered and not heard the end of.
struct OrderedRun {
  TaskRef task;
  RunNumber run = 0;
  uint64_t attempt = 0;  // as in the order
  MSGPACK_DEFINE(task, run, attempt)
};

// The sender still answers for its runs on this agent.
struct RenewRuns {
  int64_t sent_at_ms = 0;  // as in StartRuns
  // What the sender would like to place on this worker, the most urgent first;
  // it is to be told when there is room. None: what it asked for before holds.
  std::vector<CapacityRequest> wanted;
  // First on a new link: what was ordered on the links before it. The agent
  // reports each of these that it doesn't hold, since the order or the report
  // of the end may have been lost.
  std::vector<OrderedRun> ordered_before = {};
  MSGPACK_DEFINE(sent_at_ms, wanted, ordered_before)
};

enum class RunEnd : uint8_t {
  kDone = 0,
  kFailed,       // the task's or the worker's fault; it ran
  kStopped,      // by an order or because its lease lapsed; it ran
  kWorkerLost,   // over with its worker, which crashed, fell silent or left
  kNoCapacity,       // never started: it does not fit beside what runs
  kLeaving,      // never started: the worker takes no new work
  kStale,        // never started: the order was too old, or for a former worker
  kOldNumber,    // never started: the worker has seen this run number or higher
  kRefused,      // never started: the worker turned it away
  kEvacuated,    // never started: the data centre gets nothing new
  kUnreachable,  // never started: no connection to the worker
  // Never started: another task that may crash workers has just begun there.
  kSuspectBeside,
};

// Whether a run with this end did nothing at all.
inline bool NeverStarted(RunEnd end) {
  return end >= RunEnd::kNoCapacity;
}

// What an agent knows of a run that was over with its worker.
enum class RunLoss : uint8_t {
  kMayHaveBegun = 0,  // the worker never confirmed its start
  kWorkerGone,        // it had begun; the worker fell silent, or was leaving
  kWorkerCrashed,     // it had begun, and another life of the worker answers
};

struct RunReport {
  TaskRef task;
  RunNumber run = 0;
  RunEnd end = RunEnd::kDone;
  uint32_t run_ms = 0;  // from the start's answer, or its order, to the end
  // As in the order to start: a caller may hand a job in again while an order
  // of the former attempt is still under way.
  uint64_t attempt = 0;
  RunLoss loss = RunLoss::kMayHaveBegun;  // with kWorkerLost
  MSGPACK_DEFINE(task, run, end, run_ms, attempt, loss)
};

// What is known of the worker beside an agent.
struct WorkerStatus {
  std::string worker;  // its incarnation; empty: none is known
  std::string service;
  std::string kind;  // workers of one kind are equally fast
  TaskNeeds capacity;
  TaskNeeds free;
  uint64_t started_through = 0;  // StartRuns of the receiver counted in `free`
  bool accepting = false;        // neither leaving, silent nor evacuated
  uint64_t evacuations = 0;      // the agent's state of them (evacuations.h)
  MSGPACK_DEFINE(worker,
                 service,
                 kind,
                 capacity,
                 free,
                 started_through,
                 accepting,
                 evacuations)
};

struct RunReports {
  int64_t clock_ms = 0;  // the agent's clock at sending
  WorkerStatus worker;
  std::vector<RunReport> reports;
  MSGPACK_DEFINE(clock_ms, worker, reports)
};

// What an agent that has just started may believe of its worker once the worker
// has answered a call; spares it the wait for the worker's next announcement.
struct WorkerHint {
  WorkerAnnouncement worker;
  MSGPACK_DEFINE(worker)
};

using RunMessageBody = std::variant<StartRuns,
                                    StopRuns,
                                    RenewRuns,
                                    RunReports,
                                    WorkerHint,
                                    TableMessage,
                                    Evacuations>;

// The one alternative of Message that carries all of the above.
struct RunMessage {
  RunMessageBody body;
  MSGPACK_DEFINE(body)
};

}  // namespace egretswitch::internal

MSGPACK_ADD_ENUM(egretswitch::internal::RunEnd)
MSGPACK_ADD_ENUM(egretswitch::internal::RunLoss)

#endif  // EGRETSWITCH_SRC_RUN_MESSAGES_H_
