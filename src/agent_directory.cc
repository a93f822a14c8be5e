#include "agent_directory.h"

#include <algorithm>

namespace egretswitch::internal {

void AgentDirectory::OnLinkUp(const Hello& hello) {
  KnownAgent agent;
  agent.hello = hello;
  agent.linked = true;
  m_agents[hello.name] = agent;
}

void AgentDirectory::OnLinkDown(std::string_view name, uint64_t incarnation) {
  const auto it = m_agents.find(name);
  if (it == m_agents.end() || it->second.hello.incarnation != incarnation) {
    return;
  }
  it->second.linked = false;
  it->second.permission = 0;
  it->second.free_slots = 0;
  it->second.offered = 0;
}

void AgentDirectory::OnStatus(std::string_view name,
                              const AgentStatus& status,
                              MonoTime now) {
  const auto it = m_agents.find(name);
  if (it == m_agents.end() || !it->second.linked) {
    return;
  }
  KnownAgent& agent = it->second;
  agent.leaving = status.leaving;
  agent.permission = status.permission;
  agent.permission_received = now;
  agent.free_slots = status.free_slots;
  agent.offered = status.offered;
  agent.offered_at = now;
}

void AgentDirectory::OnStartsSent(std::string_view name, uint32_t count) {
  const auto it = m_agents.find(name);
  if (it == m_agents.end()) {
    return;
  }
  KnownAgent& agent = it->second;
  agent.offered -= std::min(agent.offered, count);
  agent.free_slots -= std::min(agent.free_slots, count);
}

const KnownAgent* AgentDirectory::Find(std::string_view name) const {
  const auto it = m_agents.find(name);
  return it == m_agents.end() ? nullptr : &it->second;
}

}  // namespace egretswitch::internal
