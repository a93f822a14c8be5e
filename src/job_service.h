// The jobs' side of an entry, as one object for the node to wire: the front
// that answers callers and the owner that queues, places and answers jobs.
//
//   jobs.OnCallerSubmitted(7, a17);      // Forward, or StartTasks to agents
//   jobs.OnTaskReports("agent-3", ...);  // the last one: AnswerCaller{7,
//   whole}
//
// The node calls NodeContext::Begin() before, has updated the AgentDirectory
// and the authority's link state before it passes an event on here, and takes
// the actions from the context afterwards.
#ifndef EGRETSWITCH_SRC_JOB_SERVICE_H_
#define EGRETSWITCH_SRC_JOB_SERVICE_H_

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "agent_directory.h"
#include "control_state.h"
#include "messages.h"
#include "node_context.h"
#include "node_events.h"
#include "shard_authority.h"

namespace egretswitch::internal {

// What operators see of the jobs at one entry.
struct JobFigures {
  uint32_t requests_open = 0;  // callers waiting at this front
  uint32_t jobs_open = 0;      // owned here and without an outcome
  uint32_t tasks_waiting = 0;
  uint32_t tasks_running = 0;  // sent to an agent and without a result
  uint32_t workers_ejected = 0;
};

class JobService : public ShardObserver {
 public:
  JobService(NodeContext& context,
             const ControlState& control,
             const ShardAuthority& authority,
             AgentDirectory& agents,
             const Hello& self,
             uint32_t shard_count);
  ~JobService() override;
  JobService(const JobService&) = delete;
  JobService& operator=(const JobService&) = delete;

  // Callers of this front.
  void OnCallerSubmitted(CallerToken token, Submission submission);
  void OnCallerCancelled(CallerToken token, const SubmissionKey& key);
  void OnCallerGone(CallerToken token);

  // Messages and links of other entries.
  void OnForward(std::string_view entry, Forward forward);
  void OnForwardAnswer(std::string_view entry, ForwardAnswer answer);
  void OnForwardMoved(std::string_view entry, const ForwardMoved& moved);
  void OnCancelJob(std::string_view entry, const CancelJob& cancel);
  void OnEntryLinkUp(const Hello& entry);
  void OnEntryLinkDown(std::string_view name, uint64_t incarnation);
  void OnEntryEnded(std::string_view name, uint64_t incarnation);

  // Messages and links of agents. Reports carry a status; call only
  // OnTaskReports for them.
  void OnTaskReports(std::string_view agent, const TaskReports& reports);
  void OnAgentStatus(std::string_view agent);
  void OnAgentLinkUp(const Hello& agent);
  void OnAgentLinkDown(std::string_view name, uint64_t incarnation);
  void OnAgentRefused(std::string_view name);

  // ShardObserver.
  void OnShardServing(ShardId shard) override;
  std::vector<ReleasedJob> StartedJobs(ShardId shard) const override;
  void OnShardLost(ShardId shard) override;
  void OnOwnerChanged(ShardId shard) override;

  // An accepted edit of the operator table was folded.
  void OnTableChanged();

  void OnTick();

  // New callers are refused from now on; open work goes on.
  void BeginDrain();

  // No caller waits and no owned job is open.
  bool Idle() const;

  JobFigures Figures() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_JOB_SERVICE_H_
