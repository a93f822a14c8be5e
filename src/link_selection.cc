// Agents are taken in the order of a hash of their names under a seed of the
// entry's own (rendezvous hashing), so that entries spread over them, and few
// links change when an agent joins or leaves. Unusable agents stay selected but
// are not counted: others take their place until they are usable again.
#include "link_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "worker_subset.h"

namespace egretswitch::internal {
namespace {

// Linked agents for each worker in the subset. The subset can double at once,
// and the next links are up before it doubles again.
constexpr uint32_t kLinksPerWorker = 2;

// How long the links that a burst has opened stay open after it.
constexpr absl::Duration kIdleLinkRetention = absl::Seconds(5);

// At most so many times the quota is dialled when some agents are unusable.
// This suffices when half of the workers are lost.
constexpr uint32_t kMaxDialFactor = 3;

// A worker announces itself to the agent beside it each 1.5 s, and at once when
// it starts. Until then an agent that has started counts as usable.
constexpr absl::Duration kFirstAnnouncementTimeout = absl::Seconds(2);

// The remainder of a service's quota.
struct Remaining {
  uint32_t usable = 0;
  uint32_t dialled = 0;
  bool Any() const { return usable > 0 && dialled > 0; }
};

Remaining RemainingOf(uint32_t quota) {
  return {quota, kMaxDialFactor * quota};
}

// An agent that is not linked after this time is replaced by another one: a
// dial takes some milliseconds, while a process that was killed restarts within
// a second.
constexpr absl::Duration kDialTimeout = absl::Milliseconds(300);

// Each entry chooses this many peers, and is chosen by as many on average.
// Updates then reach a thousand entries in three steps, and with half of the
// entries terminated the others are still connected to each other.
constexpr size_t kPeersPerEntry = 12;

// Returns the first of the other entries, ordered by a hash under the name of
// this one.
std::vector<std::string> PeersOf(const std::string& entry,
                                 const std::vector<std::string>& all) {
  const uint64_t seed = XXH64(entry.data(), entry.size(), 0);
  std::vector<std::pair<uint64_t, std::string>> order;
  for (const std::string& other : all) {
    if (other != entry) {
      order.emplace_back(RendezvousHash(other, seed), other);
    }
  }
  const size_t count = std::min(kPeersPerEntry, order.size());
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
    if (const auto former = dialled_since.find(name);
        former != dialled_since.end()) {
      agent.dialled_since = former->second;
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
  if (entries == m_other_entries) {
    return;
  }
  m_other_entries = std::move(entries);
  std::vector<std::string> names;
  for (const auto& [name, address] : m_other_entries) {
    names.push_back(name);
  }
  m_entries.clear();
  for (const std::string& name : EntriesToDial(m_self, names)) {
    m_entries.push_back(m_other_entries.at(name));
  }
}

// The quota doubles while the open work needs more capacity than is linked.
uint32_t LinkSelection::QuotaOf(const std::string& service,
                                const WorkerPool::Subset& subset,
                                MonoTime now) {
  Quota& quota = m_quotas[service];
  const auto all = static_cast<uint32_t>(m_agents.size());
  uint32_t target = std::max(kMinAgents, kLinksPerWorker * subset.workers);
  if (!subset.sufficient) {
    target = std::max(target, std::min(2 * quota.agents, all));
  }
  if (target >= quota.agents || now >= quota.lapses_at) {
    quota = {target, now + kIdleLinkRetention};
  }
  return quota.agents;
}

bool LinkSelection::CountsAsLink(Agent& agent,
                                 const PooledWorker* worker,
                                 MonoTime now) const {
  if (worker != nullptr && worker->linked) {
    agent.dialled_since = absl::InfiniteDuration();
    const bool awaits_announcement =
        worker->status.worker.empty() &&
        now - worker->replaced_at < kFirstAnnouncementTimeout;
    return awaits_announcement || worker->Usable(now);
  }
  agent.dialled_since = std::min(agent.dialled_since, now);
  return now - agent.dialled_since < kDialTimeout;
}

std::vector<PeerAddress> LinkSelection::Choose(const WorkerPool& pool,
                                               MonoTime now) {
  WorkerPool::Subsets subsets = pool.subsets();
  for (const std::string& service : m_services) {
    subsets.try_emplace(service);
  }
  std::map<std::string, Remaining> remaining;
  for (const auto& [service, subset] : subsets) {
    remaining[service] = RemainingOf(QuotaOf(service, subset, now));
  }
  std::vector<PeerAddress> chosen = m_entries;
  std::set<std::string_view> chosen_agents;
  for (Agent& agent : m_agents) {
    const bool any_remaining =
        std::any_of(remaining.begin(), remaining.end(),
                    [](const auto& entry) { return entry.second.Any(); });
    if (!any_remaining) {
      break;
    }
    const PooledWorker* worker = pool.Find(agent.address.name);
    const bool has_reported =
        worker != nullptr && !worker->status.service.empty();
    const std::string& service =
        has_reported ? worker->status.service : agent.service;
    Remaining& of_service =
        remaining.try_emplace(service, RemainingOf(kMinAgents)).first->second;
    if (!of_service.Any()) {
      agent.dialled_since = absl::InfiniteDuration();
      continue;
    }
    --of_service.dialled;
    of_service.usable -= CountsAsLink(agent, worker, now) ? 1 : 0;
    chosen.push_back(agent.address);
    chosen_agents.insert(agent.address.name);
  }
  AddAgentsWithRuns(pool, chosen_agents, chosen);
  return chosen;
}

// Without the link, no renewals would arrive and the runs would be stopped.
void LinkSelection::AddAgentsWithRuns(
    const WorkerPool& pool,
    const std::set<std::string_view>& chosen_agents,
    std::vector<PeerAddress>& chosen) const {
  for (const auto& [name, worker] : pool.workers()) {
    const bool needed = worker.linked && worker.HoldsRuns();
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
  for (const std::string& other : PeersOf(self, all)) {
    const std::vector<std::string> of_other = PeersOf(other, all);
    const bool both_ways =
        std::find(of_other.begin(), of_other.end(), self) != of_other.end();
    if (!both_ways || self < other) {
      dialled.push_back(other);
    }
  }
  return dialled;
}

}  // namespace egretswitch::internal
