// An entry that returns at another address isn't found, since only the store
// lists it. An entry that is gone for good is dialled until kMaxCopyAge has
// passed: it could not use this agent's copy later.
#include "lost_entry_dials.h"

#include <algorithm>

#include "copy_age.h"

namespace egretswitch::internal {
namespace {

// Two processes that dial each other at the same time may close each other's
// links. An entry that is up dials a lost agent again within some 10 ms, so the
// agent begins later, and not all agents at once.
constexpr absl::Duration kFirstDialDelay = absl::Milliseconds(100);
constexpr absl::Duration kDialSpread = absl::Milliseconds(100);

}  // namespace

void LostEntryDials::OnLinkUp(const std::string& entry) {
  m_entries[entry].linked = true;
}

void LostEntryDials::OnLinkLost(const std::string& entry, MonoTime now) {
  const auto it = m_entries.find(entry);
  if (it == m_entries.end() || !it->second.linked) {
    return;
  }
  std::uniform_real_distribution<double> draw(0, 1);
  it->second = {
      .linked = false,
      .dialled = false,
      .dial_from = now + kFirstDialDelay + draw(m_random) * kDialSpread,
      .dial_until = now + kMaxCopyAge};
}

std::vector<PeerAddress> LostEntryDials::Targets(const MemberList& members,
                                                 MonoTime now) {
  std::vector<PeerAddress> targets;
  std::erase_if(m_entries, [now](const auto& item) {
    return !item.second.linked && now >= item.second.dial_until;
  });
  for (auto& [name, entry] : m_entries) {
    const MemberAddress* member = members.Find(name);
    if (member == nullptr || !member->entry) {
      continue;
    }
    entry.dialled |= !entry.linked && now >= entry.dial_from;
    if (entry.dialled) {
      targets.push_back({name, member->address, ProcessRole::kEntry});
    }
  }
  return targets;
}

MonoTime LostEntryDials::NextWake() const {
  MonoTime wake = absl::InfiniteDuration();
  for (const auto& [name, entry] : m_entries) {
    if (!entry.linked) {
      wake = std::min(wake, entry.dialled ? entry.dial_until : entry.dial_from);
    }
  }
  return wake;
}

}  // namespace egretswitch::internal
