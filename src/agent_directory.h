// The agents this entry knows: linked or not, their free slots as last told,
// and the permission with the moment it was received.
//
//   directory.OnStatus("agent-3", AgentStatus{permission 9, free_slots 2},
//   now); directory.Find("agent-3")->free_slots   // 2
#ifndef EGRETSWITCH_SRC_AGENT_DIRECTORY_H_
#define EGRETSWITCH_SRC_AGENT_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "clock.h"
#include "messages.h"

namespace egretswitch::internal {

struct KnownAgent {
  Hello hello;  // of the present or last link
  bool linked = false;
  bool leaving = false;
  uint64_t permission = 0;  // 0: none received on this link
  MonoTime permission_received = absl::ZeroDuration();
  uint32_t free_slots = 0;  // last told, less the starts sent since
  uint32_t offered = 0;     // slots kept for this entry
  MonoTime offered_at = absl::ZeroDuration();
};

class AgentDirectory {
 public:
  // A link came up; everything told on a former link is forgotten.
  void OnLinkUp(const Hello& hello);

  // The link of this incarnation went down.
  void OnLinkDown(std::string_view name, uint64_t incarnation);

  void OnStatus(std::string_view name, const AgentStatus& status, MonoTime now);

  // `count` starts were sent to the agent: its estimate sinks until told anew.
  void OnStartsSent(std::string_view name, uint32_t count);

  // Null when the agent was never linked.
  const KnownAgent* Find(std::string_view name) const;

  const std::map<std::string, KnownAgent, std::less<>>& agents() const {
    return m_agents;
  }

 private:
  std::map<std::string, KnownAgent, std::less<>> m_agents;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_AGENT_DIRECTORY_H_
