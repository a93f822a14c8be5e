// The recorded processes of the deployment: from the store's table of members
// and, while the store is unreachable, from other entries.
//
//   members.Take({.name = "agent-3", .address = "10.1.0.14:7720", ...});
//   members.Find("agent-3")->address  -> "10.1.0.14:7720"
#ifndef EGRETSWITCH_SRC_MEMBER_LIST_H_
#define EGRETSWITCH_SRC_MEMBER_LIST_H_

#include <map>
#include <string>
#include <vector>

#include "node_events.h"
#include "table_messages.h"

namespace egretswitch::internal {

class MemberList {
 public:
  // Stores the record if it is newer than the one with that name, or if there
  // is none. Returns whether it was stored.
  bool Take(const MemberAddress& member);
  // Removes the record with that name if it is older than `version`.
  bool Remove(const std::string& name, uint64_t version);

  // Any record replaces the present ones from now on.
  void ForgetVersions();

  // The members with a higher version, ordered by version.
  std::vector<MemberAddress> NewerThan(uint64_t version) const;
  const MemberAddress* Find(const std::string& name) const;
  size_t size() const { return m_members.size(); }
  size_t CountEntries() const;
  const std::map<std::string, MemberAddress>& all() const { return m_members; }

 private:
  std::map<std::string, MemberAddress> m_members;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_MEMBER_LIST_H_
