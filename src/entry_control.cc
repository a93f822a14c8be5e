#include "entry_control.h"

#include <algorithm>

namespace egretswitch::internal {
namespace {

EntryId IdOf(const Hello& hello) {
  return {hello.name, hello.incarnation};
}

EntryJoined JoinOf(const EntryOptions& options) {
  return {options.self.name, options.self.incarnation, options.address,
          options.self.data_centre, options.self.region};
}

}  // namespace

EntryControl::EntryControl(const EntryOptions& options,
                           NodeContext* context,
                           AgentDirectory* agents,
                           Kernel* kernel)
    : m_self(IdOf(options.self)),
      m_context(*context),
      m_agents(*agents),
      m_log(m_self, options.shard_count, context),
      m_peers(m_self, &m_log, context),
      m_lease(m_self, &m_log, &m_peers, context),
      m_takeover(m_self, &m_log, &m_peers, &m_lease, agents, context),
      m_assignment(m_self, &m_log, &m_peers, &m_takeover, context),
      m_membership(
          JoinOf(options),
          {&m_log, &m_peers, &m_lease, &m_takeover, &m_assignment, context}),
      m_snapshots(&m_log, &m_takeover, context),
      m_edits(m_self, &m_log, &m_peers, context),
      m_notes(&m_log, &m_lease, context) {
  for (LogObserver* observer : std::initializer_list<LogObserver*>{
           &m_membership, &m_peers, &m_lease, &m_takeover, &m_assignment,
           &m_snapshots, &m_edits}) {
    m_log.AddObserver(observer);
  }
  m_peers.AddObserver(&m_lease);
  Register(kernel);
}

void EntryControl::Register(Kernel* kernel) {
  kernel->Register("log", &m_log);
  kernel->Register("control", &m_log.control());
  kernel->Register("peers", &m_peers);
  kernel->Register("lease", &m_lease);
  kernel->Register("takeover", &m_takeover);
  kernel->Register<ShardAuthority>("authority", &m_takeover);
}

void EntryControl::SetObserver(ControlObserver* observer) {
  m_observer = observer;
  m_takeover.SetObserver(observer);
  m_peers.AddObserver(observer);
}

void EntryControl::SetIdle(std::function<bool()> idle) {
  m_membership.SetIdle(std::move(idle));
}

void EntryControl::OnLinkUp(const Hello& hello) {
  if (hello.role == ProcessRole::kEntry) {
    m_peers.OnLinkUp(hello);
  } else if (hello.role == ProcessRole::kAgent) {
    m_agents.OnLinkUp(hello);
    m_takeover.OnAgentLinkUp(hello.name);
  }
}

void EntryControl::OnLinkDown(const LinkDown& down) {
  m_peers.OnLinkDown(down.peer, down.incarnation);
  m_agents.OnLinkDown(down.peer, down.incarnation);
}

void EntryControl::OnRefused(const PeerRefusedConnection& refused) {
  m_peers.OnRefused(refused);
}

void EntryControl::OnTick() {
  m_log.OnTick();
  m_peers.OnTick();
  m_membership.OnTick();
  m_takeover.OnTick();
  m_snapshots.OnTick();
  m_edits.OnTick();
  m_lease.RenewFromPeers();
  if (m_membership.IsMember() && !m_lease.stopped()) {
    m_assignment.OnTick();
  }
}

void EntryControl::BeginDrain() {
  m_membership.BeginDrain();
}

bool EntryControl::IsCurrent(std::string_view peer,
                             uint64_t incarnation) const {
  if (m_peers.IsLinked(EntryId{std::string(peer), incarnation})) {
    return true;
  }
  const KnownAgent* agent = m_agents.Find(peer);
  return agent != nullptr && agent->linked &&
         agent->hello.incarnation == incarnation;
}

bool EntryControl::OnMessage(const MessageArrived& arrived) {
  if (!IsCurrent(arrived.peer, arrived.incarnation)) {
    return false;
  }
  const EntryId from{arrived.peer, arrived.incarnation};
  const Message& message = arrived.message;
  if (const auto* ping = std::get_if<PeerPing>(&message)) {
    m_peers.OnPing(from, *ping);
  } else if (const auto* pong = std::get_if<PeerPong>(&message)) {
    m_peers.OnPong(from, *pong);
    m_lease.RenewFromPeers();
  } else if (const auto* relay = std::get_if<LogRelay>(&message)) {
    m_log.OnRelay(*relay);
  } else if (const auto* released = std::get_if<ShardsReleased>(&message)) {
    m_takeover.OnShardsReleased(from, *released);
  } else if (const auto* reply = std::get_if<FenceReply>(&message)) {
    m_takeover.OnFenceReply(arrived.peer, *reply);
  } else if (const auto* status = std::get_if<AgentStatus>(&message)) {
    m_agents.OnStatus(arrived.peer, *status, m_context.now().mono);
  } else if (const auto* reports = std::get_if<TaskReports>(&message)) {
    m_agents.OnStatus(arrived.peer, reports->agent, m_context.now().mono);
  }
  return true;
}

void EntryControl::Update() {
  m_notes.Update();
  m_membership.Update();
  m_takeover.Update();
  const uint64_t offset = m_log.control().next_offset();
  const bool news =
      offset != m_assigned_offset || m_peers.ended_count() != m_assigned_ended;
  if (news && m_membership.IsMember() && !m_lease.stopped()) {
    m_assigned_offset = offset;
    m_assigned_ended = m_peers.ended_count();
    m_assignment.Update();
  }
  if (m_log.control().table_version() != m_table_version) {
    m_table_version = m_log.control().table_version();
    if (m_observer != nullptr) {
      m_observer->OnTableChanged();
    }
  }
}

EntryStatus EntryControl::Status(Now now) const {
  EntryStatus status;
  status.fold_offset = m_log.control().next_offset();
  status.table_version = m_log.control().table_version();
  const absl::Duration age = now.mono - m_log.last_success_asked();
  status.log_age_ms = absl::ToInt64Milliseconds(std::min(age, absl::Hours(24)));
  status.may_start_tasks = m_lease.MayStart(now.mono);
  status.draining = m_membership.draining();
  status.shards_owned = m_takeover.owned_count();
  status.shards_serving = m_takeover.serving_count();
  for (const auto& [name, agent] : m_agents.agents()) {
    status.workers_linked += agent.linked ? 1 : 0;
    status.slots_free += agent.linked ? agent.free_slots : 0;
  }
  return status;
}

}  // namespace egretswitch::internal
