#include "slot_wants.h"

#include <algorithm>
#include <utility>

namespace egretswitch::internal {
namespace {

uint32_t ShareOf(uint32_t tasks, uint32_t agents) {
  return (tasks + agents - 1) / std::max(agents, 1u);
}

}  // namespace

SlotWants::SlotWants(Kernel& kernel)
    : m_context(kernel.Find<EntryRefs>("entry").context),
      m_picker(kernel.Find<AgentPicker>("picker")) {
  kernel.Register("wants", this);
}

bool SlotWants::IsFresh(const Want& want) const {
  return m_context.now().mono < want.sent_at + kRenewPeriod;
}

std::vector<AgentId> SlotWants::ChooseMore(
    uint32_t tasks,
    const AgentPicker::Fits& fits) const {
  uint32_t fresh = 0;
  uint32_t wanted_slots = 0;
  for (const auto& [agent, want] : m_asked) {
    fresh += IsFresh(want) ? 1 : 0;
    wanted_slots += want.left;
  }
  std::vector<AgentId> agents = m_picker.AgentsToAsk(fits);
  const auto linked = static_cast<uint32_t>(agents.size());
  const uint32_t most = std::max(kFewestAsked, linked / kAskedOneIn);
  const uint32_t wanted = std::min({tasks, most, linked});
  if (tasks >= 2 * wanted_slots) {
    agents.resize(wanted);
    return agents;
  }
  if (fresh >= wanted) {
    return {};
  }
  std::erase_if(agents, [&](AgentId agent) {
    const auto it = m_asked.find(agent);
    return it != m_asked.end() && IsFresh(it->second);
  });
  agents.resize(std::min<size_t>(agents.size(), wanted - fresh));
  return agents;
}

void SlotWants::Ask(const WantSlots& all, const AgentPicker::Fits& fits) {
  const std::vector<AgentId> agents = ChooseMore(all.count, fits);
  const size_t spread = std::max(agents.size(), m_asked.size());
  const uint32_t each = ShareOf(all.count, static_cast<uint32_t>(spread));
  for (const AgentId agent : agents) {
    m_context.Send(m_picker.NameOf(agent),
                   WantSlots{each, all.urgency, all.prefer_response});
    m_asked[agent] = {each, m_context.now().mono};
  }
}

WantSlots SlotWants::WithStart(AgentId agent, const WantSlots& all) {
  if (all.count == 0) {
    m_asked.erase(agent);
    return {};
  }
  const uint32_t each = ShareOf(all.count, m_picker.linked());
  m_asked[agent] = {each, m_context.now().mono};
  return {each, all.urgency, all.prefer_response};
}

void SlotWants::OnOffered(AgentId agent, uint32_t slots) {
  if (slots > 0) {
    m_offering.insert(agent);
  }
  const auto it = m_asked.find(agent);
  if (it == m_asked.end()) {
    return;
  }
  it->second.left -= std::min(it->second.left, slots);
  if (it->second.left == 0) {
    m_asked.erase(it);
  }
}

void SlotWants::DeclineUnused() {
  for (const AgentId agent : std::exchange(m_offering, {})) {
    const KnownAgent* known = m_picker.Known(agent);
    if (known != nullptr && known->offered > 0) {
      m_context.Send(m_picker.NameOf(agent), WantSlots{});
      m_asked.erase(agent);
    }
  }
}

void SlotWants::OnLinkLost(AgentId agent) {
  m_asked.erase(agent);
  m_offering.erase(agent);
}

}  // namespace egretswitch::internal
