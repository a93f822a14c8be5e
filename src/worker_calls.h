// What an agent asks of the worker beside it, and what the worker answers. The
// platform's adapter makes the calls; the decisions see only these types.
//
// Everything on a worker runs under one lease, which each start and each look
// extends. A worker keeps the highest fencing token that it has seen and obeys
// nothing below it.
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

// A run as the worker knows it.
struct RunKey {
  TaskRef task;
  RunNumber run = 0;
  auto operator<=>(const RunKey&) const = default;
};

struct StartCall {
  std::string worker;  // the incarnation that is meant
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

// Extends the lease, acknowledges ends, and asks for what runs and has ended.
struct PollCall {
  std::string worker;
  int64_t lease_until_ms = 0;  // 0: the lease stays as it is
  uint64_t fencing_token = 0;
  uint64_t acknowledged = 0;  // sequence of the last end that has been seen
  absl::Duration wait;        // for the next end, when there is none
};

enum class CallVerdict : uint8_t {
  kDone = 0,
  kFenced,       // a higher token has been seen; nothing was done
  kOldNumber,    // this run number or a higher one has been; nothing was done
  kTooLate,      // the lease asked for was over already; nothing was done
  kNoRoom,       // nothing was done
  kOtherWorker,  // another incarnation answers there; nothing was done
  kRefused,      // an unhealthy worker or a bad call; nothing was done
  kUnreachable,  // no connection to it; nothing was done
  kUnknown,      // no answer: it may have been done, or may be done later
};

std::string_view CallVerdictName(CallVerdict verdict);

struct CallAnswer {
  CallVerdict verdict = CallVerdict::kUnknown;
  int64_t clock_ms = 0;          // the worker's clock; 0: the answer had none
  std::string incarnation = {};  // that answered; empty: the answer tells none
};

enum class WorkerRunEnd : uint8_t {
  kDone = 0,
  kFailed,
  kStopped,  // by an order
  kLapsed,   // its lease ran out
};

struct EndedRun {
  uint64_t sequence = 0;
  RunKey key;
  WorkerRunEnd end = WorkerRunEnd::kDone;
};

struct PollAnswer {
  CallAnswer call;
  std::vector<RunKey> running;
  std::vector<EndedRun> ended;  // those not acknowledged, oldest first
};

// The calls of one agent to its worker. Callbacks come in a later turn of the
// loop, once for each call, and never after the object's end.
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
