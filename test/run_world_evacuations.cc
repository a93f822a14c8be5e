// Evacuations of data centres in RunWorld, and the check that no task starts in
// an evacuated one once the agent must have received the evacuation.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "run_world.h"

namespace egretswitch::internal {
namespace {

// Within this time a message of a running entry reaches an agent, and the
// starts in flight at that moment are over.
constexpr VirtualUs kEvacuationBound = Ms(300);

}  // namespace

std::string RunWorld::DataCentreOf(int agent) {
  return absl::StrCat("dc-", agent % kDataCentres);
}

void RunWorld::SetEvacuated(const std::vector<int>& data_centres,
                            VirtualUs delay) {
  std::set<std::string> names;
  for (const int data_centre : data_centres) {
    names.insert(absl::StrCat("dc-", data_centre));
  }
  m_evacuations = {m_evacuations.through + 1, {names.begin(), names.end()}};
  m_time.After(delay, [this, version = m_evacuations.through] {
    for (const Entry& entry : m_entries) {
      if (version == m_evacuations.through && !entry.store_updates_blocked) {
        DeliverEvacuations(entry.number);
      }
    }
  });
}

void RunWorld::DeliverEvacuations(int entry) {
  if (!m_evacuations.IsLoaded() || m_entries[entry].node == nullptr) {
    return;
  }
  m_entries[entry].evacuations_received = m_evacuations.through;
  m_entries[entry].evacuations_received_at =
      std::max(m_time.now(), m_entries[entry].frozen_until);
  ToEntry(entry, EvacuationsChanged{m_evacuations});
}

// Whether an entry with the present state has had the time to send it.
bool RunWorld::EvacuationMustHaveArrived(int agent) const {
  const VirtualUs since = m_time.now() - kEvacuationBound;
  if (m_agents[agent].frozen_until > since) {
    return false;
  }
  return std::any_of(
      m_entries.begin(), m_entries.end(), [&](const Entry& entry) {
        const auto link = m_links.find({entry.number, agent});
        return entry.node != nullptr &&
               entry.evacuations_received == m_evacuations.through &&
               entry.evacuations_received_at <= since &&
               entry.frozen_until <= since && link != m_links.end() &&
               link->second.up && link->second.up_since <= since &&
               link->second.to_agent.cut_until <= since &&
               link->second.to_agent.last_arrival <= m_time.now();
      });
}

// Only the first call of a start counts: calls for one in progress are
// repeated.
void RunWorld::CheckStartCall(int agent, const RunKey& key) {
  const bool first = m_called.insert({agent, key}).second;
  if (first && m_evacuations.Covers(DataCentreOf(agent)) &&
      EvacuationMustHaveArrived(agent)) {
    AddViolation(absl::StrCat(TaskText(key.task), " run ", key.run,
                              " started at ", m_agents[agent].name,
                              " in the evacuated ", DataCentreOf(agent)));
  }
}

}  // namespace egretswitch::internal
