// The dispatcher's own EntryNode and AgentNode objects in virtual time, with
// small fakes around them: network, log, workers, callers.
//
//   FakeWorld world(scenario.size, 7, scenario.kinds);
//   world.Play(scenario);
//   world.RunUntil(Ms(9000));
//   world.Kill("entry-a");
//   CheckHistory(world.history())
//
// A step is one event that a node handled. The step hook may interrupt the
// process between any two of the actions that the step asks for.
#ifndef EGRETSWITCH_TEST_FAKE_WORLD_H_
#define EGRETSWITCH_TEST_FAKE_WORLD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "agent_node.h"
#include "entry_node.h"
#include "fake_callers.h"
#include "fake_log.h"
#include "fake_network.h"
#include "fake_worker.h"
#include "history.h"
#include "scenario.h"
#include "virtual_time.h"

namespace egretswitch::internal {

// One event that a node has handled, before its actions are carried out.
struct Step {
  uint64_t number = 0;
  std::string process;
  size_t actions = 0;
};

// Runs `fault` after that many of the step's actions.
struct Interruption {
  size_t after_actions = 0;
  std::function<void()> fault;
};

using StepHook = std::function<Interruption(const Step&)>;

class FakeWorld : private ProcessHost {
 public:
  FakeWorld(const WorldSize& size,
            uint64_t seed,
            const std::vector<std::string>& kinds);
  ~FakeWorld() override = default;
  FakeWorld(const FakeWorld&) = delete;
  FakeWorld& operator=(const FakeWorld&) = delete;

  // Schedules everything that the scenario plans.
  void Play(const Scenario& scenario);
  void RunUntil(VirtualUs until) { m_time.RunUntil(until); }
  void SetStepHook(StepHook hook) { m_hook = std::move(hook); }

  // Prints every handled event and action of the run to standard error.
  void SetVerbose() { m_verbose = true; }

  // ---- Faults -------------------------------------------------------------
  void Kill(const std::string& process);
  void LoseHost(const std::string& process);
  void Restart(const std::string& process);
  void Freeze(const std::string& process);
  void Wake(const std::string& process);
  void BeginDrain(const std::string& process);
  void StepClock(const std::string& process);

  // Cuts `inside` off from all other processes, and from the log if so said.
  void CutIsland(const std::vector<std::string>& inside, bool from_log);
  void HealIsland(const std::vector<std::string>& inside);

  // Excuses a process (or "log") in the history: it does not run, or is cut
  // off.
  void NoteOutage(const std::string& process, bool stopped);
  void EndOutage(const std::string& process, bool stopped);

  // The fault heals after `delay`: the tail of the run begins after that.
  void HealAfter(VirtualUs delay, std::function<void()> heal);
  VirtualUs healed_by() const { return m_healed_by; }

  VirtualTime& time() { return m_time; }
  FakeNetwork& network() { return m_network; }
  FakeLog& log() { return m_log; }
  FakeCallers& callers() { return m_callers; }
  FakeWorker& worker(const std::string& agent);
  History& history() { return m_history; }
  const std::vector<std::string>& entries() const { return m_entries; }
  const std::vector<std::string>& agents() const { return m_agents; }
  uint64_t steps() const { return m_steps; }
  bool IsLive(const std::string& process) const;

  // Ends the history: the checker may read it now.
  const History& Finish();

 private:
  struct Process {
    std::string name;
    ProcessRole role = ProcessRole::kEntry;
    ProcessState state = ProcessState::kEnded;
    uint64_t life = 0;
    Hello hello;
    bool draining = false;
    uint64_t head_at_start = 0;
    int64_t skew_ms = 0;
    double drift = 0;  // of the steady clock, relative
    VirtualUs mono_start = 0;
    std::unique_ptr<EntryNode> entry;
    std::unique_ptr<AgentNode> agent;
    std::unique_ptr<FakeWorker> worker;  // agents only; outlives `agent`
    VirtualUs last_to_worker = 0;
    VirtualUs last_from_worker = 0;
    std::deque<std::function<void()>> backlog;
  };

  // ProcessHost.
  ProcessState StateOf(const std::string& process) const override;
  uint64_t LifeOf(const std::string& process) const override;
  Hello HelloOf(const std::string& process) const override;
  MonoTime SteadyTimeOf(const std::string& process) const override;
  void Post(const std::string& process,
            uint64_t life,
            std::function<void()> task) override;
  void HandleNetworkEvent(const std::string& process,
                          NetworkEvent event) override;

  void AddProcess(const std::string& name, ProcessRole role);
  void Start(Process& process);
  void StartNode(Process& process);
  void End(Process& process, bool silent);
  Now ClockOf(const Process& process) const;
  void ScheduleTick(Process& process, uint64_t life);
  void SampleTables();
  void Replace(const std::string& process);
  void Edit(const EditPlan& plan);
  void PutFirstRows(const std::vector<std::string>& kinds);
  void OnOperatorAnswer(const AnswerOperator& answer);
  void OnLogRecord(const LogEntry& entry);
  CallerPort MakeCallerPort();
  void SendToEntry(const std::string& entry, EntryEvent event);
  bool MaySampleTable(const Process& process) const;

  template <typename Event>
  void Handle(Process& process, const Event& event);
  void Perform(Process& process, Actions actions, bool counts);
  void PerformFrom(Process& process,
                   std::shared_ptr<Actions> actions,
                   size_t next,
                   const Interruption& interruption);
  void Do(Process& process, Action& action);
  using LogCall = std::function<void(LogReplyTo)>;
  template <typename Event>
  void CallLog(Process& process,
               VirtualUs timeout,
               Event on_timeout,
               LogCall call);
  void DoRead(Process& process, const ReadLog& read);
  void DoAppend(Process& process, const AppendLog& append);
  void ToWorker(Process& process, std::function<void(FakeWorker&)> command);
  void AttachWorker(Process& process);

  VirtualTime m_time;
  History m_history;
  FakeNetwork m_network;
  FakeLog m_log;
  std::vector<std::string> m_entries;
  std::vector<std::string> m_agents;
  FakeCallers m_callers;
  std::map<std::string, Process> m_processes;
  StepHook m_hook;
  uint64_t m_steps = 0;
  VirtualUs m_healed_by = 0;
  uint32_t m_shards;
  uint32_t m_slots;
  bool m_verbose = false;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_FAKE_WORLD_H_
