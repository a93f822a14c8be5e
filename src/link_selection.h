// Which processes an entry dials: as many agents as its work needs and some
// spare, and a few other entries, however large the deployment is.
//
//   LinkSelection selection("entry-1", seed);
//   selection.SetMembers(members);       // 183 entries, 800 agents
//   selection.Choose(pool, now)          -> 64 agents, 12 entries
//
// With a link from each entry to each process the fleet has as many links as
// entries times processes: all are made anew after a loss of power, and each
// change is told on each of them.
#ifndef EGRETSWITCH_SRC_LINK_SELECTION_H_
#define EGRETSWITCH_SRC_LINK_SELECTION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "clock.h"
#include "member_list.h"
#include "worker_pool.h"

namespace egretswitch::internal {

class LinkSelection {
 public:
  // The agents of one service that an entry is linked to at least, when there
  // are so many. Deployments up to this size are linked throughout.
  static constexpr uint32_t kMinAgents = 64;

  // `seed` is that of the pool, so that both take the agents in one order.
  LinkSelection(std::string self, uint64_t seed);

  void SetMembers(const MemberList& members);

  // To be called when members or links change, and some times a second.
  std::vector<PeerAddress> Choose(const WorkerPool& pool, MonoTime now);

 private:
  struct Agent {
    PeerAddress address;
    std::string service;  // by its record; empty: it has met no worker
    uint64_t rendezvous_hash = 0;
    MonoTime dialled_since = absl::InfiniteDuration();  // without a link yet
  };
  struct Quota {
    uint32_t agents = 0;
    MonoTime lapses_at = absl::ZeroDuration();
  };

  uint32_t QuotaOf(const std::string& service,
                   const WorkerPool::Subset& reach,
                   MonoTime now);
  void SetEntries(std::map<std::string, PeerAddress> entries);
  void AddThoseWithRuns(const WorkerPool& pool,
                        const std::set<std::string_view>& chosen_agents,
                        std::vector<PeerAddress>& chosen) const;
  bool CountsAsLink(Agent& agent, const PooledWorker* worker, MonoTime now) const;

  const std::string m_self;
  const uint64_t m_seed;
  std::vector<Agent> m_agents;                     // in this entry's order
  std::map<std::string, std::string> m_addresses;  // of the agents
  std::set<std::string> m_services;  // of the agents, by their records
  std::map<std::string, PeerAddress> m_known_entries;
  std::vector<PeerAddress> m_entries;     // of these, to be dialled
  std::map<std::string, Quota> m_quotas;  // by service
};

// The entries that `self` dials: it has links to these and to those that dial
// it. A process that knows nobody is found by those who know it.
std::vector<std::string> EntriesToDial(const std::string& self,
                                       const std::vector<std::string>& others);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LINK_SELECTION_H_
