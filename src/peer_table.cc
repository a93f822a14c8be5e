#include "peer_table.h"

#include <algorithm>
#include <utility>

#include "node_limits.h"

namespace egretswitch::internal {
namespace {

// A ping without a pong is forgotten after this: older than any lease.
constexpr absl::Duration kPingMemory = kOwnerLease;

// A peer behind the same offset for this long is given records; a healthy one
// reads each record sooner. Ends with the second ping after the first sign.
constexpr absl::Duration kRelayAfter = absl::Milliseconds(500);

// How long an EntryAlive counts, before the silence after it does: twice the
// time between two of them.
constexpr absl::Duration kShownAlive = absl::Seconds(2);

// How long an entry shows life to a member that shows none in the log. Both of
// two islands do so from the same cut on, within the time that it takes the
// slower one to notice; its lease is the longest such time.
const absl::Duration kShowUnanswered = kOwnerLease + absl::Seconds(2);

// A record of a missed member keeps the signs of life up for this long: some
// times the period in which it appends its own.
constexpr absl::Duration kShowAnswered = absl::Seconds(5);

// Between two passes over what is known of ended incarnations.
constexpr absl::Duration kForgetPeriod = absl::Minutes(1);

// The name and incarnation that log_follower.cc puts into an append_id.
std::optional<EntryId> AppenderOf(std::string_view append_id) {
  const size_t first = append_id.find('#');
  const size_t second = append_id.rfind('#');
  if (first == std::string_view::npos || second <= first) {
    return std::nullopt;
  }
  uint64_t incarnation = 0;
  for (const char c : append_id.substr(first + 1, second - first - 1)) {
    if (c < '0' || c > '9') {
      return std::nullopt;
    }
    incarnation = incarnation * 10 + static_cast<uint64_t>(c - '0');
  }
  return EntryId{std::string(append_id.substr(0, first)), incarnation};
}

}  // namespace

PeerTable::PeerTable(const EntryId& self,
                     LogFollower* log,
                     NodeContext* context)
    : m_self(self), m_log(*log), m_context(*context) {}

void PeerTable::AddObserver(PeerObserver* observer) {
  m_observers.push_back(observer);
}

PeerTable::Record& PeerTable::Know(const EntryId& id) {
  const auto [it, added] = m_records.try_emplace(id);
  if (added) {
    const MonoTime now = m_context.now().mono;
    it->second.known_since = now;
    it->second.alive_since = now;
    it->second.alive_until = now + kSuspectAfter;
  }
  return it->second;
}

const PeerTable::Record* PeerTable::Find(const EntryId& id) const {
  const auto it = m_records.find(id);
  return it == m_records.end() ? nullptr : &it->second;
}

bool PeerTable::IsMember(const EntryId& id) const {
  const auto& entries = m_log.control().entries();
  const auto it = entries.find(id.name);
  return it != entries.end() && it->second.joined.incarnation == id.incarnation;
}

void PeerTable::Hear(const EntryId& id, MonoTime at, absl::Duration for_time) {
  Record& record = Know(id);
  if (at > record.alive_until) {
    record.alive_since = at;
  }
  record.alive_until = std::max(record.alive_until, at + for_time);
}

// Any record shows that its appender lived. Only an EntryAlive says as well
// that it goes on to append them, a second apart.
void PeerTable::HearInLog(const LogEntry& entry) {
  const MonoTime now = m_context.now().mono;
  const auto appender = AppenderOf(entry.record.append_id);
  if (appender && *appender != m_self && IsMember(*appender)) {
    Hear(*appender, now, kSuspectAfter);
    Know(*appender).logged = now;
  }
  const auto* alive = std::get_if<EntryAlive>(&entry.record.body);
  if (alive != nullptr && alive->entry != m_self && IsMember(alive->entry)) {
    Hear(alive->entry, now, kShownAlive + kSuspectAfter);
    Know(alive->entry).logged = now;
  }
}

// Links. --------------------------------------------------------------------

void PeerTable::OnLinkUp(const Hello& hello) {
  const EntryId id{hello.name, hello.incarnation};
  Hear(id, m_context.now().mono, kSuspectAfter);
  Know(id).heard = m_context.now().mono;
  Link link;
  link.incarnation = hello.incarnation;
  link.up_since = m_context.now().mono;
  Link& placed = m_links[hello.name] = std::move(link);
  SendPing(hello.name, placed);
}

void PeerTable::OnLinkDown(std::string_view name, uint64_t incarnation) {
  const auto it = m_links.find(name);
  if (it != m_links.end() && it->second.incarnation == incarnation) {
    m_links.erase(it);
  }
}

// A refusal speaks of the processes that were known when the dial began: one
// that was started, and folded here, after that may be alive. A process with a
// live link is, whatever an older dial met.
void PeerTable::OnRefused(const PeerRefusedConnection& refused) {
  if (m_links.find(refused.peer) != m_links.end()) {
    return;
  }
  std::vector<EntryId> gone;
  for (const auto& [id, record] : m_records) {
    if (id.name == refused.peer && record.known_since < refused.dialled_at &&
        record.heard < refused.dialled_at) {
      gone.push_back(id);
    }
  }
  for (const EntryId& id : gone) {
    MarkEnded(id);
  }
}

bool PeerTable::IsLinked(const EntryId& id) const {
  const auto it = m_links.find(id.name);
  return it != m_links.end() && it->second.incarnation == id.incarnation;
}

// Pings. --------------------------------------------------------------------

void PeerTable::OnTick() {
  const MonoTime now = m_context.now().mono;
  for (auto& [name, link] : m_links) {
    if (now >= link.next_ping) {
      SendPing(name, link);
    }
  }
  UpdateDialTargets();
  if (now >= m_next_forget) {
    m_next_forget = now + kForgetPeriod;
    ForgetEnded();
  }
}

void PeerTable::SendPing(const std::string& name, Link& link) {
  const MonoTime now = m_context.now().mono;
  std::erase_if(link.asked, [now](const auto& asked) {
    return now - asked.second > kPingMemory;
  });
  link.next_ping = now + kPeerPingPeriod;
  link.asked[m_next_sequence] = now;
  m_context.Send(name, PeerPing{m_next_sequence, OwnStatus()});
  ++m_next_sequence;
}

void PeerTable::OnPing(const EntryId& from, const PeerPing& ping) {
  if (!IsLinked(from)) {
    return;
  }
  m_context.Send(from.name, PeerPong{ping.sequence, OwnStatus()});
  TakeStatus(from, ping.status);
}

void PeerTable::OnPong(const EntryId& from, const PeerPong& pong) {
  const auto link = m_links.find(from.name);
  if (link == m_links.end() || link->second.incarnation != from.incarnation) {
    return;
  }
  const auto asked = link->second.asked.find(pong.sequence);
  if (asked == link->second.asked.end()) {
    return;
  }
  const MonoTime asked_at = asked->second;
  link->second.asked.erase(asked);
  TakeStatus(from, pong.status);
  Record& record = Know(from);
  if (!record.evidence || record.evidence->asked_at <= asked_at) {
    record.evidence =
        PongEvidence{asked_at, pong.status.lacks_log, pong.status.fold_offset,
                     m_log.control().next_offset()};
  }
  EndOthers(from, asked_at);
}

void PeerTable::TakeStatus(const EntryId& from, const PeerStatus& status) {
  const MonoTime now = m_context.now().mono;
  Hear(from, now, kSuspectAfter);
  Record& record = Know(from);
  record.heard = now;
  record.draining = status.draining;
  record.fold_offset = std::max(record.fold_offset, status.fold_offset);
  if (!status.lacks_log) {
    record.lacking_since.reset();
  } else if (!record.lacking_since) {
    record.lacking_since = now;
  }
  const auto& entries = m_log.control().entries();
  const auto self = entries.find(m_self.name);
  if (!record.acknowledged_self && IsMember(m_self) &&
      record.fold_offset > self->second.joined_offset) {
    record.acknowledged_self = now;
  }
  for (const HeardPeer& heard : status.heard) {
    const EntryId id{heard.name, heard.incarnation};
    if (id != m_self && Find(id) != nullptr) {
      Hear(id, now - absl::Milliseconds(heard.age_ms), kSuspectAfter);
    }
  }
  if (NeedsRelay(record, status)) {
    Relay(from, status.fold_offset);
  }
}

// Goes by the fold alone: a peer with an append of its own open doesn't say
// that it lacks the log. One that reads a growing log is behind in every
// status, but never behind the same offset for long.
bool PeerTable::NeedsRelay(Record& record, const PeerStatus& status) const {
  const uint64_t own = m_log.control().next_offset();
  const MonoTime now = m_context.now().mono;
  if (record.lag && status.fold_offset >= record.lag->offset) {
    record.lag.reset();
  }
  if (status.fold_offset >= own) {
    return false;
  }
  if (!record.lag) {
    record.lag = Lag{own, now};
  }
  return status.lacks_log || now - record.lag->since >= kRelayAfter;
}

void PeerTable::Relay(const EntryId& to, uint64_t from_offset) {
  std::vector<LogEntry> records = m_log.RecordsFrom(from_offset);
  if (!records.empty()) {
    m_context.Send(to.name, LogRelay{std::move(records)});
  }
}

// Hearsay is never passed on: `heard` holds this entry's own hearing alone.
PeerStatus PeerTable::OwnStatus() const {
  const MonoTime now = m_context.now().mono;
  PeerStatus status;
  status.fold_offset = m_log.control().next_offset();
  status.lacks_log = m_log.SaysLacking();
  status.draining = m_draining;
  for (const auto& [id, record] : m_records) {
    const absl::Duration age = now - record.heard;
    if (!record.ended_at && age <= kSuspectAfter) {
      status.heard.push_back(
          HeardPeer{id.name, id.incarnation,
                    static_cast<uint32_t>(absl::ToInt64Milliseconds(age))});
    }
  }
  return status;
}

void PeerTable::OnFolded(const LogEntry& entry, FoldVerdict verdict) {
  if (m_log.complete()) {
    HearInLog(entry);
  }
  if (verdict != FoldVerdict::kAccepted) {
    return;
  }
  m_members_changed = true;
  const RecordBody& body = entry.record.body;
  if (const auto* joined = std::get_if<EntryJoined>(&body)) {
    const EntryId id{joined->name, joined->incarnation};
    std::vector<EntryId> replaced;
    for (const auto& [known, record] : m_records) {
      if (known.name == id.name && known != id) {
        replaced.push_back(known);
      }
    }
    for (const EntryId& known : replaced) {
      MarkEnded(known);
    }
    if (id != m_self) {
      Know(id);
    }
  } else if (const auto* left = std::get_if<EntryLeft>(&body)) {
    MarkEnded(EntryId{left->name, left->incarnation});
  }
}

void PeerTable::OnHeadReached(MonoTime) {
  UpdateDialTargets();
}

void PeerTable::UpdateDialTargets() {
  if (!m_members_changed || !m_log.complete()) {
    return;
  }
  m_members_changed = false;
  EndGone();
  std::vector<PeerAddress> targets;
  for (const auto& [name, entry] : m_log.control().entries()) {
    if (name != m_self.name) {
      Know(EntryId{name, entry.joined.incarnation});
      targets.push_back({name, entry.joined.address, ProcessRole::kEntry});
    }
  }
  for (const auto& [name, slot] : m_log.control().slots()) {
    targets.push_back({name, slot.address, ProcessRole::kAgent});
  }
  if (targets != m_targets) {
    m_targets = targets;
    m_context.Do(SetDialTargets{std::move(targets)});
  }
}

// Questions. ----------------------------------------------------------------

bool PeerTable::IsAlive(const EntryId& id) const {
  if (id == m_self) {
    return true;
  }
  const Record* record = Find(id);
  const MonoTime log_back = m_log.answering_since() + kSuspectAfter;
  return record != nullptr && !record->ended_at && IsMember(id) &&
         m_context.now().mono <= std::max(record->alive_until, log_back);
}

// A member whose host is lost would otherwise cost an append a second of every
// other entry until somebody declares it ended.
bool PeerTable::ShouldShowLife() const {
  const MonoTime now = m_context.now().mono;
  for (const auto& [id, record] : m_records) {
    if (id == m_self || record.ended_at || !IsMember(id)) {
      continue;
    }
    const MonoTime missed =
        std::max(record.heard, record.known_since) + kSuspectAfter / 2;
    const MonoTime tellable = std::max(missed, m_log.answering_since());
    if (now > missed && (now - tellable <= kShowUnanswered ||
                         now - record.logged <= kShowAnswered)) {
      return true;
    }
  }
  return false;
}

absl::Duration PeerTable::SilentFor(const EntryId& id) const {
  const Record* record = Find(id);
  return record == nullptr ? absl::ZeroDuration()
                           : m_context.now().mono -
                                 std::max(record->heard, record->known_since);
}

MonoTime PeerTable::AliveSince(const EntryId& id) const {
  const Record* record = Find(id);
  return record == nullptr ? m_context.now().mono : record->alive_since;
}

bool PeerTable::IsDraining(const EntryId& id) const {
  if (id == m_self) {
    return m_draining;
  }
  const Record* record = Find(id);
  return record != nullptr && record->draining;
}

// Counted from when this entry's own log came back, so that the first entry
// that has it again doesn't take everything from the others.
bool PeerTable::IsLongWithoutLog(const EntryId& id) const {
  const Record* record = Find(id);
  if (record == nullptr || !record->lacking_since || !m_log.Answers()) {
    return false;
  }
  const MonoTime since =
      std::max(*record->lacking_since, m_log.answering_since());
  return m_context.now().mono - since > kOwnerLease;
}

bool PeerTable::SaysLacking(const EntryId& id) const {
  const Record* record = Find(id);
  return record != nullptr && record->lacking_since.has_value();
}

uint64_t PeerTable::FoldOffsetOf(const EntryId& id) const {
  const Record* record = Find(id);
  return record == nullptr ? 0 : record->fold_offset;
}

std::optional<MonoTime> PeerTable::AcknowledgedSelfSince(
    const EntryId& id) const {
  const Record* record = Find(id);
  return record == nullptr ? std::nullopt : record->acknowledged_self;
}

std::optional<PongEvidence> PeerTable::EvidenceOf(const EntryId& id) const {
  const Record* record = Find(id);
  return record == nullptr ? std::nullopt : record->evidence;
}

std::optional<MonoTime> PeerTable::EndKnownSince(const EntryId& id) const {
  const Record* record = Find(id);
  return record == nullptr ? std::nullopt : record->ended_at;
}

}  // namespace egretswitch::internal
