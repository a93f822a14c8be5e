#include "slot_wants.h"

#include <algorithm>

namespace egretswitch::internal {

SlotWants::SlotWants(Kernel& kernel)
    : m_context(kernel.Find<EntryRefs>("entry").context),
      m_picker(kernel.Find<AgentPicker>("picker")) {
  kernel.Register("wants", this);
}

std::vector<AgentId> SlotWants::ChooseMore(uint32_t tasks,
                                           const AgentPicker::Fits& fits) {
  std::vector<AgentId> agents = m_picker.AgentsToAsk(fits);
  const auto linked = static_cast<uint32_t>(agents.size());
  const uint32_t most = std::max(kFewestAsked, linked / kAskedOneIn);
  const uint32_t wanted = std::min({tasks, most, linked});
  if (m_asked.size() >= wanted) {
    return {};
  }
  std::erase_if(agents, [&](AgentId agent) { return m_asked.contains(agent); });
  agents.resize(std::min<size_t>(agents.size(), wanted - m_asked.size()));
  return agents;
}

void SlotWants::Ask(uint32_t tasks,
                    double urgency,
                    const AgentPicker::Fits& fits) {
  std::vector<AgentId> told = ChooseMore(tasks, fits);
  const MonoTime now = m_context.now().mono;
  const bool changed = tasks >= 2 * m_told || 2 * tasks <= m_told ||
                       now >= m_renewed_at + kRenewPeriod;
  if (changed) {
    for (const auto& [agent, left] : m_asked) {
      told.push_back(agent);
    }
    m_told = tasks;
    m_renewed_at = now;
  }
  const auto asked = static_cast<uint32_t>(
      changed ? told.size() : m_asked.size() + told.size());
  for (const AgentId agent : told) {
    const uint32_t each = (tasks + asked - 1) / asked;
    m_context.Send(m_picker.NameOf(agent), WantSlots{each, urgency});
    m_asked[agent] = each;
  }
}

void SlotWants::Withdraw() {
  for (const auto& [agent, left] : m_asked) {
    m_context.Send(m_picker.NameOf(agent), WantSlots{0, 0});
  }
  m_asked.clear();
  m_told = 0;
}

void SlotWants::OnOffered(AgentId agent, uint32_t slots) {
  const auto it = m_asked.find(agent);
  if (it == m_asked.end()) {
    return;
  }
  it->second -= std::min(it->second, slots);
  if (it->second == 0) {
    m_asked.erase(it);
  }
}

void SlotWants::OnLinkLost(AgentId agent) {
  m_asked.erase(agent);
}

}  // namespace egretswitch::internal
