// What happens to a node and what a node asks for: the whole interface between
// the decisions and the world.
//
// A node is a state machine: `Handle(event, now)` returns actions, and the
// shell (node_shell.h in the daemon, the fakes in test/) carries them out:
//
//   MessageArrived{entry-b, Forward{a17}}  ->  [Send{agent-3, StartTasks{...}}]
#ifndef EGRETSWITCH_SRC_NODE_EVENTS_H_
#define EGRETSWITCH_SRC_NODE_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "clock.h"
#include "log_records.h"
#include "messages.h"
#include "outcome.h"
#include "submission.h"

namespace egretswitch::internal {

// ---- Events of every node -------------------------------------------------

// A link is up and both Hellos have been exchanged. At most one link per peer
// name is up; a newer one replaces the older (LinkDown comes first).
struct LinkUp {
  Hello peer;
};

// The link to this incarnation of the peer is gone. The peer may well live on.
struct LinkDown {
  std::string peer;
  uint64_t incarnation = 0;
};

// The peer's host lives and refused the connection at the peer's address: no
// process of that name runs there now.
struct PeerRefusedConnection {
  std::string peer;
  // When that dial began: it says nothing of a process first known after it.
  MonoTime dialled_at = absl::InfiniteDuration();
};

struct MessageArrived {
  std::string peer;
  uint64_t incarnation = 0;
  Message message;
};

// Comes at least every kTickPeriod (node_limits.h).
struct Tick {};

// SIGTERM: finish what is in hand, take nothing new, then emit Stop.
struct BeginDrain {};

// ---- Events of the log service (entries; agents only appends) ------------

// Result of the read that the node asked for at `asked_at` (its own clock).
// `head` is the offset after the newest record of the stream. When
// `first_kept` > the offset asked for, records were lost to retention.
struct LogReadDone {
  MonoTime asked_at = absl::ZeroDuration();
  uint64_t first_kept = 0;
  uint64_t head = 0;
  std::vector<LogEntry> entries;
};

struct LogReadFailed {
  MonoTime asked_at = absl::ZeroDuration();
};

struct LogAppendDone {
  std::string append_id;
  uint64_t offset = 0;
};

// `may_have_taken_effect`: the reply was lost, reading back will tell.
struct LogAppendFailed {
  std::string append_id;
  bool may_have_taken_effect = true;
};

// ---- Events of an entry ---------------------------------------------------

// Identifies one caller's open request within this process.
using CallerToken = uint64_t;

struct CallerSubmitted {
  CallerToken token = 0;
  Submission submission;
};

// The caller asked for the job to be cancelled.
struct CallerCancelled {
  CallerToken token = 0;
  SubmissionKey key;
};

// The caller's connection is gone; the job goes on.
struct CallerGone {
  CallerToken token = 0;
};

// Identifies one operator's open request within this process.
using OperatorToken = uint64_t;

// An operator edits a row of the table.
struct OperatorEdited {
  OperatorToken token = 0;
  RowEdited edit;
};

// An operator knows that the present instance of this entry is gone for good.
struct OperatorDeclaredEnded {
  OperatorToken token = 0;
  std::string entry_name;
};

using EntryEvent = std::variant<LinkUp,
                                LinkDown,
                                PeerRefusedConnection,
                                MessageArrived,
                                Tick,
                                BeginDrain,
                                LogReadDone,
                                LogReadFailed,
                                LogAppendDone,
                                LogAppendFailed,
                                CallerSubmitted,
                                CallerCancelled,
                                CallerGone,
                                OperatorEdited,
                                OperatorDeclaredEnded>;

// ---- Events of an agent ---------------------------------------------------

// Names one run of one task on the worker; unique per agent incarnation.
using LeaseId = std::string;

// A task that the worker says it is running or has just run.
struct WorkerTask {
  LeaseId lease;
  SubmissionKey key;
  uint32_t index = 0;
};

// The worker's running tasks, asked for when the agent starts. Until this
// comes the agent accepts no start.
struct WorkerTasksListed {
  std::vector<WorkerTask> running;
};

struct WorkerTaskEnded {
  LeaseId lease;
  TaskStatus status = TaskStatus::kFinished;  // kFinished, kFailed, kLost or
                                              // kRefusedByWorker
  std::string payload;
  uint32_t run_ms = 0;
};

// The worker itself is gone (its connection was refused or it restarted).
struct WorkerLost {};

using AgentEvent = std::variant<LinkUp,
                                LinkDown,
                                MessageArrived,
                                Tick,
                                BeginDrain,
                                LogAppendDone,
                                LogAppendFailed,
                                WorkerTasksListed,
                                WorkerTaskEnded,
                                WorkerLost>;

// ---- Actions ---------------------------------------------------------------

// Sends on the link to `peer`; dropped silently when that link is not up.
struct Send {
  std::string peer;
  Message message;
};

struct PeerAddress {
  std::string name;
  std::string address;
  ProcessRole role = ProcessRole::kEntry;
  bool operator==(const PeerAddress&) const = default;
};

// The peers this node wants links to from now on. The shell dials each until
// it is up, again and again, and reports refusals. Of two entries only the one
// with the smaller name dials the other.
struct SetDialTargets {
  std::vector<PeerAddress> peers;
};

// Reads the control stream from `from`, waiting up to `wait` for records.
struct ReadLog {
  uint64_t from = 0;
  absl::Duration wait = absl::ZeroDuration();
  MonoTime asked_at = absl::ZeroDuration();
};

struct AppendLog {
  LogRecord record;
};

struct AnswerCaller {
  CallerToken token = 0;
  JobOutcome outcome;
};

// What became of an operator's change, as read back from the log.
enum class OperatorOutcome : uint8_t {
  kAccepted = 0,
  kSuperseded,    // another edit came first in log order
  kInvalid,       // a value is out of range; `detail` names the column
  kNotAppended,   // the log could not take it: it has no effect
  kUnknown,       // no word from the log in time: it may yet take effect
  kUnknownEntry,  // no entry of that name is a member
};

struct AnswerOperator {
  OperatorToken token = 0;
  OperatorOutcome outcome = OperatorOutcome::kUnknown;
  uint64_t row_version = 0;  // of the row now in force here
  std::string detail;
};

struct StartOnWorker {
  LeaseId lease;
  SubmissionKey key;
  uint32_t index = 0;
  TaskSpec spec;
  int64_t deadline_ms = 0;
};

struct StopOnWorker {
  LeaseId lease;
};

// A change of state worth one log line: `what` is fixed text, the rest
// key=value pairs.
struct NoteField {
  std::string key;
  std::string value;
};

struct NoteStateChange {
  std::string what;
  std::vector<NoteField> fields = {};
  // A line that may be left out when there are many: it tells of nothing that
  // went wrong for a caller.
  bool routine = false;
};

// The node has finished its drain; the process may exit.
struct Stop {};

using Action = std::variant<Send,
                            SetDialTargets,
                            ReadLog,
                            AppendLog,
                            AnswerCaller,
                            AnswerOperator,
                            StartOnWorker,
                            StopOnWorker,
                            NoteStateChange,
                            Stop>;

using Actions = std::vector<Action>;

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_NODE_EVENTS_H_
