#include "agent_picker.h"

#include <algorithm>

#include "node_limits.h"

namespace egretswitch::internal {
namespace {

constexpr uint32_t kMaxSlots = UINT32_MAX;

bool FitsLimit(uint32_t need, uint32_t limit) {
  return limit == 0 || need <= limit;
}

}  // namespace

bool FitsCapacity(const TaskNeeds& needs, const TaskNeeds& capacity) {
  return FitsLimit(needs.millicores, capacity.millicores) &&
         FitsLimit(needs.memory_mb, capacity.memory_mb) &&
         FitsLimit(needs.accelerators, capacity.accelerators);
}

AgentPicker::AgentPicker(Kernel& kernel)
    : m_context(kernel.Find<EntryRefs>("entry").context),
      m_authority(kernel.Find<EntryRefs>("entry").authority),
      m_agents(kernel.Find<EntryRefs>("entry").agents),
      m_self(kernel.Find<EntryRefs>("entry").self) {
  kernel.Register("picker", this);
}

AgentId AgentPicker::IdOf(std::string_view name) {
  const auto it = m_ids.find(name);
  if (it != m_ids.end()) {
    return it->second;
  }
  const AgentId id = static_cast<AgentId>(m_views.size());
  m_views.emplace_back().name = std::string(name);
  m_ids.emplace(std::string(name), id);
  return id;
}

const std::string& AgentPicker::NameOf(AgentId agent) const {
  return m_views[agent].name;
}

const KnownAgent* AgentPicker::Known(AgentId agent) const {
  return m_agents.Find(m_views[agent].name);
}

bool AgentPicker::OfferLives(const KnownAgent& agent) const {
  return agent.offered > 0 &&
         m_context.now().mono < agent.offered_at + kOfferLife;
}

bool AgentPicker::IsStale(const KnownAgent& agent) const {
  return agent.permission_received + kPermissionLife - kPermissionMargin <=
         m_context.now().mono;
}

AgentPicker::Nearness AgentPicker::DistanceTo(const KnownAgent& agent) const {
  if (agent.hello.data_centre == m_self.data_centre) {
    return Nearness::kDataCentre;
  }
  return agent.hello.region == m_self.region ? Nearness::kRegion
                                             : Nearness::kElsewhere;
}

AgentPicker::Nearness AgentPicker::NearnessOf(const KnownAgent& agent) const {
  return OfferLives(agent) ? Nearness::kOffered : DistanceTo(agent);
}

void AgentPicker::Count(View& view, const KnownAgent* known) {
  if (view.counted) {
    --m_linked;
    m_total_slots -= view.counted_slots;
  }
  view.counted = known && known->linked && !known->leaving;
  if (view.counted) {
    view.counted_slots = known->hello.slots;
    view.capacity = known->hello.capacity;
    ++m_linked;
    m_total_slots += view.counted_slots;
  }
}

uint32_t AgentPicker::UsableSlots(AgentId agent) const {
  const KnownAgent* known = Known(agent);
  if (!known) {
    return 0;
  }
  const uint32_t told =
      std::max(known->free_slots, OfferLives(*known) ? known->offered : 0);
  const uint32_t slots = known->hello.slots;
  const auto running = static_cast<uint32_t>(m_views[agent].running);
  return slots == 0 ? told : std::min(told, slots - std::min(slots, running));
}

void AgentPicker::Refresh(AgentId agent) {
  View& view = m_views[agent];
  const KnownAgent* known = Known(agent);
  Count(view, known);
  if (view.candidate) {
    m_candidates.erase(*view.candidate);
    view.candidate.reset();
  }
  if (!view.counted || view.full || view.ejected || view.stale_start_out ||
      known->permission == 0) {
    return;
  }
  const uint32_t slots = UsableSlots(agent);
  if (slots == 0) {
    return;
  }
  view.candidate = Candidate{NearnessOf(*known), kMaxSlots - slots,
                             m_context.random()(), agent};
  m_candidates.insert(*view.candidate);
}

void AgentPicker::OnStatus(AgentId agent) {
  m_views[agent].full = false;
  m_views[agent].stale_start_out = false;
  Refresh(agent);
}

void AgentPicker::SetFull(AgentId agent) {
  m_views[agent].full = true;
  Refresh(agent);
}

void AgentPicker::SetEjected(AgentId agent, bool ejected) {
  m_views[agent].ejected = ejected;
  Refresh(agent);
}

void AgentPicker::OnStartsSent(AgentId agent) {
  const KnownAgent* known = Known(agent);
  // The start itself asks for a new permission: one such start at a time.
  m_views[agent].stale_start_out = known && IsStale(*known);
  Refresh(agent);
}

void AgentPicker::AddRunning(AgentId agent, int32_t change) {
  m_views[agent].running += change;
}

std::optional<AgentId> AgentPicker::Pick(const Fits& fits) {
  std::vector<AgentId> expired;
  std::optional<AgentId> found;
  for (const Candidate& candidate : m_candidates) {
    const KnownAgent& known = *Known(candidate.agent);
    if (candidate.nearness == Nearness::kOffered && !OfferLives(known)) {
      expired.push_back(candidate.agent);
      continue;
    }
    // Never by a permission that this entry's lease doesn't cover.
    if (m_authority.MayStart(known.permission_received) &&
        fits(known.hello.capacity)) {
      found = candidate.agent;
      break;
    }
  }
  for (const AgentId agent : expired) {
    m_context.counters().Add(Counter::kOffersExpired, Known(agent)->offered);
    Refresh(agent);
  }
  // An agent whose offer has expired may have another free slot.
  return found || expired.empty() ? found : Pick(fits);
}

bool AgentPicker::AnyUsable() {
  if (m_candidates.empty()) {
    return false;
  }
  return Pick([](const TaskNeeds&) { return true; }).has_value();
}

std::vector<AgentId> AgentPicker::AgentsToAsk(const Fits& fits) const {
  std::vector<AgentId> agents;
  for (AgentId agent = 0; agent < m_views.size(); ++agent) {
    const View& view = m_views[agent];
    if (view.counted && !view.ejected && fits(Known(agent)->hello.capacity)) {
      agents.push_back(agent);
    }
  }
  std::shuffle(agents.begin(), agents.end(), m_context.random());
  std::stable_sort(
      agents.begin(), agents.end(), [this](AgentId left, AgentId right) {
        return DistanceTo(*Known(left)) < DistanceTo(*Known(right));
      });
  return agents;
}

bool AgentPicker::AnyLinkedFits(const TaskNeeds& needs) const {
  return std::any_of(m_views.begin(), m_views.end(), [&](const View& view) {
    return view.counted && FitsCapacity(needs, view.capacity);
  });
}

}  // namespace egretswitch::internal
