// A fake worker in virtual time: it enforces its capacity, its lease and its
// fencing token, and numbers the ends of runs. A worker with a start time in
// its name carries out calls addressed to a former incarnation of its id, and
// only its answers to polls identify its incarnation.
//
//   FakeRunWorker worker("i-1", /*clock_rate=*/0.98);
//   worker.Start(call, now, /*work_ms=*/60)  -> {kDone, clock}
#ifndef EGRETSWITCH_TEST_FAKE_RUN_WORKER_H_
#define EGRETSWITCH_TEST_FAKE_RUN_WORKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "virtual_time.h"
#include "worker_calls.h"

namespace egretswitch::internal {

// The capacity of a worker, and what each task uses of it.
inline constexpr TaskNeeds kFakeWorkerCapacity = {24000, 4096, 0};
inline constexpr TaskNeeds kFakeTaskNeeds = {6000, 64, 0};

// The longest lease that a worker grants, on its own clock.
inline constexpr int64_t kFakeMaxLeaseMs = 1000;

class FakeRunWorker {
 public:
  FakeRunWorker(std::string incarnation,
                double clock_rate,
                TaskNeeds capacity = kFakeWorkerCapacity,
                VirtualUs clock_starts = 0,
                int64_t max_lease_ms = kFakeMaxLeaseMs);

  int64_t ClockMs(VirtualUs now) const;
  CallAnswer Start(const StartCall& call,
                   VirtualUs now,
                   int64_t work_ms,
                   const TaskNeeds& needs = kFakeTaskNeeds,
                   WorkerRunEnd end = WorkerRunEnd::kDone);
  // The run ends after `takes`, and is listed as running until then.
  CallAnswer Stop(const StopCall& call, VirtualUs now, VirtualUs takes = 0);
  PollAnswer Poll(const PollCall& call, VirtualUs now);
  // Ends the runs that are done or whose lease has expired by now. Returns true
  // if any ended.
  bool Advance(VirtualUs now);

  const std::string& incarnation() const { return m_incarnation; }
  const std::map<RunKey, VirtualUs>& running() const { return m_running; }
  // The capacity that no run uses.
  TaskNeeds Free() const;
  // How many runs ended because the lease expired.
  int lapsed() const { return m_lapsed; }
  // When the next run is done, unless its lease expires before.
  VirtualUs NextEnd() const;

 private:
  CallVerdict Check(const std::string& worker, uint64_t token);
  void End(RunKey key, WorkerRunEnd end);

  const std::string m_incarnation;
  const double m_clock_rate;
  const TaskNeeds m_capacity;
  const VirtualUs m_clock_starts;
  const int64_t m_max_lease_ms;
  int64_t m_lease_until_ms = 0;
  uint64_t m_token = 0;
  std::map<RunKey, VirtualUs> m_running;  // with the time the work is done
  std::map<RunKey, WorkerRunEnd> m_ends;  // how each then ends
  std::map<RunKey, TaskNeeds> m_used;     // by each running run
  std::map<TaskRef, RunNumber> m_highest_ended;
  std::deque<EndedRun> m_ended;
  uint64_t m_sequence = 0;
  int m_lapsed = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_FAKE_RUN_WORKER_H_
