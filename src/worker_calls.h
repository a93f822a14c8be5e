// The calls of an agent to the worker beside it, and the worker's answers. The
// platform's adapter makes the calls; RunManager sees only these types.
//
// All runs on a worker share one lease, which each start and each poll extends.
// A worker stores the highest fencing token that it has seen and refuses calls
// with a lower one.
#ifndef EGRETSWITCH_SRC_WORKER_CALLS_H_
#define EGRETSWITCH_SRC_WORKER_CALLS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "run_messages.h"
#include "step_job.h"

namespace egretswitch::internal {

// Identifies a run at the worker.
struct RunKey {
  TaskRef task;
  RunNumber run = 0;
  auto operator<=>(const RunKey&) const = default;
};

struct StartCall {
  std::string worker;  // the incarnation that the call is addressed to
  RunKey key;
  std::string spec;
  int64_t lease_until_ms = 0;  // on the worker's clock
  uint64_t fencing_token = 0;
};

struct StopCall {
  std::string worker;
  RunKey key;
  uint64_t fencing_token = 0;
};

// Extends the lease, acknowledges ends, and requests the lists of running and
// ended runs.
struct PollCall {
  std::string worker;
  int64_t lease_until_ms = 0;  // 0: the lease is not extended
  uint64_t fencing_token = 0;
  uint64_t acknowledged = 0;  // sequence of the last end received
  absl::Duration wait;        // how long to wait if there is no new end
};

enum class CallVerdict : uint8_t {
  kDone = 0,
  kFenced,       // the worker has seen a higher token; nothing was done
  kOldNumber,    // this or a higher run number has ended; nothing was done
  kTooLate,      // the requested lease had already expired; nothing was done
  kNoCapacity,   // too little free capacity; nothing was done
  kOtherWorker,  // another incarnation answers there; nothing was done
  kRefused,      // an unhealthy worker or a bad call; nothing was done
  kUnreachable,  // no connection to it; nothing was done
  kUnknown,      // no answer: carried out, or not, or still to be
};

std::string_view CallVerdictName(CallVerdict verdict);

struct CallAnswer {
  CallVerdict verdict = CallVerdict::kUnknown;
  int64_t clock_ms = 0;          // the worker's clock; 0: not in the answer
  std::string incarnation = {};  // that answered; empty: not in the answer
  // With kUnknown: the connection was lost, as it is when the worker ends.
  bool disconnected = false;
};

enum class WorkerRunEnd : uint8_t {
  kDone = 0,
  kFailed,
  kStopped,  // by a stop call
  kLapsed,   // its lease expired
};

struct EndedRun {
  uint64_t sequence = 0;
  RunKey key;
  WorkerRunEnd end = WorkerRunEnd::kDone;
};

struct PollAnswer {
  CallAnswer call;
  std::vector<RunKey> running;
  std::vector<EndedRun> ended;  // not yet acknowledged, oldest first
};

// Interface for the calls of one agent to its worker. Each callback is invoked
// exactly once, in a later turn of the loop, and never after the object is
// destroyed.
class WorkerCalls {
 public:
  using AnswerCallback = std::function<void(const CallAnswer&)>;
  using PollCallback = std::function<void(const PollAnswer&)>;

  virtual ~WorkerCalls() = default;
  virtual void Start(const StartCall& call, AnswerCallback done) = 0;
  virtual void Stop(const StopCall& call, AnswerCallback done) = 0;
  virtual void Poll(const PollCall& call, PollCallback done) = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_WORKER_CALLS_H_
