// Tells agents how many slots this entry would take, so that each offers it
// slots that fall free.
//
//   wants.Ask({20, u}, fits);           // 8 agents: WantSlots{3, u}
//   wants.WithStart(agent, {12, u});    // the want that travels with a start
//   wants.DeclineUnused();              // an offer came, nothing waits: {0}
//
// A want stands until as many slots were offered or another replaces it. Each
// start carries the present one, so that an entry which keeps starting tasks
// sends hardly any message of its own. A want that is out of date costs a
// message only when its offer comes.
#ifndef EGRETSWITCH_SRC_SLOT_WANTS_H_
#define EGRETSWITCH_SRC_SLOT_WANTS_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "agent_picker.h"
#include "entry_refs.h"
#include "kernel.h"
#include "messages.h"
#include "owned_job.h"

namespace egretswitch::internal {

class SlotWants {
 public:
  // Agents that are asked at once: this many, or this share of the linked ones
  // where that is more.
  static constexpr uint32_t kFewestAsked = 8;
  static constexpr uint32_t kAskedOneIn = 8;
  // A want is sent again when it is this old, in case it was used up unseen.
  static constexpr absl::Duration kRenewPeriod = absl::Milliseconds(500);

  explicit SlotWants(Kernel& kernel);

  // `all` is the want of all tasks that wait for a slot, the first of them for
  // an agent that fits. Each agent is sent a share of the count.
  void Ask(const WantSlots& all, const AgentPicker::Fits& fits);

  // The want to send with a start, `all` being what still waits after it.
  WantSlots WithStart(AgentId agent, const WantSlots& all);

  // The agent says that it keeps `slots` for this entry. Told of the same ones
  // twice, the want is only renewed too early.
  void OnOffered(AgentId agent, uint32_t slots);

  // Nothing waits: gives back what was offered since the last call.
  void DeclineUnused();

  // Something waits for each offer since the last call.
  void KeepOffers() { m_offering.clear(); }

  // The agent forgot the want with its link.
  void OnLinkLost(AgentId agent);

 private:
  struct Want {
    uint32_t left = 0;  // slots not yet offered
    MonoTime sent_at = absl::ZeroDuration();
  };

  bool IsFresh(const Want& want) const;
  // The agents to ask: what stands is too little or too old by so many.
  std::vector<AgentId> ChooseMore(uint32_t tasks,
                                  const AgentPicker::Fits& fits) const;

  NodeContext& m_context;
  const AgentPicker& m_picker;
  std::map<AgentId, Want> m_asked;
  std::set<AgentId> m_offering;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SLOT_WANTS_H_
