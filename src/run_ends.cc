#include "run_ends.h"

namespace egretswitch::internal {

RunEnd EndOfWorkerRun(WorkerRunEnd end) {
  switch (end) {
    case WorkerRunEnd::kDone:
      return RunEnd::kDone;
    case WorkerRunEnd::kFailed:
      return RunEnd::kFailed;
    case WorkerRunEnd::kStopped:
    case WorkerRunEnd::kLapsed:
      break;
  }
  return RunEnd::kStopped;
}

RunEnd EndOfRefusal(CallVerdict verdict) {
  switch (verdict) {
    case CallVerdict::kNoCapacity:
      return RunEnd::kNoCapacity;
    case CallVerdict::kOldNumber:
      return RunEnd::kOldNumber;
    case CallVerdict::kFenced:
    case CallVerdict::kTooLate:
    case CallVerdict::kOtherWorker:
      return RunEnd::kStale;
    case CallVerdict::kUnreachable:
      return RunEnd::kUnreachable;
    default:
      break;
  }
  return RunEnd::kRefused;
}

RunCounter CounterOf(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return RunCounter::kRunsDone;
    case RunEnd::kFailed:
      return RunCounter::kRunsFailed;
    case RunEnd::kStopped:
      return RunCounter::kRunsStopped;
    case RunEnd::kWorkerLost:
      return RunCounter::kRunsWorkerLost;
    case RunEnd::kNoCapacity:
      return RunCounter::kRefusedNoRoom;
    case RunEnd::kLeaving:
      return RunCounter::kRefusedLeaving;
    case RunEnd::kStale:
      return RunCounter::kRefusedStale;
    case RunEnd::kOldNumber:
      return RunCounter::kRefusedOldNumber;
    case RunEnd::kEvacuated:
      return RunCounter::kRefusedEvacuated;
    case RunEnd::kUnreachable:
      return RunCounter::kRefusedUnreachable;
    case RunEnd::kSuspectBeside:
      return RunCounter::kRefusedSuspect;
    case RunEnd::kRefused:
      break;
  }
  return RunCounter::kRefusedByWorker;
}

std::string_view RunLossName(RunLoss loss) {
  switch (loss) {
    case RunLoss::kMayHaveBegun:
      break;
    case RunLoss::kWorkerGone:
      return "worker_gone";
    case RunLoss::kWorkerCrashed:
      return "worker_crashed";
  }
  return "may_have_begun";
}

}  // namespace egretswitch::internal
