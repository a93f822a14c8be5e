// What callers and operators do in one run, planned before it starts.
//
//   FindScenario("steady")->jobs[0]   // at 5 s: two tasks of 60 ms ...
#ifndef EGRETSWITCH_TEST_SCENARIO_H_
#define EGRETSWITCH_TEST_SCENARIO_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "history.h"

namespace egretswitch::internal {

// The same submission sent once more, whatever became of the first.
struct ResendPlan {
  VirtualUs after = 0;  // since the first sending
  uint32_t entry = 0;
};

struct JobPlan {
  std::string id;
  std::string kind = "check";
  VirtualUs at = 0;
  std::vector<uint32_t> run_ms;  // one for each task
  bool repeatable = true;
  VirtualUs deadline_after = Ms(9000);
  uint32_t entry = 0;
  std::vector<ResendPlan> resends;
  VirtualUs cancel_after = kNever;
  VirtualUs hang_up_after = kNever;  // closes the first connection
};

struct StopPlan {
  VirtualUs at = 0;
  std::string process;
  VirtualUs replaced_at = kNever;  // a new process of that name starts
};

// An operator's edit, made against `expected_version` of the row.
struct EditPlan {
  VirtualUs at = 0;
  std::string kind;
  uint64_t expected_version = 1;
  uint32_t weight = 1;
  uint32_t entry = 0;  // that the operator is connected to
};

struct WorldSize {
  uint32_t entries = 3;
  uint32_t agents = 4;
  uint32_t slots = 2;
  uint32_t shards = 8;
};

struct Scenario {
  std::string name;
  WorldSize size;
  std::vector<std::string> kinds = {"check", "price", "reserve"};
  std::vector<JobPlan> jobs;
  std::vector<StopPlan> stops;
  std::vector<EditPlan> edits;
  VirtualUs end = Ms(9000);  // faults begin before this time
};

// The scenarios of the fault matrix.
const std::vector<Scenario>& AllScenarios();

// Null when there is none of that name.
const Scenario* FindScenario(std::string_view name);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_SCENARIO_H_
