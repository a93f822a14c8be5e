// Entries, agents, workers and callers of jobs made of steps in virtual time:
// the real JobDispatcher and RunManager, with small fakes around them, and the
// faults that the deployment must bear.
//
//   RunWorld world({.seed = 7});
//   world.Run(Ms(20'000));
//   BOOST_TEST(world.violations().empty());
//
// Each seed draws its own faults. The checks see what callers and workers see:
// no task runs twice at the same time on workers that are up, a job that was
// refused as "not run" at every attempt never started, one is answered as
// failed only when two workers crashed under one of its tasks, and nothing
// starts in an evacuated data centre once its agent can know of it.
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

#include "dispatch_policy.h"
#include "fake_run_worker.h"
#include "job_dispatcher.h"
#include "run_manager.h"
#include "virtual_time.h"

namespace egretswitch::internal {

inline constexpr VirtualUs kLinkDelay = 500;

// A worker and how fast it is.
struct WorkerPlan {
  TaskNeeds capacity = kFakeWorkerCapacity;
  double slowness = 1;  // run time over the task's work
};

// A job that a caller hands in, with what only the fakes know of it.
struct JobPlan {
  std::string id;
  VirtualUs at = 0;              // first handed in
  std::vector<int64_t> work_ms;  // of each task, on a worker of slowness 1
  TaskNeeds needs = kFakeTaskNeeds;
  uint32_t estimate_ms = 0;
  JobQueue queue;
  VirtualUs patience = Ms(2500);  // of the first attempt
  // Whether the caller waits so long in all, or at each attempt anew.
  bool patience_is_total = false;
  // Its tasks crash each worker that starts them; they never end otherwise.
  bool crashes_workers = false;
  VirtualUs crashed_for = Ms(200);
};

// What a caller has seen in the end.
struct JobOutcome {
  std::optional<JobVerdict> verdict;  // none: no answer, at any attempt
  VirtualUs ended_at = 0;
  absl::Duration retry_after = absl::ZeroDuration();
  int attempts = 0;
};

struct RunWorldOptions {
  uint64_t seed = 1;
  int entries = 3;
  int agents = 4;
  int jobs = 120;
  int faults = 14;
  int evacuations = 0;          // drawn as well, of one or two data centres
  int silent_links = 0;         // drawn as well
  std::string traced_job = {};  // notes about it go to the fault log
  // A worker that crashed starts again under its id, at times at once.
  bool same_worker_ids = false;
  // A worker that is down refuses connections; else calls get no answer.
  bool down_workers_refuse = false;
  std::vector<JobPlan> plans = {};       // in place of `jobs` drawn ones
  std::vector<WorkerPlan> workers = {};  // in place of `agents` equal ones
  // How much of the callers each entry gets; none: all the same.
  std::vector<int> entry_shares = {};
  VirtualUs link_delay = kLinkDelay;
  VirtualUs caller_delay = kLinkDelay;
  DispatchPolicy policy = {};
};

class RunWorld {
 public:
  explicit RunWorld(const RunWorldOptions& options);

  void Run(VirtualUs until);

  // What must never happen, with the moment and the names.
  const std::vector<std::string>& violations() const { return m_violations; }
  int completed() const { return m_completed; }
  int jobs() const { return static_cast<int>(m_callers.size()); }
  JobOutcome OutcomeOf(int job) const;
  uint64_t messages() const { return m_messages; }  // between processes
  // The share of the processors of all workers that something runs on now.
  double BusyShare() const;
  const RunCounters& CountersOf(int entry) const {
    return m_entries[entry].node->counters();
  }

  // Troubles at a set moment.
  void At(VirtualUs at, VirtualTime::Task task) {
    m_time.At(at, std::move(task));
  }
  void SetSlowness(int agent, double slowness) {
    m_agents[agent].slowness = slowness;
  }
  void CrashWorker(int agent, VirtualUs down);
  // How many workers crashed while a task of the job ran on them.
  int CrashesUnder(int job) const;
  // How often one task was tried at one worker, at most.
  int MostTriesOfATask() const;
  // Agents are in kDataCentres data centres by turns: agent-4 in dc-1. The
  // store's new state reaches each entry that runs after `told_after`.
  static constexpr int kDataCentres = 3;
  void SetEvacuated(const std::vector<int>& data_centres,
                    VirtualUs told_after = Ms(5));
  // This entry hears of no evacuation until it is started anew.
  void TurnAwayFromStore(int entry) { m_entries[entry].turned_away = true; }
  // Starts at workers of a data centre so far.
  int StartsIn(int data_centre) const { return m_starts_in[data_centre]; }
  // So many in a hundred of the worker's answers never come; its calls are
  // carried out. 0: all come again.
  void LoseAnswers(int agent, int percent) {
    m_agents[agent].answers_lost = percent;
  }
  // What is sent on the link, either way, is lost until it is dialled anew; by
  // the entry itself, or when TCP has noticed.
  void SilenceLink(int entry, int agent);
  // All processes lose power, those of the workers too, for about so long.
  void LoseAllPower(VirtualUs down);
  const std::vector<std::string>& fault_log() const { return m_fault_log; }

 private:
  // A process: its state machine, or none while it is down.
  template <typename Node, typename NodeEvent>
  struct Process {
    using Event = NodeEvent;
    int number = 0;
    std::string name;
    uint64_t incarnation = 0;
    std::unique_ptr<Node> node;
    VirtualUs frozen_until = 0;
    std::deque<Event> held;  // arrived while it was frozen
    VirtualUs wake_at = 0;
  };
  struct Entry : Process<JobDispatcher, JobDispatcherEvent> {
    bool turned_away = false;
    uint64_t evacuations_told = 0;  // the version, and when
    VirtualUs told_at = 0;
  };
  struct Agent : Process<RunManager, RunManagerEvent> {
    std::unique_ptr<FakeRunWorker> worker;
    TaskNeeds capacity = kFakeWorkerCapacity;
    double slowness = 1;
    uint64_t worker_number = 0;
    std::map<uint64_t, VirtualUs> worker_births;  // by number
    uint64_t announcements = 0;
    VirtualUs calls_harmed_until = 0;  // answers lost, or carried out late
    int answers_lost = 0;              // in a hundred
  };
  // One way of a link.
  struct Way {
    VirtualUs cut_until = 0;     // what is sent waits, then arrives
    VirtualUs last_arrival = 0;  // arrivals keep their order
  };
  struct Link {
    uint64_t entry_incarnation = 0;
    uint64_t agent_incarnation = 0;
    bool up = false;
    bool silent = false;
    uint64_t number = 0;  // of this connection; rises
    VirtualUs up_since = 0;
    Way to_agent;
    Way to_entry;
  };
  struct Caller {
    JobPlan plan;
    JobOutcome outcome;
    int attempts = 0;
    std::optional<CallId> open_call;
    int entry = 0;
    VirtualUs sent_at = 0;
    bool ended = false;
    bool all_refused = true;  // every attempt so far ended as "not run"
    bool started = false;     // a task of it was started
  };

  Now NowAt() const;
  Link& LinkOf(int entry, int agent) { return m_links[{entry, agent}]; }

  void ToEntry(int entry, const JobDispatcherEvent& event);
  void ToAgent(int agent, const RunManagerEvent& event);
  void FreezeEntry(int entry, VirtualUs until);
  void FreezeAgent(int agent, VirtualUs until);
  template <typename AnyProcess>
  void Deliver(AnyProcess& process, const typename AnyProcess::Event& event);
  template <typename AnyProcess>
  void Arm(AnyProcess& process);
  template <typename AnyProcess>
  void Freeze(AnyProcess& process, VirtualUs until);
  void Perform(const Entry& entry, const JobDispatcherActions& actions);
  void Perform(const Agent& agent, const RunManagerActions& actions);
  void Transmit(const Entry& entry, const SendRunMessage& send);
  void Transmit(const Agent& agent, const SendRunMessage& send);
  VirtualUs ArrivalOn(Way& way) const;

  void StartEntry(int entry);
  void StartAgent(int agent);
  void KillEntry(int entry, bool silent);
  void KillAgent(int agent, bool silent);
  void Connect(int entry, int agent);
  void Disconnect(int entry, int agent, VirtualUs told_after);
  void DialAgain(int entry, int agent);
  void EndWorker(int agent);
  void ReplaceWorker(int agent);
  void Announce(int agent);
  std::string WorkerName(const Agent& process, uint64_t number) const;
  WorkerAnnouncement AnnouncementOf(int agent, int64_t number) const;

  void CallWorker(int agent, const StartCall& call);
  void CallWorker(int agent, const StopCall& call);
  void CallWorker(int agent, const PollCall& call);
  template <typename Call, typename Carry>
  void Send(int agent, const Call& call, Carry carry);
  template <typename Call>
  void LeaveUnanswered(int agent,
                       const Call& call,
                       CallVerdict verdict,
                       VirtualUs told_after);
  void CrashSoon(int agent, const JobPlan& plan);
  bool EndedWithItsWorker(int agent, uint64_t sent_to) const;
  bool LosesAnswer(int agent);
  CallVerdict NobodyThere(MonoTime asked) const;
  void LookUntil(int agent, PollCall call, VirtualUs give_up, MonoTime asked);
  void NoteStart(int agent, const RunKey& key);
  static std::string DataCentreOf(int agent);
  void TellEvacuations(int entry);
  bool KnowsEvacuation(int agent) const;
  void CheckStartCall(int agent, const RunKey& key);
  void DrawEvacuation();
  void DrawSilentLink();

  static JobPlan DrawnPlan(VirtualTime& time, int number);
  int DrawEntry();
  VirtualUs PatienceLeft(const Caller& caller) const;
  void Submit(int caller);
  void Resend(int caller, VirtualUs after);
  void AttemptEnded(int caller, const std::optional<JobAnswer>& answer);
  void OnAnswer(int entry, const AnswerJob& answer);
  void CheckFailure(const std::string& job);

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
  std::vector<int> m_entry_shares;
  VirtualUs m_link_delay = kLinkDelay;
  VirtualUs m_caller_delay = kLinkDelay;
  DispatchPolicy m_policy;
  const bool m_same_worker_ids;
  const bool m_down_workers_refuse;
  Evacuations m_evacuations;                  // as the store has it
  std::set<std::pair<int, RunKey>> m_called;  // starts, by agent
  int m_starts_in[kDataCentres] = {};
  std::map<TaskRef, int> m_crashes;  // of workers that ran the task
  uint64_t m_messages = 0;
  std::vector<std::string> m_violations;
  std::vector<std::string> m_fault_log;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_RUN_WORLD_H_
