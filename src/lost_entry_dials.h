// Selects the entries that an agent dials: those whose link to it has ended and
// that haven't dialled it again. An entry that restarts while the store is
// unreachable doesn't know any agent.
//
//   LostEntryDials dials(seed);
//   dials.OnLinkUp("entry-1");
//   dials.OnLinkLost("entry-1", now);
//   dials.Targets(members, now + absl::Milliseconds(200)) -> entry-1's address
#ifndef EGRETSWITCH_SRC_LOST_ENTRY_DIALS_H_
#define EGRETSWITCH_SRC_LOST_ENTRY_DIALS_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "clock.h"
#include "member_list.h"

namespace egretswitch::internal {

class LostEntryDials {
 public:
  // `seed` must differ between agents, so that they don't dial at once.
  explicit LostEntryDials(uint64_t seed) : m_random(seed) {}

  void OnLinkUp(const std::string& entry);
  void OnLinkLost(const std::string& entry, MonoTime now);

  // The entries to dial, at their recorded addresses. A linked entry that was
  // dialled is retained, since its link would be closed otherwise.
  std::vector<PeerAddress> Targets(const MemberList& members, MonoTime now);
  // When Targets() may change next; infinite if only another call changes it.
  MonoTime NextWake() const;

 private:
  struct Entry {
    bool linked = false;
    bool dialled = false;
    MonoTime dial_from = absl::ZeroDuration();  // while not linked
    MonoTime dial_until = absl::ZeroDuration();
  };

  std::map<std::string, Entry> m_entries;
  std::minstd_rand m_random;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_LOST_ENTRY_DIALS_H_
