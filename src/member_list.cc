// Records carry the offset that they have in the store's table, so that an old
// one from a peer never replaces a newer one. A record that did not come from
// the store yet has offset 0.
//
// An agent that has just started announces itself before it has met its worker.
// What its predecessor knew of the worker stays, for the hint to the new one.
#include "member_list.h"

#include <algorithm>

namespace egretswitch::internal {

bool MemberList::Take(const MemberAddress& member) {
  const auto it = m_members.find(member.name);
  if (it != m_members.end() && member.version <= it->second.version) {
    return false;
  }
  MemberAddress& known = m_members[member.name];
  const WorkerAnnouncement former_worker = known.worker;
  known = member;
  if (known.worker.incarnation.empty()) {
    known.worker = former_worker;
  }
  return true;
}

bool MemberList::Remove(const std::string& name, uint64_t version) {
  const auto it = m_members.find(name);
  if (it == m_members.end() || version <= it->second.version) {
    return false;
  }
  m_members.erase(it);
  return true;
}

std::vector<MemberAddress> MemberList::NewerThan(uint64_t version) const {
  std::vector<MemberAddress> after;
  for (const auto& [name, member] : m_members) {
    if (member.version > version) {
      after.push_back(member);
    }
  }
  std::sort(after.begin(), after.end(),
            [](const MemberAddress& left, const MemberAddress& right) {
              return left.version < right.version;
            });
  return after;
}

const MemberAddress* MemberList::Find(const std::string& name) const {
  const auto it = m_members.find(name);
  return it == m_members.end() ? nullptr : &it->second;
}

}  // namespace egretswitch::internal
