// Chooses the agent for the next tasks: offered slots first, then the own data
// centre, the own region, and the rest; within a class the most free slots,
// ties at random.
//
//   picker.Refresh(picker.IdOf("agent-3"), now);   // after each news of it
//   picker.Pick([](const TaskNeeds& capacity) { ... }, now);   // its number
//
// Agents with a slot are kept in order, so that a choice does not look at all.
#ifndef EGRETSWITCH_SRC_AGENT_PICKER_H_
#define EGRETSWITCH_SRC_AGENT_PICKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "clock.h"
#include "entry_refs.h"
#include "kernel.h"
#include "owned_job.h"

namespace egretswitch::internal {

// Whether a worker of that whole capacity (0: unlimited) can run the task.
bool FitsCapacity(const TaskNeeds& needs, const TaskNeeds& capacity);

class AgentPicker {
 public:
  // How long before its end a permission counts as stale.
  static constexpr absl::Duration kPermissionMargin = absl::Milliseconds(100);

  using Fits = std::function<bool(const TaskNeeds& capacity)>;

  explicit AgentPicker(Kernel& kernel);

  // Number of the agent, given when it is new.
  AgentId IdOf(std::string_view name);
  const std::string& NameOf(AgentId agent) const;

  // Null when the agent was never linked.
  const KnownAgent* Known(AgentId agent) const;

  // Takes in what the directory says of the agent now.
  void Refresh(AgentId agent);

  // The agent spoke: a stale permission is replaced.
  void OnStatus(AgentId agent);

  // The agent refused for want of room: full until it speaks again.
  void SetFull(AgentId agent);

  void SetEjected(AgentId agent, bool ejected);

  // Starts went out; the directory and the store know.
  void OnStartsSent(AgentId agent);

  // Changes the number of this owner's tasks on the agent, which bounds the
  // slots that can be free there whatever an older message says.
  void AddRunning(AgentId agent, int32_t change);

  // The best usable agent whose whole capacity fits.
  std::optional<AgentId> Pick(const Fits& fits);

  // Starts that the agent can take now, as far as this entry knows.
  uint32_t UsableSlots(AgentId agent) const;

  // Whether Pick() could succeed for a task without needs.
  bool AnyUsable();

  // Linked agents that fit, for asking for slots: the nearest first, those of
  // one distance in random order.
  std::vector<AgentId> AgentsToAsk(const Fits& fits) const;

  uint32_t linked() const { return m_linked; }
  uint32_t total_slots() const { return m_total_slots; }

  // Whether some linked worker, busy or not, could run such a task.
  bool AnyLinkedFits(const TaskNeeds& needs) const;

 private:
  enum class Nearness : uint8_t {
    kOffered = 0,
    kDataCentre,
    kRegion,
    kElsewhere,
  };

  struct Candidate {
    Nearness nearness = Nearness::kElsewhere;
    uint32_t slots_below_max = 0;  // least first: the most free slots
    uint64_t tie = 0;
    AgentId agent = kNoAgent;
    auto operator<=>(const Candidate&) const = default;
  };

  struct View {
    std::string name;
    bool full = false;
    bool ejected = false;
    bool stale_start_out = false;  // a start with a stale permission is out
    bool counted = false;          // in m_linked and m_total_slots
    uint32_t counted_slots = 0;
    TaskNeeds capacity;
    int32_t running = 0;  // tasks of this owner on the agent
    std::optional<Candidate> candidate;
  };

  Nearness DistanceTo(const KnownAgent& agent) const;
  Nearness NearnessOf(const KnownAgent& agent) const;
  bool OfferLives(const KnownAgent& agent) const;
  bool IsStale(const KnownAgent& agent) const;
  void Count(View& view, const KnownAgent* known);
  NodeContext& m_context;
  const ShardAuthority& m_authority;
  const AgentDirectory& m_agents;
  const Hello& m_self;
  std::vector<View> m_views;
  std::map<std::string, AgentId, std::less<>> m_ids;
  std::set<Candidate> m_candidates;
  uint32_t m_linked = 0;
  uint32_t m_total_slots = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_AGENT_PICKER_H_
