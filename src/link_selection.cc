// Agents are taken in the order of a hash of their names under a seed of the
// entry's own (rendezvous hashing), so that entries spread over them, and few
// links change when an agent comes or goes. Those that can't be used are kept
// but not counted: others take their place until they are back.
#include "link_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "worker_subset.h"

namespace egretswitch::internal {
namespace {

// Agents linked for each one in reach: the reach can double at once, and the
// next links are up before it does so again.
constexpr uint32_t kLinksForReach = 2;

// Links that a burst has opened are kept for so long after it.
constexpr absl::Duration kKeepIdleLinks = absl::Seconds(5);

// Of the agents that are dialled so many times more than are wanted at most,
// when some of them can't be used: with half of the workers gone the others do.
constexpr uint32_t kMostDialled = 3;

// A worker announces itself to the agent beside it each 1.5 s, and at once when
// it starts. Until then an agent that has started counts as one to be used.
constexpr absl::Duration kMeetPatience = absl::Seconds(2);

// What is left of a service's quota.
struct Left {
  uint32_t usable = 0;
  uint32_t dialled = 0;
  bool Any() const { return usable > 0 && dialled > 0; }
};

Left LeftOf(uint32_t quota) {
  return {quota, kMostDialled * quota};
}

// An agent without a link after this time has its place taken by another one: a
// dial takes some milliseconds, while a process that was killed is back within
// a second.
constexpr absl::Duration kDialPatience = absl::Milliseconds(300);

// Each entry chooses so many others and is chosen by as many in the mean: news
// reach a thousand entries in three steps, and with half of them gone the rest
// are still in one piece.
constexpr size_t kNeighbours = 12;

// The others that come first in the order of a hash under the entry's own name.
std::vector<std::string> Neighbours(const std::string& entry,
                                    const std::vector<std::string>& all) {
  const uint64_t seed = XXH64(entry.data(), entry.size(), 0);
  std::vector<std::pair<uint64_t, std::string>> order;
  for (const std::string& other : all) {
    if (other != entry) {
      order.emplace_back(RendezvousHash(other, seed), other);
    }
  }
  const size_t count = std::min(kNeighbours, order.size());
  std::partial_sort(order.begin(),
                    order.begin() + static_cast<ptrdiff_t>(count), order.end());
  std::vector<std::string> first;
  for (size_t i = 0; i < count; ++i) {
    first.push_back(std::move(order[i].second));
  }
  return first;
}

}  // namespace

LinkSelection::LinkSelection(std::string self, uint64_t seed)
    : m_self(std::move(self)), m_seed(seed) {}

void LinkSelection::SetMembers(const MemberList& members) {
  std::map<std::string, MonoTime> dialled_since;
  for (const Agent& agent : m_agents) {
    dialled_since[agent.address.name] = agent.dialled_since;
  }
  m_agents.clear();
  m_addresses.clear();
  m_services.clear();
  std::map<std::string, PeerAddress> entries;
  for (const auto& [name, member] : members.all()) {
    if (member.entry) {
      entries[name] = {name, member.address, ProcessRole::kEntry};
      continue;
    }
    Agent agent{.address = {name, member.address, ProcessRole::kAgent},
                .service = member.worker.service,
                .rendezvous_hash = RendezvousHash(name, m_seed)};
    if (const auto known = dialled_since.find(name);
        known != dialled_since.end()) {
      agent.dialled_since = known->second;
    }
    m_services.insert(agent.service);
    m_addresses[name] = member.address;
    m_agents.push_back(std::move(agent));
  }
  std::sort(m_agents.begin(), m_agents.end(),
            [](const Agent& left, const Agent& right) {
              return std::tie(left.rendezvous_hash, left.address.name) <
                     std::tie(right.rendezvous_hash, right.address.name);
            });
  SetEntries(std::move(entries));
}

void LinkSelection::SetEntries(std::map<std::string, PeerAddress> entries) {
  entries.erase(m_self);
  if (entries == m_known_entries) {
    return;
  }
  m_known_entries = std::move(entries);
  std::vector<std::string> names;
  for (const auto& [name, address] : m_known_entries) {
    names.push_back(name);
  }
  m_entries.clear();
  for (const std::string& name : EntriesToDial(m_self, names)) {
    m_entries.push_back(m_known_entries.at(name));
  }
}

// While the work in hand wants more room than is linked, the links double.
uint32_t LinkSelection::QuotaOf(const std::string& service,
                                const WorkerPool::Subset& reach,
                                MonoTime now) {
  Quota& quota = m_quotas[service];
  const auto all = static_cast<uint32_t>(m_agents.size());
  uint32_t wanted = std::max(kMinAgents, kLinksForReach * reach.workers);
  if (!reach.enough) {
    wanted = std::max(wanted, std::min(2 * quota.agents, all));
  }
  if (wanted >= quota.agents || now >= quota.lapses_at) {
    quota = {wanted, now + kKeepIdleLinks};
  }
  return quota.agents;
}

bool LinkSelection::CountsAsLink(Agent& agent,
                                 const PooledWorker* worker,
                                 MonoTime now) const {
  if (worker != nullptr && worker->linked) {
    agent.dialled_since = absl::InfiniteDuration();
    const bool about_to_meet =
        worker->status.worker.empty() && now - worker->replaced_at < kMeetPatience;
    return about_to_meet || worker->Usable(now);
  }
  agent.dialled_since = std::min(agent.dialled_since, now);
  return now - agent.dialled_since < kDialPatience;
}

std::vector<PeerAddress> LinkSelection::Choose(const WorkerPool& pool,
                                               MonoTime now) {
  WorkerPool::Subsets subsets = pool.subsets();
  for (const std::string& service : m_services) {
    subsets.try_emplace(service);
  }
  std::map<std::string, Left> left;
  for (const auto& [service, reach] : subsets) {
    left[service] = LeftOf(QuotaOf(service, reach, now));
  }
  std::vector<PeerAddress> chosen = m_entries;
  std::set<std::string_view> chosen_agents;
  for (Agent& agent : m_agents) {
    const bool any_left =
        std::any_of(left.begin(), left.end(),
                    [](const auto& entry) { return entry.second.Any(); });
    if (!any_left) {
      break;
    }
    const PooledWorker* worker = pool.Find(agent.address.name);
    const bool has_told = worker != nullptr && !worker->status.service.empty();
    const std::string& service =
        has_told ? worker->status.service : agent.service;
    Left& of_service =
        left.try_emplace(service, LeftOf(kMinAgents)).first->second;
    if (!of_service.Any()) {
      agent.dialled_since = absl::InfiniteDuration();
      continue;
    }
    --of_service.dialled;
    of_service.usable -= CountsAsLink(agent, worker, now) ? 1 : 0;
    chosen.push_back(agent.address);
    chosen_agents.insert(agent.address.name);
  }
  AddThoseWithRuns(pool, chosen_agents, chosen);
  return chosen;
}

// Without the link the runs would be stopped.
void LinkSelection::AddThoseWithRuns(
    const WorkerPool& pool,
    const std::set<std::string_view>& chosen_agents,
    std::vector<PeerAddress>& chosen) const {
  for (const auto& [name, worker] : pool.workers()) {
    const bool needed = worker.linked && worker.runs > 0;
    const auto address = m_addresses.find(name);
    if (needed && !chosen_agents.contains(name) &&
        address != m_addresses.end()) {
      chosen.push_back({name, address->second, ProcessRole::kAgent});
    }
  }
}

std::vector<std::string> EntriesToDial(const std::string& self,
                                       const std::vector<std::string>& others) {
  std::vector<std::string> all = others;
  all.push_back(self);
  std::vector<std::string> dialled;
  for (const std::string& other : Neighbours(self, all)) {
    const std::vector<std::string> of_other = Neighbours(other, all);
    const bool both_ways =
        std::find(of_other.begin(), of_other.end(), self) != of_other.end();
    if (!both_ways || self < other) {
      dialled.push_back(other);
    }
  }
  return dialled;
}

}  // namespace egretswitch::internal
