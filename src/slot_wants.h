// Tells some full agents how many slots this entry would take, so that each
// offers it slots that fall free.
//
//   wants.Ask(20, urgency);   // 8 agents: WantSlots{3, urgency}
//   wants.Withdraw();         // the same 8: WantSlots{0}
//
// A want stands until as many slots were offered or it is withdrawn. It is
// renewed when it is used up, when the tasks that wait have changed by a factor
// of two, and now and then in case it was used up unseen: each renewal is a
// message.
#ifndef EGRETSWITCH_SRC_SLOT_WANTS_H_
#define EGRETSWITCH_SRC_SLOT_WANTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "agent_picker.h"
#include "entry_refs.h"
#include "kernel.h"
#include "owned_job.h"

namespace egretswitch::internal {

class SlotWants {
 public:
  // Agents that are asked at once: this many, or this share of the linked ones
  // where that is more.
  static constexpr uint32_t kFewestAsked = 8;
  static constexpr uint32_t kAskedOneIn = 8;
  static constexpr absl::Duration kRenewPeriod = absl::Milliseconds(500);

  explicit SlotWants(Kernel& kernel);

  // `tasks` wait for a slot, the first of them for an agent that fits; a lower
  // `urgency` should run first.
  void Ask(uint32_t tasks, double urgency, const AgentPicker::Fits& fits);

  void Withdraw();

  // The agent says that it keeps `slots` for this entry. Told of the same ones
  // twice, the want is only renewed too early.
  void OnOffered(AgentId agent, uint32_t slots);

  // The agent forgot the want with its link.
  void OnLinkLost(AgentId agent);

  bool asking() const { return !m_asked.empty(); }

 private:
  // The agents to ask for this many tasks beyond those asked already.
  std::vector<AgentId> ChooseMore(uint32_t tasks,
                                  const AgentPicker::Fits& fits);

  NodeContext& m_context;
  const AgentPicker& m_picker;
  std::map<AgentId, uint32_t> m_asked;  // slots not yet offered
  uint32_t m_told = 0;                  // tasks at the last renewal
  MonoTime m_renewed_at = absl::ZeroDuration();
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SLOT_WANTS_H_
