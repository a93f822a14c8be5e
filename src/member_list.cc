// A record's version is its offset in the store's table plus 1, so that an old
// record from a peer never replaces a newer one. A record that was not read
// from the store has version 0.
//
// An agent that has just started announces itself before its worker has. The
// worker that the previous incarnation of the agent announced is retained: the
// entry sends it to the new incarnation as a hint.
#include "member_list.h"

#include <algorithm>

namespace egretswitch::internal {

bool MemberList::Take(const MemberAddress& member) {
  const auto it = m_members.find(member.name);
  if (it != m_members.end() && member.version <= it->second.version) {
    return false;
  }
  MemberAddress& stored = m_members[member.name];
  const WorkerAnnouncement previous_worker = stored.worker;
  stored = member;
  if (stored.worker.incarnation.empty()) {
    stored.worker = previous_worker;
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

void MemberList::ForgetVersions() {
  for (auto& [name, member] : m_members) {
    member.version = 0;
  }
}

std::vector<MemberAddress> MemberList::NewerThan(uint64_t version) const {
  std::vector<MemberAddress> newer;
  for (const auto& [name, member] : m_members) {
    if (member.version > version) {
      newer.push_back(member);
    }
  }
  std::sort(newer.begin(), newer.end(),
            [](const MemberAddress& left, const MemberAddress& right) {
              return left.version < right.version;
            });
  return newer;
}

const MemberAddress* MemberList::Find(const std::string& name) const {
  const auto it = m_members.find(name);
  return it == m_members.end() ? nullptr : &it->second;
}

size_t MemberList::CountEntries() const {
  return static_cast<size_t>(
      std::count_if(m_members.begin(), m_members.end(),
                    [](const auto& member) { return member.second.entry; }));
}

}  // namespace egretswitch::internal
