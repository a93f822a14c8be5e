// Entries, agents, workers and callers of jobs made of steps in virtual time:
// the real JobDispatcher and RunKeeper, with small fakes around them, and the
// faults that the deployment must bear.
//
//   RunWorld world({.seed = 7});
//   world.Run(Ms(20'000));
//   BOOST_TEST(world.violations().empty());
//
// Each seed draws its own faults. The checks see what callers and workers see:
// no task runs twice at the same time on workers that are up, and a job that
// was refused as "not run" at every attempt never started.
#ifndef EGRETSWITCH_TEST_RUN_WORLD_H_
#define EGRETSWITCH_TEST_RUN_WORLD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "job_dispatcher.h"
#include "run_keeper.h"
#include "virtual_time.h"

namespace egretswitch::internal {

struct RunWorldOptions {
  uint64_t seed = 1;
  int entries = 3;
  int agents = 4;
  int jobs = 120;
  int faults = 14;
  std::string traced_job = {};  // notes about it go to the fault log
};

// One worker: guards its room, keeps a lease, refuses lower fencing tokens.
class FakeRunWorker {
 public:
  FakeRunWorker(std::string incarnation, double clock_rate);

  int64_t ClockMs(VirtualUs now) const;
  CallAnswer Start(const StartCall& call, VirtualUs now, int64_t work_ms);
  CallAnswer Stop(const StopCall& call, VirtualUs now);
  LookAnswer Look(const LookCall& call, VirtualUs now);
  // Ends what is done or has lapsed by now. True when something ended.
  bool Advance(VirtualUs now);

  const std::string& incarnation() const { return m_incarnation; }
  const std::map<RunKey, VirtualUs>& running() const { return m_running; }
  // When the next run is done, unless its lease lapses before.
  VirtualUs NextEnd() const;

 private:
  CallVerdict Check(const std::string& worker, uint64_t token);
  void End(const RunKey& key, WorkerRunEnd end);

  const std::string m_incarnation;
  const double m_clock_rate;
  int64_t m_lease_until_ms = 0;
  uint64_t m_token = 0;
  std::map<RunKey, VirtualUs> m_running;  // and when the work is done
  std::map<TaskRef, RunNumber> m_highest_over;
  std::deque<EndedRun> m_ended;
  uint64_t m_sequence = 0;
};

class RunWorld {
 public:
  explicit RunWorld(const RunWorldOptions& options);

  void Run(VirtualUs until);

  // What must never happen, with the moment and the names.
  const std::vector<std::string>& violations() const { return m_violations; }
  int completed() const { return m_completed; }
  int jobs() const { return static_cast<int>(m_callers.size()); }
  const std::vector<std::string>& fault_log() const { return m_fault_log; }

 private:
  // A process: its state machine, or none while it is down.
  struct Entry {
    std::string name;
    uint64_t incarnation = 0;
    std::unique_ptr<JobDispatcher> node;
    VirtualUs frozen_until = 0;
    std::deque<JobDispatcherEvent> held;  // arrived while it was frozen
    VirtualUs wake_at = 0;
  };
  struct Agent {
    std::string name;
    uint64_t incarnation = 0;
    std::unique_ptr<RunKeeper> node;
    VirtualUs frozen_until = 0;
    std::deque<RunKeeperEvent> held;
    VirtualUs wake_at = 0;
    std::unique_ptr<FakeRunWorker> worker;
    uint64_t worker_number = 0;
    uint64_t announcements = 0;
    VirtualUs calls_harmed_until = 0;  // answers lost, or carried out late
  };
  struct Link {
    uint64_t entry_incarnation = 0;
    uint64_t agent_incarnation = 0;
    bool up = false;
    VirtualUs to_agent_cut_until = 0;  // what is sent waits, then arrives
    VirtualUs to_entry_cut_until = 0;
    VirtualUs last_to_agent = 0;  // arrivals keep their order
    VirtualUs last_to_entry = 0;
  };
  struct Caller {
    std::string id;
    uint32_t tasks = 1;
    int64_t work_ms = 100;
    int attempts = 0;
    std::optional<CallId> open_call;
    int entry = 0;
    VirtualUs sent_at = 0;
    bool ended = false;
    bool all_refused = true;  // every attempt so far ended as "not run"
    bool started = false;     // a task of it was started
  };

  Now NowAt() const;
  bool Alive(const Entry& entry) const { return entry.node != nullptr; }
  Link& LinkOf(int entry, int agent) { return m_links[{entry, agent}]; }

  void ToEntry(int entry, const JobDispatcherEvent& event);
  void ToAgent(int agent, const RunKeeperEvent& event);
  void Perform(int entry, const JobDispatcherActions& actions);
  void Perform(int agent, const RunKeeperActions& actions);
  void ArmEntry(int entry);
  void ArmAgent(int agent);

  void StartEntry(int entry);
  void StartAgent(int agent);
  void KillEntry(int entry, bool silent);
  void KillAgent(int agent, bool silent);
  void Connect(int entry, int agent);
  void Disconnect(int entry, int agent, VirtualUs told_after);
  void ReplaceWorker(int agent);
  void Announce(int agent);
  WorkerAnnouncement AnnouncementOf(int agent, int64_t number) const;

  void CallWorker(int agent, const StartCall& call);
  void CallWorker(int agent, const StopCall& call);
  void CallWorker(int agent, const LookCall& call);
  template <typename Call, typename Carry>
  void Send(int agent, const Call& call, Carry carry);
  void LookUntil(int agent, LookCall call, VirtualUs give_up, MonoTime asked);
  void NoteStart(int agent, const RunKey& key);

  void Submit(int caller);
  void Resend(int caller, VirtualUs after);
  void AttemptEnded(int caller, std::optional<JobVerdict> verdict);
  void OnAnswer(int entry, const AnswerJob& answer);

  void ScheduleFaults(const RunWorldOptions& options);
  void InjectFault();
  void Trace(const std::string& process, const NoteStateChange& note);
  void Violate(const std::string& text);
  void NoteFault(const std::string& text);

  VirtualTime m_time;
  std::vector<Entry> m_entries;
  std::vector<Agent> m_agents;
  std::map<std::pair<int, int>, Link> m_links;
  std::vector<Caller> m_callers;
  std::map<std::pair<int, CallId>, int> m_caller_of_call;
  std::map<std::string, int> m_caller_of_job;
  uint64_t m_incarnations = 0;
  CallId m_calls = 0;
  int m_completed = 0;
  std::string m_traced_job;
  std::vector<std::string> m_violations;
  std::vector<std::string> m_fault_log;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_RUN_WORLD_H_
