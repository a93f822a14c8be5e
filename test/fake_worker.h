// A worker with slots: runs tasks for their time, keeps its own record of
// every start, and outlives the agent beside it.
//
//   worker.SetHolder(1, events);             // the agent's first life
//   worker.Start(1, StartOnWorker{...});     // later events(WorkerTaskEnded)
//
// A task's payload is "<run ms> <name>"; its output names the whole payload.
#ifndef EGRETSWITCH_TEST_FAKE_WORKER_H_
#define EGRETSWITCH_TEST_FAKE_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "history.h"
#include "node_events.h"
#include "virtual_time.h"

namespace egretswitch::internal {

enum class WorkerMode : uint8_t {
  kWorking = 0,
  kFailsEverything,  // fails every task at once
  kStraggles         // takes ten times as long
};

using WorkerEvents = std::function<void(AgentEvent)>;

class FakeWorker {
 public:
  FakeWorker(VirtualTime& time,
             History& history,
             std::string name,
             uint32_t slots)
      : m_time(time),
        m_history(history),
        m_name(std::move(name)),
        m_slots(slots) {}

  void SetMode(WorkerMode mode) { m_mode = mode; }

  // A new life of the agent takes over: commands of former ones are refused
  // from now on, then it is told what runs.
  void SetHolder(uint64_t holder, WorkerEvents events);

  // Commands of the agent's life `holder` that arrive now.
  void Start(uint64_t holder, const StartOnWorker& start);
  void Stop(uint64_t holder, const LeaseId& lease);

  // The worker's own death and its empty return.
  void Kill();
  void Revive();

 private:
  struct Running {
    WorkerTask task;
    std::string payload;
    size_t record = 0;  // index into History::starts
    int64_t run_ms = 0;
  };

  void End(const LeaseId& lease, TaskStatus status);
  void Tell(AgentEvent event);
  void TellList();

  VirtualTime& m_time;
  History& m_history;
  std::string m_name;
  uint32_t m_slots;
  WorkerMode m_mode = WorkerMode::kWorking;
  bool m_alive = true;
  uint64_t m_holder = 0;
  WorkerEvents m_events;
  std::map<LeaseId, Running> m_running;
  uint64_t m_life = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_FAKE_WORKER_H_
