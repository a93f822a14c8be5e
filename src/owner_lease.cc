#include "owner_lease.h"

#include <algorithm>

#include "node_limits.h"

namespace egretswitch::internal {
namespace {

// A peer that heard this entry needs kSuspectAfter of silence, by its own
// clock, before it claims anything of it.
const absl::Duration kSoundEndAge = kSuspectAfter - kDriftMargin;

}  // namespace

OwnerLease::OwnerLease(const EntryId& self,
                       const LogFollower* log,
                       const PeerTable* peers,
                       NodeContext* context)
    : m_self(self), m_log(*log), m_peers(*peers), m_context(*context) {}

bool OwnerLease::MayStart(MonoTime received) const {
  return !m_stopped && m_until >= received + kPermissionLife;
}

bool OwnerLease::IsHeld() const {
  return !m_stopped && m_context.now().mono < m_until;
}

void OwnerLease::Extend(MonoTime asked_at) {
  m_until = std::max(m_until, asked_at + kOwnerLease);
}

void OwnerLease::OnHeadReached(MonoTime asked_at) {
  Extend(asked_at);
}

void OwnerLease::OnEntryEnded(const EntryId& id) {
  std::erase_if(m_sound_ends, [this](const EntryId& ended) {
    const auto& entries = m_log.control().entries();
    const auto it = entries.find(ended.name);
    return it == entries.end() ||
           it->second.joined.incarnation != ended.incarnation;
  });
  if (IsSoundEnd(id)) {
    m_sound_ends.insert(id);
  }
}

// Whether `id`, just proved ended, can't have taken shards over and then ended.
// Its last pong must show that it had the same fold and no claim under way, and
// be so young that it had no time to suspect this entry. A claim by which this
// entry itself gave it shards must not be open either.
bool OwnerLease::IsSoundEnd(const EntryId& id) const {
  const std::optional<PongEvidence> pong = m_peers.EvidenceOf(id);
  return IsHeld() && pong && pong->lacks_log &&
         pong->fold_offset == pong->own_fold_offset &&
         m_context.now().mono - pong->asked_at < kSoundEndAge &&
         !m_log.HasOpenOwnershipAppend();
}

// Every other member must have said, about one and the same fold, that it
// lacks the log. One that has folded more may have seen a claim that this
// entry hasn't. The oldest of the answers dates the evidence.
void OwnerLease::RenewFromPeers() {
  const ControlState& control = m_log.control();
  if (!m_log.complete()) {
    return;
  }
  MonoTime oldest = m_context.now().mono;
  for (const auto& [name, entry] : control.entries()) {
    const EntryId id{name, entry.joined.incarnation};
    if (id == m_self || m_sound_ends.contains(id)) {
      continue;
    }
    const std::optional<PongEvidence> pong = m_peers.EvidenceOf(id);
    if (!pong || !pong->lacks_log ||
        pong->fold_offset != control.next_offset()) {
      return;
    }
    oldest = std::min(oldest, pong->asked_at);
  }
  Extend(oldest);
}

}  // namespace egretswitch::internal
