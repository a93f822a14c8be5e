#include "entry_membership.h"

#include <utility>

#include "node_limits.h"

namespace egretswitch::internal {
namespace {

// How long the end of a drain waits for its EntryLeft to be read back. Without
// it the others learn of the end from a refused connection.
constexpr absl::Duration kLeavePatience = absl::Seconds(2);

constexpr absl::Duration kAlivePeriod = absl::Seconds(1);

}  // namespace

EntryMembership::EntryMembership(EntryJoined self, const Parts& parts)
    : m_self(std::move(self)), m_parts(parts) {}

bool EntryMembership::IsMember() const {
  const auto& entries = m_parts.log->control().entries();
  const auto it = entries.find(m_self.name);
  return it != entries.end() &&
         it->second.joined.incarnation == m_self.incarnation;
}

void EntryMembership::OnFolded(const LogEntry& entry, FoldVerdict verdict) {
  if (verdict != FoldVerdict::kAccepted) {
    return;
  }
  if (const auto* joined = std::get_if<EntryJoined>(&entry.record.body)) {
    if (joined->name != m_self.name) {
      return;
    }
    if (joined->incarnation == m_self.incarnation) {
      m_joined = true;
    } else if (m_joined) {
      Expel("another incarnation of this entry has joined");
    }
  }
}

// A claim or a start after this would be made by an entry that others rightly
// hold to have ended.
void EntryMembership::Expel(std::string_view why) {
  if (m_parts.lease->stopped()) {
    return;
  }
  m_parts.lease->StopForGood();
  m_parts.context->Do(
      NoteStateChange{"entry stops", {{"why", std::string(why)}}});
  StopOnce();
}

void EntryMembership::StopOnce() {
  if (!m_stop_sent) {
    m_stop_sent = true;
    m_parts.context->Do(Stop{});
  }
}

void EntryMembership::Update() {
  LogFollower& log = *m_parts.log;
  if (!log.complete() || m_stop_sent) {
    return;
  }
  if (m_joined && !IsMember() && !m_leaving) {
    Expel("the log says that this entry has left");
    return;
  }
  if (!m_joined && !m_draining && m_join_id.empty() && log.CanAppend()) {
    m_join_id = log.Append(m_self);
  }
  if (m_draining) {
    AdvanceDrain();
  }
}

void EntryMembership::BeginDrain() {
  if (m_draining) {
    return;
  }
  m_draining = true;
  m_parts.peers->SetDraining();
  m_parts.assignment->SetDraining();
  m_parts.context->Do(NoteStateChange{"drain begun", {}});
}

// Shards that nobody can take stay until the callers are answered.
void EntryMembership::AdvanceDrain() {
  const bool shards_left =
      m_parts.takeover->owned_count() > 0 && m_parts.assignment->HasSuccessor();
  const bool busy =
      shards_left || m_parts.assignment->IsClaiming() || (m_idle && !m_idle());
  if (!m_leaving && !busy) {
    Leave();
  }
  if (!m_leaving) {
    return;
  }
  const bool waited = m_parts.context->now().mono - m_left_at >= kLeavePatience;
  if (!IsMember() || waited) {
    StopOnce();
  }
}

// EntryLeft is a proof of this entry's end, so it stops to act first.
void EntryMembership::Leave() {
  m_leaving = true;
  m_left_at = m_parts.context->now().mono;
  m_parts.lease->StopForGood();
  if (IsMember()) {
    m_parts.log->Append(EntryLeft{m_self.name, m_self.incarnation});
  }
}

// An entry that misses another may itself be missed by it. The first sign goes
// out at once: the other one's answer must come before it counts as dead.
void EntryMembership::OnTick() {
  const MonoTime now = m_parts.context->now().mono;
  if (now < m_next_alive || !m_alive_id.empty() || !IsMember() ||
      m_parts.lease->stopped() || !m_parts.log->CanAppend() ||
      !m_parts.peers->ShouldShowLife()) {
    return;
  }
  m_next_alive = now + kAlivePeriod;
  m_alive_id =
      m_parts.log->Append(EntryAlive{{m_self.name, m_self.incarnation}});
}

void EntryMembership::OnAppendSettled(std::string_view append_id,
                                      AppendResult result) {
  if (append_id == m_join_id && result == AppendResult::kSuperseded) {
    Expel("this incarnation has ended by the log");
  }
  if (append_id == m_alive_id) {
    m_alive_id.clear();
  }
  if (append_id == m_join_id) {
    m_join_id.clear();
  }
}

}  // namespace egretswitch::internal
