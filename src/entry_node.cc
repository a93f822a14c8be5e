// Wires the two sides of an entry: EntryControl decides who owns what, and
// JobService runs the jobs. Control handles each event first, so that a shard
// lost by it is never used by the jobs' side in the same event.
#include "entry_node.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "agent_directory.h"
#include "entry_control.h"
#include "job_service.h"
#include "kernel.h"
#include "node_context.h"

namespace egretswitch::internal {

class EntryNode::Impl : public ControlObserver {
 public:
  explicit Impl(EntryOptions options);

  Actions Handle(const EntryEvent& event, Now now);
  EntryStatus Status(Now now) const;
  const ControlState& control() const { return m_control.control(); }
  const Counters& counters() const { return m_context.counters(); }

  // ControlObserver: passed on to the jobs' side.
  void OnShardServing(ShardId shard) override { m_jobs.OnShardServing(shard); }
  std::vector<ReleasedJob> StartedJobs(ShardId shard) const override {
    return m_jobs.StartedJobs(shard);
  }
  void OnShardLost(ShardId shard) override { m_jobs.OnShardLost(shard); }
  void OnOwnerChanged(ShardId shard) override { m_jobs.OnOwnerChanged(shard); }
  void OnTableChanged() override { m_jobs.OnTableChanged(); }
  void OnEntryEnded(const EntryId& id) override {
    m_jobs.OnEntryEnded(id.name, id.incarnation);
  }

 private:
  void On(const LinkUp& up);
  void On(const LinkDown& down);
  void On(const PeerRefusedConnection& refused);
  void On(const MessageArrived& arrived);
  void On(const Tick&);
  void On(const BeginDrain&);
  void On(const LogReadDone& done) { m_control.log().OnReadDone(done); }
  void On(const LogReadFailed& failed) { m_control.log().OnReadFailed(failed); }
  void On(const LogAppendDone& done) { m_control.log().OnAppendDone(done); }
  void On(const LogAppendFailed& failed) {
    m_control.log().OnAppendFailed(failed);
  }
  void On(const CallerSubmitted& submitted) {
    m_jobs.OnCallerSubmitted(submitted.token, submitted.submission);
  }
  void On(const CallerCancelled& cancelled) {
    m_jobs.OnCallerCancelled(cancelled.token, cancelled.key);
  }
  void On(const CallerGone& gone) { m_jobs.OnCallerGone(gone.token); }
  void On(const OperatorEdited& edited) { m_control.edits().OnEdited(edited); }
  void On(const OperatorDeclaredEnded& declared) {
    m_control.edits().OnDeclaredEnded(declared);
  }
  void PassToJobs(const std::string& peer, const Message& message);

  const EntryOptions m_options;
  NodeContext m_context;
  AgentDirectory m_agents;
  Kernel m_kernel;
  EntryControl m_control;
  JobService m_jobs;
};

EntryNode::Impl::Impl(EntryOptions options)
    : m_options(std::move(options)),
      m_context(m_options.random_seed),
      m_control(m_options, &m_context, &m_agents, &m_kernel),
      m_jobs(m_context,
             m_control.control(),
             m_control.authority(),
             m_agents,
             m_options.self,
             m_options.shard_count) {
  m_control.SetObserver(this);
  m_control.SetIdle([this] { return m_jobs.Idle(); });
}

// The last Update() draws what follows from the jobs' side's own acts, such as
// the end of a drain.
Actions EntryNode::Impl::Handle(const EntryEvent& event, Now now) {
  m_context.Begin(now);
  std::visit([this](const auto& typed) { On(typed); }, event);
  m_control.Update();
  return m_context.TakeActions();
}

void EntryNode::Impl::On(const LinkUp& up) {
  m_control.OnLinkUp(up.peer);
  m_control.Update();
  if (up.peer.role == ProcessRole::kEntry) {
    m_jobs.OnEntryLinkUp(up.peer);
  } else if (up.peer.role == ProcessRole::kAgent) {
    m_jobs.OnAgentLinkUp(up.peer);
  }
}

void EntryNode::Impl::On(const LinkDown& down) {
  const KnownAgent* agent = m_agents.Find(down.peer);
  const bool is_agent = agent != nullptr;
  m_control.OnLinkDown(down);
  m_control.Update();
  if (is_agent) {
    m_jobs.OnAgentLinkDown(down.peer, down.incarnation);
  } else {
    m_jobs.OnEntryLinkDown(down.peer, down.incarnation);
  }
}

void EntryNode::Impl::On(const PeerRefusedConnection& refused) {
  m_control.OnRefused(refused);
  m_control.Update();
  if (m_control.control().slots().contains(refused.peer)) {
    m_jobs.OnAgentRefused(refused.peer);
  }
}

void EntryNode::Impl::On(const MessageArrived& arrived) {
  m_context.counters().Add(Counter::kMessagesReceived);
  if (!m_control.OnMessage(arrived)) {
    return;
  }
  m_control.Update();
  PassToJobs(arrived.peer, arrived.message);
}

void EntryNode::Impl::PassToJobs(const std::string& peer,
                                 const Message& message) {
  if (const auto* forward = std::get_if<Forward>(&message)) {
    m_jobs.OnForward(peer, *forward);
  } else if (const auto* answer = std::get_if<ForwardAnswer>(&message)) {
    m_jobs.OnForwardAnswer(peer, *answer);
  } else if (const auto* moved = std::get_if<ForwardMoved>(&message)) {
    m_jobs.OnForwardMoved(peer, *moved);
  } else if (const auto* cancel = std::get_if<CancelJob>(&message)) {
    m_jobs.OnCancelJob(peer, *cancel);
  } else if (std::holds_alternative<AgentStatus>(message)) {
    m_jobs.OnAgentStatus(peer);
  } else if (const auto* reports = std::get_if<TaskReports>(&message)) {
    m_jobs.OnTaskReports(peer, *reports);
  }
}

void EntryNode::Impl::On(const Tick&) {
  m_control.OnTick();
  m_control.Update();
  m_jobs.OnTick();
}

void EntryNode::Impl::On(const BeginDrain&) {
  m_control.BeginDrain();
  m_jobs.BeginDrain();
}

EntryStatus EntryNode::Impl::Status(Now now) const {
  EntryStatus status = m_control.Status(now);
  const JobFigures figures = m_jobs.Figures();
  status.jobs_open = figures.jobs_open;
  status.tasks_waiting = figures.tasks_waiting;
  status.tasks_running = figures.tasks_running;
  return status;
}

EntryNode::EntryNode(EntryOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options))) {}

EntryNode::~EntryNode() = default;

Actions EntryNode::Handle(const EntryEvent& event, Now now) {
  return m_impl->Handle(event, now);
}

EntryStatus EntryNode::Status(Now now) const {
  return m_impl->Status(now);
}

const ControlState& EntryNode::control() const {
  return m_impl->control();
}

const Counters& EntryNode::counters() const {
  return m_impl->counters();
}

}  // namespace egretswitch::internal
