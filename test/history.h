// What callers, workers and operators wrote down during a run: the only thing
// that the checker reads. No node writes here.
//
//   starts:   {desk/a17 task 0, worker of agent-2, 6.013 s}
//   requests: {token 5, desk/a17, entry-b, sent 6.000 s, answered 6.120 s}
#ifndef EGRETSWITCH_TEST_HISTORY_H_
#define EGRETSWITCH_TEST_HISTORY_H_

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "node_events.h"
#include "outcome.h"
#include "submission.h"
#include "virtual_time.h"

namespace egretswitch::internal {

inline constexpr VirtualUs kNever = std::numeric_limits<VirtualUs>::max();

// A job as its caller meant it.
struct JobRecord {
  Submission submission;
  VirtualUs deadline = 0;
  VirtualUs cancelled = kNever;
  bool in_tail = false;  // submitted after every fault had healed
};

// One request on one connection: a submission, or a call that cancels it.
struct RequestRecord {
  uint64_t token = 0;
  bool cancels = false;
  SubmissionKey key;
  std::string entry;
  VirtualUs sent = 0;
  VirtualUs lost = kNever;      // the connection went down
  VirtualUs answered = kNever;  // first final answer
  uint32_t answers = 0;
  JobOutcome outcome;
};

// One start of one task, by the worker's own record.
struct StartRecord {
  SubmissionKey key;
  uint32_t index = 0;
  std::string worker;
  VirtualUs at = 0;
  VirtualUs ended = kNever;
};

// An operator's edit. `offset` in the log decides races.
struct EditRecord {
  uint64_t token = 0;
  std::string edit_id;
  std::string kind;
  uint64_t expected_version = 0;
  uint32_t weight = 0;
  uint64_t offset = 0;
  VirtualUs appended = kNever;
  uint32_t answers = 0;
  OperatorOutcome told = OperatorOutcome::kUnknown;
};

// One look at the table in force in a process.
struct TableSample {
  VirtualUs at = 0;
  std::string process;
  uint64_t table_version = 0;
  std::map<std::string, uint64_t> row_versions;
  std::map<std::string, uint32_t> weights;
};

// A planned stop. Its process was told at `begun` and ended at `ended`.
struct StopRecord {
  std::string process;
  VirtualUs begun = 0;
  VirtualUs ended = kNever;
};

// Time in which the test kept a process (or the log) from running or from
// hearing others: an excuse that the fault itself gives.
struct OutageRecord {
  std::string process;
  bool stopped = false;  // it did not run at all; else it was cut off
  VirtualUs from = 0;
  VirtualUs until = kNever;
};

struct History {
  std::map<SubmissionKey, JobRecord> jobs;
  std::vector<RequestRecord> requests;
  std::vector<StartRecord> starts;
  std::vector<EditRecord> edits;
  std::vector<TableSample> samples;
  std::vector<StopRecord> stops;
  std::vector<OutageRecord> outages;
  VirtualUs end = 0;
  bool faulted = false;  // anything beyond the scenario's own plan
};

// The worker's reply to a task: names the task, so that a crossed answer shows.
inline std::string EchoOf(const std::string& payload) {
  return "done:" + payload;
}

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_HISTORY_H_
