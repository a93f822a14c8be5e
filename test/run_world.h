// Runs entries, agents, workers and callers of jobs made of steps in virtual
// time: the real JobDispatcher and RunManager, with small fakes around them,
// and the faults that the deployment must tolerate.
//
//   RunWorld world({.seed = 7});
//   world.Run(Ms(20'000));
//   BOOST_TEST(world.violations().empty());
//
// Each seed draws its own faults. The checks use what callers and workers see:
// no task runs twice at the same time on workers that are up, a job that was
// refused as "not run" at every attempt never started, a job is answered as
// failed only if two workers crashed under one of its tasks, and no task starts
// in an evacuated data centre once its agent must have received the evacuation,
// or some seconds after its job's cancel was acknowledged. Each entry's number
// of runs at a worker must be that of its tasks there.
#ifndef EGRETSWITCH_TEST_RUN_WORLD_H_
#define EGRETSWITCH_TEST_RUN_WORLD_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cancel_exchange.h"
#include "cancel_search.h"
#include "cancelled_jobs.h"
#include "fake_run_worker.h"
#include "job_dispatcher.h"
#include "run_manager.h"
#include "run_world_options.h"
#include "virtual_time.h"

namespace egretswitch::internal {

class RunWorld {
 public:
  explicit RunWorld(const RunWorldOptions& options);

  void Run(VirtualUs until);

  uint64_t seed() const { return m_seed; }
  // Violated invariants, with their times and the processes.
  const std::vector<std::string>& violations() const { return m_violations; }
  int completed() const { return m_completed; }
  int jobs() const { return static_cast<int>(m_callers.size()); }
  JobOutcome OutcomeOf(int job) const;
  uint64_t messages() const { return m_messages; }  // between processes
  uint64_t bytes() const { return m_bytes; }        // 0 unless counted
  // The share of all workers' processors that is in use now.
  double BusyShare() const;
  const RunCounters& CountersOf(int entry) const {
    return m_entries[entry].node->counters();
  }

  // Runs `task` at a set time, such as one of the faults below.
  void At(VirtualUs at, VirtualTime::Task task) {
    m_time.At(at, std::move(task));
  }
  void SetSlowness(int agent, double slowness) {
    m_agents[agent].slowness = slowness;
  }
  void CrashWorker(int agent, VirtualUs down);
  // Kills the agent, which starts again after `down`.
  void KillAgentFor(int agent, VirtualUs down);
  void FreezeAgentUntil(int agent, VirtualUs until) {
    FreezeAgent(agent, until);
  }
  // When the entry goes on it handles its timer, and `handled_after` later what
  // arrived meanwhile.
  void PauseEntry(int entry, VirtualUs lasts, VirtualUs handled_after);
  // The attempt of the job's caller ends by a broken connection. Its entry
  // learns of it a moment later, or only from others.
  void BreakConnectionOf(int job, bool noticed);
  // Until then no message passes between entries; they arrive afterwards.
  void HoldEntryMessages(VirtualUs until) { m_entries_cut_until = until; }
  // Ends the links between entries, which are up again after `down`.
  void ResetEntryLinks(VirtualUs down);
  // One direction of a link, which holds messages back until then.
  void CutLink(int entry, int agent, bool to_agent, VirtualUs until);
  // Until then the agent's calls, or only its starts, are carried out this much
  // later and get no answer.
  void CarryOutLate(int agent, VirtualUs until, VirtualUs by, bool starts_only);
  // Kill a process that is up, which starts again after `down`.
  void KillUpEntry(int entry, VirtualUs down);
  void KillUpAgent(int agent, VirtualUs down);
  // Until then the agent's calls get lost, or are carried out late.
  void MakeCallsFaulty(int agent, VirtualUs until) {
    m_agents[agent].calls_faulty_until = until;
  }
  // Until then the agent's stops get lost; its other calls don't.
  void LoseStops(int agent, VirtualUs until) {
    m_agents[agent].stops_lost_until = until;
  }
  // Summed over the present processes of all agents.
  uint64_t CountAtAgents(RunCounter counter) const;
  // How many runs ended on workers that are up because their lease expired.
  int LapsedRuns() const;
  // The job's caller cancels it at any entry, if it still waits for its answer.
  void CancelAt(VirtualUs at, int job);
  // The same at this entry.
  void CancelAtEntry(VirtualUs at, int job, int entry);
  // Whether the caller has received an acknowledgement of the cancel.
  bool IsCancelAcknowledged(int job) const {
    return m_callers[job].cancel_acknowledged_at.has_value();
  }
  // Kills the entry, which starts again afterwards.
  void KillEntryAt(VirtualUs at, int entry) {
    m_time.At(at, [this, entry] { KillEntry(entry, false); });
  }
  // Kills the entry, which starts again after `down`.
  void KillEntryFor(int entry, VirtualUs down) {
    EndEntry(entry, /*power_off=*/false, down);
  }
  // A copy of the job's submission arrives at the entry, from a caller that
  // awaits its answer.
  void SubmitCopyAt(VirtualUs at, int job, int entry);
  int cancels() const { return m_cancels; }
  int cancels_acknowledged() const { return m_cancels_acknowledged; }
  // The processor time that entries spent on cancels, and their messages.
  absl::Duration cancel_cost() const { return m_cancel_cost; }
  uint64_t cancel_messages() const { return m_cancel_messages; }
  // How many workers crashed while a task of the job ran on them.
  int CrashesUnder(int job) const;
  // The most start attempts of one task at one worker.
  int MaxStartsOfATask() const;
  // Agents are assigned to kDataCentres data centres in turn: agent-4 is in
  // dc-1. The store's new state reaches each running entry after `delay`.
  static constexpr int kDataCentres = 3;
  void SetEvacuated(const std::vector<int>& data_centres,
                    VirtualUs delay = Ms(5));
  // Keeps evacuations from this entry until it restarts.
  void BlockStoreUpdates(int entry) {
    m_entries[entry].store_updates_blocked = true;
  }
  // The number of starts at workers of a data centre so far.
  int StartsIn(int data_centre) const { return m_starts_in[data_centre]; }
  // Loses this percentage of the worker's answers, though it carries the calls
  // out. 0 restores all answers. `breaks` tells whether a lost answer ends its
  // connection at once; if not, the call times out.
  void LoseAnswers(int agent, int percent, bool breaks = false) {
    m_agents[agent].answers_lost = percent;
    m_agents[agent].lost_answers_break = breaks;
  }
  // Loses the messages on the link in both directions until it is redialled, by
  // the entry itself or after TCP's timeout.
  void MakeLinkUnresponsive(int entry, int agent);
  // Resets all connections of the entry at once, those of its callers as well.
  void ResetConnections(int entry);
  // Stops the process as planned, which starts again afterwards. An entry takes
  // no more callers and ends with its last job, or after some seconds; an agent
  // ends with its last run.
  void StopEntry(int entry);
  void StopAgent(int agent);
  int planned_stops() const { return m_planned_stops; }
  int resets() const { return m_resets; }
  // Terminates all processes, including the workers, for about `down`.
  void LoseAllPower(VirtualUs down);
  const std::vector<std::string>& fault_log() const { return m_fault_log; }

 private:
  // A process and its state machine, which is null while the process is down.
  template <typename Node, typename NodeEvent>
  struct Process {
    using Event = NodeEvent;
    int number = 0;
    std::string name;
    uint64_t incarnation = 0;
    std::unique_ptr<Node> node;
    VirtualUs frozen_until = 0;
    std::deque<Event> queued;  // arrived while it was frozen
    VirtualUs wake_at = 0;
  };
  struct Entry : Process<JobDispatcher, JobDispatcherEvent> {
    std::unique_ptr<CancelSearch> search;      // null like `node`
    std::unique_ptr<CancelExchange> exchange;  // likewise
    VirtualUs exchange_wake_at = 0;
    bool draining = false;
    VirtualUs search_wake_at = 0;
    bool store_updates_blocked = false;
    uint64_t evacuations_received = 0;  // version of the state last received
    VirtualUs evacuations_received_at = 0;
  };
  struct Agent : Process<RunManager, RunManagerEvent> {
    std::unique_ptr<FakeRunWorker> worker;
    CancelledJobs cancelled_jobs;
    std::unique_ptr<CancelExchange> exchange;  // null like `node`
    bool draining = false;
    TaskNeeds capacity = kFakeWorkerCapacity;
    double slowness = 1;
    std::string kind;
    uint64_t worker_number = 0;
    std::map<uint64_t, VirtualUs> worker_started_at;  // start times, by number
    uint64_t announcements = 0;
    VirtualUs calls_faulty_until = 0;  // answers lost, or carried out late
    VirtualUs stops_lost_until = 0;
    VirtualUs calls_late_until = 0;  // carried out `calls_late_by` later
    VirtualUs calls_late_by = 0;
    bool only_starts_late = false;
    int answers_lost = 0;             // percent
    bool lost_answers_break = false;  // their connections
  };
  enum class CallKind : uint8_t { kStart = 0, kStop, kPoll };
  // While it lasts, this share of such calls gets no answer.
  struct UnansweredPeriod {
    VirtualUs until = 0;
    int percent = 0;
    std::set<CallKind> kinds;
  };
  // One direction of a link.
  struct Direction {
    VirtualUs cut_until = 0;     // messages are delayed until then
    VirtualUs last_arrival = 0;  // arrivals keep their order
  };
  struct Link {
    uint64_t entry_incarnation = 0;
    uint64_t agent_incarnation = 0;
    bool up = false;
    bool unresponsive = false;
    uint64_t number = 0;  // of the present connection, rises by one
    VirtualUs up_since = 0;
    Direction to_agent;
    Direction to_entry;
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
    std::optional<VirtualUs> cancel_acknowledged_at;
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
  template <typename AnyProcess>
  void DeliverOver(const Link& link,
                   VirtualUs arrival,
                   AnyProcess& to,
                   const PeerMessageReceived& message);
  void Transmit(const Entry& entry, const SendRunMessage& send);
  void Transmit(const Agent& agent, const SendRunMessage& send);
  void TransmitToEntry(const Entry& from, const SendRunMessage& send);
  // The links between entries last as long as both run.
  void LinkEntries(const Entry& entry);
  void ResetEntryLink(const Entry& entry, const Entry& other, VirtualUs down);
  void UnlinkEntries(const Entry& entry, VirtualUs delay);
  VirtualUs ArrivalOn(Direction& direction) const;
  void CountMessage(const RunMessageBody& body);

  void StartEntry(int entry);
  void StartAgent(int agent);
  void KillEntry(int entry, bool power_off);
  void EndEntry(int entry, bool power_off, VirtualUs down);
  void KillAgent(int agent, bool power_off);
  void EndAgent(int agent, VirtualUs delay);
  void Connect(int entry, int agent);
  void Disconnect(int entry, int agent, VirtualUs delay);
  // Ends the caller's attempt. Its entry learns of it a moment later, unless
  // the end of the connection gets lost.
  void DisconnectCaller(int caller);
  void RedialPeer(int entry, int agent);
  void EndWorker(int agent);
  void ReplaceWorker(int agent);
  void Announce(int agent);
  std::string WorkerName(const Agent& process, uint64_t number) const;
  WorkerAnnouncement AnnouncementOf(int agent, int64_t number) const;

  int64_t DrawnRunMs(int agent, const JobPlan& plan, uint32_t task);
  void CallWorker(int agent, const StartCall& call);
  void CallWorker(int agent, const StopCall& call);
  void CallWorker(int agent, const PollCall& call);
  template <typename Call, typename Carry>
  void Send(int agent, const Call& call, Carry carry);
  template <typename Call>
  void LeaveUnanswered(int agent,
                       const Call& call,
                       const CallAnswer& answer,
                       VirtualUs delay);
  void CrashSoon(int agent, const JobPlan& plan);
  bool EndedWithItsWorker(int agent, uint64_t sent_to) const;
  bool LosesAnswer(int agent);
  bool LeavesUnanswered(CallKind kind);
  bool IsCarriedOutLate(const Agent& agent, CallKind kind) const;
  VirtualUs DrawnCallDelay();
  VirtualUs DrawnLateArrival(bool unanswered);
  void LeavePollUnanswered(int agent,
                           const PollCall& call,
                           VirtualUs deadline,
                           MonoTime asked);
  CallAnswer AnswerOfDownWorker(MonoTime asked) const;
  void PollUntil(int agent, PollCall call, VirtualUs deadline, MonoTime asked);
  void RecordStart(int agent, const RunKey& key);
  static std::string DataCentreOf(int agent);
  void DeliverEvacuations(int entry);
  bool EvacuationMustHaveArrived(int agent) const;
  void CheckStartCall(int agent, const RunKey& key);
  void DrawEvacuation();
  void DrawUnresponsiveLink();
  void DrawResetSeries();
  void ScheduleSpells(const RunWorldOptions& options);
  int DrawAgent();
  int DrawAnyEntry();
  void DrawSpell();
  void InjectSpellFault(int entry, int agent);
  void KillAgentAgain(int agent);
  void KillSeveralAgents();
  void CutOneWay(int entry, int agent);
  void DrawUnansweredPeriod();
  void DrawLateDeparture();
  void LeaveFrozenEntry(int caller, VirtualUs lasts);
  // Unless the entry is frozen for another time than `until` by then.
  void HandleTimerAfter(VirtualUs lasts, int entry, VirtualUs until);
  void LoseEntryAndStops(int entry);
  void InjectProcessEnd();
  void AwaitEntryDrain(int entry, uint64_t incarnation, VirtualUs deadline);
  void AwaitAgentDrain(int agent, uint64_t incarnation, VirtualUs deadline);
  void DrawCancel();

  void StartExchange(Entry& entry);
  void StartExchange(Agent& agent);
  template <typename AnyProcess>
  void ToExchange(AnyProcess& process, const CancelExchangeEvent& event);
  void PerformOne(Entry& entry, const SendRunMessage& send);
  void PerformOne(Entry& entry, const MergeCancelledJobs& merge);
  void PerformOne(Entry& entry, const CancelMemoryComplete& complete);
  void PerformOne(Entry& entry, const NoteStateChange& note);
  void PerformOne(Agent& agent, const SendRunMessage& send);
  void PerformOne(Agent& agent, const MergeCancelledJobs& merge);
  void PerformOne(Agent& agent, const CancelMemoryComplete& complete);
  void PerformOne(Agent& agent, const NoteStateChange& note);
  // Handles TimePassed at `wake`, unless an earlier time is set in `wake_at`.
  template <typename Handler>
  void WakeAt(MonoTime wake,
              VirtualUs& wake_at,
              const Entry& entry,
              Handler handle);
  void WakeExchange(Entry& entry);
  void WakeExchange(Agent& agent);
  void StartSearch(int entry);
  void EndSearch(int entry);
  void ToSearch(int entry, const CancelEvent& event);
  void WakeSearch(int entry);
  void Cancel(int caller, int attempt);
  void SendCancel(int caller, int entry);
  void OnCancelAnswer(int entry, const AnswerCancel& answer);
  void OnCancelAcknowledged(int caller);
  JobArrived ArrivalOf(const JobPlan& plan, CallId call, VirtualUs timeout);
  void SubmitCopy(int job, int entry);
  void LoseAllEntries();
  void StopEntriesInTurn();
  void CheckNotCancelled(const std::string& job);

  static JobPlan DrawnPlan(VirtualTime& time, int number);
  int DrawEntry();
  int EntryOfNextAttempt(const Caller& caller);
  VirtualUs RemainingTimeout(const Caller& caller) const;
  void Submit(int caller);
  // Tells the entry at once of all callers that have left it.
  void CheckCallersOf(const Entry& entry);
  void Resend(int caller, VirtualUs after);
  void AttemptEnded(int caller, const std::optional<JobAnswer>& answer);
  void OnAnswer(int entry, const AnswerJob& answer);
  void CheckFailure(const std::string& job);
  void CheckRunCounts(const Entry& entry);

  void ScheduleFaults(const RunWorldOptions& options);
  void InjectFault();
  void Trace(const std::string& process, const NoteStateChange& note);
  void AddViolation(const std::string& text);
  void LogFault(const std::string& text);

  const uint64_t m_seed;
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
  UnansweredPeriod m_unanswered;
  VirtualUs m_entries_cut_until = 0;
  const bool m_slow_stops;
  const bool m_slow_calls;
  const int m_refused_starts;
  const int m_late_copies;
  const bool m_departures_then_kills;
  const int m_lost_departures;
  std::set<CallId> m_unnoticed;  // calls whose callers left unnoticed
  const bool m_same_worker_ids;
  const bool m_down_workers_refuse;
  const int64_t m_max_lease_ms;
  Evacuations m_evacuations;                  // the store's state
  std::set<std::pair<int, RunKey>> m_called;  // starts, by agent
  int m_starts_in[kDataCentres] = {};
  std::map<TaskRef, int> m_crashes;  // of workers that ran the task
  uint64_t m_messages = 0;
  std::map<CallId, int> m_cancel_calls;  // with their callers
  int m_planned_stops = 0;
  int m_resets = 0;
  int m_cancels = 0;
  int m_cancels_acknowledged = 0;
  absl::Duration m_cancel_cost;
  uint64_t m_cancel_messages = 0;
  const bool m_count_bytes;
  uint64_t m_bytes = 0;
  std::vector<std::string> m_violations;
  std::vector<std::string> m_fault_log;
};

template <typename Handler>
void RunWorld::WakeAt(MonoTime wake,
                      VirtualUs& wake_at,
                      const Entry& entry,
                      Handler handle) {
  if (wake == absl::InfiniteDuration()) {
    return;
  }
  const VirtualUs at =
      std::max(absl::ToInt64Microseconds(wake - NowAt().mono), int64_t{1}) +
      m_time.now();
  if (wake_at > m_time.now() && wake_at <= at) {
    return;
  }
  wake_at = at;
  m_time.At(at, [&entry, handle, incarnation = entry.incarnation] {
    if (entry.incarnation == incarnation) {
      handle();
    }
  });
}

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_RUN_WORLD_H_
