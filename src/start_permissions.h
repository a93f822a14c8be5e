// Numbers that let an entry start tasks for a short time, by this agent's own
// clock, so that a start delayed anywhere on its way is refused without a
// comparison of clocks.
//
//   number = permissions.Issue("entry-b", 77, now);         // goes in a
//   message permissions.IsValid("entry-b", 77, number, now + 0.9 s)  // true
//   permissions.IsValid("entry-b", 77, number, now + 1.1 s)  // false
#ifndef EGRETSWITCH_SRC_START_PERMISSIONS_H_
#define EGRETSWITCH_SRC_START_PERMISSIONS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "clock.h"

namespace egretswitch::internal {

class StartPermissions {
 public:
  // A permission for this link of the peer; the same number when asked again
  // at the same moment.
  uint64_t Issue(std::string_view peer, uint64_t incarnation, MonoTime now);

  // Whether `number` was issued on the present link of the peer, to this
  // incarnation, no more than kPermissionLife ago.
  bool IsValid(std::string_view peer,
               uint64_t incarnation,
               uint64_t number,
               MonoTime now) const;

  // Ends every permission of the peer: its link has gone or was replaced.
  void Revoke(std::string_view peer);

 private:
  struct Permission {
    uint64_t number;
    uint64_t incarnation;
    MonoTime issued_at;
  };

  uint64_t m_last_number = 0;
  // By peer, oldest first; only those that can still be valid.
  std::map<std::string, std::deque<Permission>, std::less<>> m_permissions;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_START_PERMISSIONS_H_
