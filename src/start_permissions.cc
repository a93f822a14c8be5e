#include "start_permissions.h"

#include <algorithm>

#include "node_limits.h"

namespace egretswitch::internal {

uint64_t StartPermissions::Issue(std::string_view peer,
                                 uint64_t incarnation,
                                 MonoTime now) {
  std::deque<Permission>& issued = m_permissions[std::string(peer)];
  while (!issued.empty() && now - issued.front().issued_at > kPermissionLife) {
    issued.pop_front();
  }
  if (!issued.empty() && issued.back().issued_at == now &&
      issued.back().incarnation == incarnation) {
    return issued.back().number;
  }
  issued.push_back({++m_last_number, incarnation, now});
  return m_last_number;
}

bool StartPermissions::IsValid(std::string_view peer,
                               uint64_t incarnation,
                               uint64_t number,
                               MonoTime now) const {
  const auto it = m_permissions.find(peer);
  if (it == m_permissions.end()) {
    return false;
  }
  const auto permission =
      std::lower_bound(it->second.begin(), it->second.end(), number,
                       [](const Permission& issued, uint64_t wanted) {
                         return issued.number < wanted;
                       });
  return permission != it->second.end() && permission->number == number &&
         permission->incarnation == incarnation &&
         now - permission->issued_at <= kPermissionLife;
}

void StartPermissions::Revoke(std::string_view peer) {
  const auto it = m_permissions.find(peer);
  if (it != m_permissions.end()) {
    m_permissions.erase(it);
  }
}

}  // namespace egretswitch::internal
