// The worker stand-in's tasks: what runs, what it occupies, and the ends that
// the holder has not acknowledged yet.
//
//   tasks.TakeOver("agent-1/7");
//   tasks.Start({lease "g-1", ...})    -> StartVerdict::kAccepted
//   tasks.End("g-1", now)              -> ends() = [{1, "g-1", "finished"}]
//   tasks.Acknowledge(1)               -> ends() = []
#ifndef EGRETSWITCH_STAND_INS_WORKER_TASKS_H_
#define EGRETSWITCH_STAND_INS_WORKER_TASKS_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "start_record.h"

namespace egretswitch::stand_ins {

struct Resources {
  uint32_t millicores = 0;
  uint32_t memory_mb = 0;
  uint32_t accelerators = 0;
};

struct WorkerCapacity {
  uint32_t slots = 8;
  Resources resources;
};

// One task as its holder wishes to start it.
struct TaskToStart {
  std::string lease;
  std::string team;
  std::string id;
  uint32_t index = 0;
  std::string payload;
  Resources needs;
};

struct RunningTask {
  TaskToStart task;
  std::chrono::steady_clock::time_point started;
  bool fails = false;
  std::string output;
};

struct EndedTask {
  uint64_t sequence = 0;
  std::string lease;
  std::string team;
  std::string id;
  uint32_t index = 0;
  std::string status;  // "finished" or "failed"
  std::string output;
  uint32_t run_ms = 0;
};

enum class StartVerdict { kAccepted, kNoSlot, kNoCapacity, kDuplicate };

// "accepted", "no_slot", "no_capacity" or "duplicate".
std::string_view StartVerdictName(StartVerdict verdict);

// Not thread-safe: WorkerService holds its lock around every call.
class WorkerTasks {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  WorkerTasks(std::string worker_name,
              const WorkerCapacity& capacity,
              StartRecord* record);

  StartVerdict Start(const TaskToStart& task, TimePoint now);

  // Ends the task unless it has ended before; true when it ran until now.
  bool End(const std::string& lease, TimePoint now);
  // Ends the task as failed.
  bool Stop(const std::string& lease, TimePoint now);

  // Forgets the ends up to `sequence`.
  void Acknowledge(uint64_t sequence);

  const std::unordered_map<std::string, RunningTask>& running() const {
    return m_running;
  }
  const std::deque<EndedTask>& ended() const { return m_ended; }
  const Resources& used() const { return m_used; }

  void set_fail_all(bool fail_all) { m_fail_all = fail_all; }

 private:
  bool Fits(const Resources& needs) const;
  bool IsKnown(const std::string& lease) const;
  void Finish(std::unordered_map<std::string, RunningTask>::iterator it,
              TimePoint now);

  const std::string m_worker_name;
  const WorkerCapacity m_capacity;
  StartRecord* const m_record;
  bool m_fail_all = false;
  Resources m_used;
  std::unordered_map<std::string, RunningTask> m_running;
  std::deque<EndedTask> m_ended;
  std::unordered_set<std::string> m_ended_leases;
  uint64_t m_next_sequence = 1;
};

// Run time that the payload asks for: its "run_ms", 0 for any other text.
uint32_t RequestedRunMs(std::string_view payload);

}  // namespace egretswitch::stand_ins

#endif  // EGRETSWITCH_STAND_INS_WORKER_TASKS_H_
