// Selects the processes that an entry dials: as many agents as its work needs
// and some spare, and a few other entries, however large the deployment is.
//
//   LinkSelection selection("entry-1", seed);
//   selection.SetMembers(members);       // 183 entries, 800 agents
//   selection.Choose(pool, now)          -> 64 agents, 12 entries
//
// With a link from each entry to each process, the fleet would have as many
// links as entries times processes. All of them would be set up again after a
// loss of power, and each change would be sent on each of them.
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
  // The minimum number of agents of one service that an entry is linked to, if
  // there are so many. Smaller deployments are fully linked.
  static constexpr uint32_t kMinAgents = 64;

  // `seed` is that of the pool, so that both order the agents alike.
  LinkSelection(std::string self, uint64_t seed);

  void SetMembers(const MemberList& members);

  // Returns the processes to dial. To be called when members or links change,
  // and a few times a second.
  std::vector<PeerAddress> Choose(const WorkerPool& pool, MonoTime now);

 private:
  struct Agent {
    PeerAddress address;
    std::string service;  // by its member record; empty before its first worker
    uint64_t rendezvous_hash = 0;
    MonoTime dialled_since = absl::InfiniteDuration();  // while not linked
  };
  struct Quota {
    uint32_t agents = 0;
    MonoTime lapses_at = absl::ZeroDuration();
  };

  uint32_t QuotaOf(const std::string& service,
                   const WorkerPool::Subset& subset,
                   MonoTime now);
  void SetEntries(std::map<std::string, PeerAddress> entries);
  void AddAgentsWithRuns(const WorkerPool& pool,
                         const std::set<std::string_view>& chosen_agents,
                         std::vector<PeerAddress>& chosen) const;
  bool CountsAsLink(Agent& agent,
                    const PooledWorker* worker,
                    MonoTime now) const;

  const std::string m_self;
  const uint64_t m_seed;
  std::vector<Agent> m_agents;                     // by rendezvous hash
  std::map<std::string, std::string> m_addresses;  // of the agents
  std::set<std::string> m_services;  // of the agents, by their records
  std::map<std::string, PeerAddress> m_other_entries;
  std::vector<PeerAddress> m_entries;     // of these, the ones to dial
  std::map<std::string, Quota> m_quotas;  // by service
};

// Returns the entries that `self` dials. It has links to these and to those
// that dial it. An entry that has no other entry on record is dialled by those
// that have it on record.
std::vector<std::string> EntriesToDial(const std::string& self,
                                       const std::vector<std::string>& others);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LINK_SELECTION_H_
