// The entries whose links to this agent are up, each with the incarnation that
// its Hello named. Everything else that belongs to a link ends with it.
//
//   links.Up("entry-b", 77);
//   links.IsCurrent("entry-b", 76)   // false: a message of its former life
#ifndef EGRETSWITCH_SRC_ENTRY_LINKS_H_
#define EGRETSWITCH_SRC_ENTRY_LINKS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace egretswitch::internal {

class EntryLinks {
 public:
  void Up(std::string_view peer, uint64_t incarnation) {
    m_incarnations[std::string(peer)] = incarnation;
  }

  void Down(std::string_view peer) { m_incarnations.erase(std::string(peer)); }

  bool IsUp(std::string_view peer) const {
    return m_incarnations.find(peer) != m_incarnations.end();
  }

  bool IsCurrent(std::string_view peer, uint64_t incarnation) const {
    const auto it = m_incarnations.find(peer);
    return it != m_incarnations.end() && it->second == incarnation;
  }

  const std::map<std::string, uint64_t, std::less<>>& incarnations() const {
    return m_incarnations;
  }

 private:
  std::map<std::string, uint64_t, std::less<>> m_incarnations;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_ENTRY_LINKS_H_
