// The faults of the matrix: what each one does to a world, to whom, and when
// it heals.
//
//   InjectFault(world, FaultKind::kFreezeEntry, "entry-b");  // wakes 5-8 s
//   later
//
// A fault whose promise docs/DESIGN.md does not give is not in the list: clocks
// beyond kWallSkewMs, a truncation without a snapshot, and a host that lies.
#ifndef EGRETSWITCH_TEST_FAULT_PLAN_H_
#define EGRETSWITCH_TEST_FAULT_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fake_world.h"

namespace egretswitch::internal {

enum class FaultKind : uint8_t {
  kKillEntry = 0,
  kRestartEntry,
  kRestartAgent,  // its worker runs on
  kKillWorker,
  kFreezeEntry,
  kFreezeAgent,
  kLoseEntryHost,
  kLoseAgentHost,
  kCutEntryFromEntry,
  kCutEntryFromAgent,
  kCutEntryFromLog,
  kCutEntryOneWay,
  kCutAgentOneWay,
  kIslandWithLog,
  kIslandWithoutLog,
  kLogDownBriefly,
  kLogDownLong,
  kLogSlow,
  kLogLosesReplies,
  kLogTruncated,
  kLateRequest,
  kDelayedLink,
  kClockStep,
  kWorkerFailsEverything,
  kWorkerStraggles,
  kWrongDeclarations,
  kCount
};

std::string_view FaultName(FaultKind kind);
std::optional<FaultKind> FindFault(std::string_view name);
std::vector<FaultKind> AllFaults();

// Injects the fault now. It concerns `at_process` where the role fits, else a
// process drawn from the world's seed.
void InjectFault(FakeWorld& world,
                 FaultKind kind,
                 const std::string& at_process);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_FAULT_PLAN_H_
