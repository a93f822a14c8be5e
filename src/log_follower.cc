#include "log_follower.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "node_limits.h"

namespace egretswitch::internal {
namespace {

// A call to the log that has brought no reply after this time counts as lost.
const absl::Duration kLostReplyAfter = kLogReadWait + absl::Seconds(2);

// Folded records kept for peers that lack the log.
constexpr size_t kKeptRecords = 1000;

// Records in one LogRelay; the next ping brings the next ones.
constexpr size_t kRelayedRecords = 250;

bool ChangesOwnership(const RecordBody& body) {
  return std::holds_alternative<ShardsClaimed>(body) ||
         std::holds_alternative<EntryJoined>(body) ||
         std::holds_alternative<EntryLeft>(body);
}

AppendResult ResultOf(FoldVerdict verdict) {
  switch (verdict) {
    case FoldVerdict::kAccepted:
      return AppendResult::kAccepted;
    case FoldVerdict::kSuperseded:
      return AppendResult::kSuperseded;
    case FoldVerdict::kInvalid:
      return AppendResult::kInvalid;
    case FoldVerdict::kSkipped:
    case FoldVerdict::kGap:
      return AppendResult::kUnknown;
  }
  return AppendResult::kUnknown;
}

}  // namespace

LogFollower::LogFollower(const EntryId& self,
                         uint32_t shard_count,
                         NodeContext* context)
    : m_self(self), m_context(*context), m_control(shard_count) {}

void LogFollower::AddObserver(LogObserver* observer) {
  m_observers.push_back(observer);
}

void LogFollower::OnTick() {
  ExpireLostReplies();
  if (!m_reading && m_context.now().mono >= m_next_read) {
    StartRead();
  }
}

void LogFollower::StartRead() {
  const MonoTime now = m_context.now().mono;
  m_reading = true;
  m_read_asked = now;
  ReadLog read;
  read.from = m_scan_from.value_or(m_control.next_offset());
  // Nothing to wait for before the head is known, nor after a failure: what
  // counts then is that the log answers.
  const bool wait = m_complete && !m_last_read_failed;
  read.wait = wait ? kLogReadWait : absl::ZeroDuration();
  read.asked_at = now;
  m_context.counters().Add(Counter::kLogReads);
  m_context.Do(read);
}

void LogFollower::EndRead(MonoTime retry_at) {
  m_reading = false;
  m_next_read = retry_at;
  if (m_context.now().mono >= retry_at) {
    StartRead();
  }
}

void LogFollower::Fail() {
  m_last_read_failed = true;
  m_context.counters().Add(Counter::kLogReadFailures);
  EndRead(m_context.now().mono + kLogRetryPeriod);
}

void LogFollower::OnReadFailed(const LogReadFailed& failed) {
  // A late failure of a read given up before says nothing new.
  if (m_reading && failed.asked_at == m_read_asked) {
    Fail();
  }
}

void LogFollower::OnReadDone(const LogReadDone& done) {
  const uint64_t before = m_control.next_offset();
  const std::optional<uint64_t> scan_before = m_scan_from;
  const bool answered_before = Answers();
  for (const LogEntry& entry : done.entries) {
    Fold(entry);
  }
  SettleHidden();
  PlanScan(done);
  const bool current = m_reading && done.asked_at == m_read_asked;
  const bool at_head = m_control.next_offset() >= done.head;
  if (!answered_before) {
    m_answering_since = m_context.now().mono;
  }
  if (current) {
    m_last_read_failed = false;
  }
  m_last_success_asked = std::max(m_last_success_asked, done.asked_at);
  if (at_head) {
    m_complete = true;
    for (LogObserver* observer : m_observers) {
      observer->OnHeadReached(done.asked_at);
    }
    ResendLost(done.asked_at);
  }
  if (current) {
    // A log that has more but gives nothing must not be asked in a tight loop.
    const bool progress = at_head || m_control.next_offset() != before ||
                          m_scan_from != scan_before;
    EndRead(m_context.now().mono +
            (progress ? absl::ZeroDuration() : kLogRetryPeriod));
  }
}

// Records that this process needs were dropped by the log's retention: looks
// on, from the oldest kept one, for a snapshot that covers the gap.
void LogFollower::PlanScan(const LogReadDone& done) {
  if (m_control.next_offset() >= done.first_kept) {
    m_scan_from.reset();
    return;
  }
  uint64_t from = std::max(m_scan_from.value_or(0), done.first_kept);
  if (!done.entries.empty()) {
    from = std::max(from, done.entries.back().offset + 1);
  }
  m_scan_from = from;
}

void LogFollower::OnRelay(const LogRelay& relay) {
  for (const LogEntry& entry : relay.entries) {
    Fold(entry);
  }
  SettleHidden();
}

void LogFollower::Fold(const LogEntry& entry) {
  const uint64_t before = m_control.next_offset();
  const FoldVerdict verdict = m_control.Apply(entry);
  if (verdict == FoldVerdict::kSkipped || verdict == FoldVerdict::kGap) {
    return;
  }
  if (m_control.next_offset() != before) {
    Keep(entry);
    for (LogObserver* observer : m_observers) {
      observer->OnFolded(entry, verdict);
    }
  }
  Settle(entry.record.append_id, ResultOf(verdict));
}

// Only an unbroken run of records helps a peer.
void LogFollower::Keep(const LogEntry& entry) {
  if (entry.offset + 1 != m_control.next_offset()) {
    m_recent.clear();
    return;
  }
  if (!m_recent.empty() && m_recent.back().offset + 1 != entry.offset) {
    m_recent.clear();  // a snapshot has jumped over lost records
  }
  m_recent.push_back(entry);
  if (m_recent.size() > kKeptRecords) {
    m_recent.pop_front();
  }
}

std::vector<LogEntry> LogFollower::RecordsFrom(uint64_t offset) const {
  if (m_recent.empty() || offset < m_recent.front().offset ||
      offset > m_recent.back().offset) {
    return {};
  }
  const size_t first = offset - m_recent.front().offset;
  const size_t count = std::min(kRelayedRecords, m_recent.size() - first);
  const auto begin = m_recent.begin() + static_cast<std::ptrdiff_t>(first);
  return {begin, begin + static_cast<std::ptrdiff_t>(count)};
}

std::string LogFollower::Append(RecordBody body) {
  const std::string id =
      absl::StrCat(m_self.name, "#", m_self.incarnation, "#", m_next_append++);
  Wish& wish = m_wishes[id];
  wish.record = LogRecord{id, std::move(body)};
  SendAppend(wish);
  return id;
}

void LogFollower::SendAppend(Wish& wish) {
  wish.stage = AppendStage::kSent;
  wish.since = m_context.now().mono;
  m_context.counters().Add(Counter::kLogAppends);
  m_context.Do(AppendLog{wish.record});
}

// A written record counts as outstanding until it is folded: only then does
// this process act by it.
void LogFollower::OnAppendDone(const LogAppendDone& done) {
  const auto it = m_wishes.find(done.append_id);
  if (it == m_wishes.end()) {
    return;
  }
  it->second.stage = AppendStage::kWritten;
  it->second.offset = done.offset;
  SettleHidden();
}

void LogFollower::OnAppendFailed(const LogAppendFailed& failed) {
  const auto it = m_wishes.find(failed.append_id);
  if (it == m_wishes.end() || it->second.stage == AppendStage::kWritten) {
    return;
  }
  m_context.counters().Add(Counter::kLogAppendFailures);
  m_append_failed = m_context.now().mono;
  // A repeated append that failed says nothing about the first one.
  if (!failed.may_have_taken_effect && it->second.stage == AppendStage::kSent &&
      !it->second.maybe_written) {
    Settle(failed.append_id, AppendResult::kNotAppended);
    return;
  }
  it->second.stage = AppendStage::kUnknown;
  it->second.maybe_written = true;
  it->second.since = m_context.now().mono;
}

// A complete read that was asked for after the reply was lost doesn't show the
// record: appends it again. Should the first one still arrive, the fold lets
// only one of the two take effect.
void LogFollower::ResendLost(MonoTime asked_at) {
  for (auto& [id, wish] : m_wishes) {
    if (wish.stage == AppendStage::kUnknown && asked_at >= wish.since) {
      SendAppend(wish);
    }
  }
}

void LogFollower::Settle(const std::string& append_id, AppendResult result) {
  if (m_wishes.erase(append_id) == 0) {
    return;
  }
  for (LogObserver* observer : m_observers) {
    observer->OnAppendSettled(append_id, result);
  }
}

// Settles records that a snapshot has carried this process past.
void LogFollower::SettleHidden() {
  std::vector<std::string> hidden;
  for (const auto& [id, wish] : m_wishes) {
    if (wish.stage == AppendStage::kWritten &&
        wish.offset < m_control.next_offset()) {
      hidden.push_back(id);
    }
  }
  for (const std::string& id : hidden) {
    Settle(id, AppendResult::kUnknown);
  }
}

void LogFollower::ExpireLostReplies() {
  const MonoTime now = m_context.now().mono;
  if (m_reading && now - m_read_asked >= kLostReplyAfter) {
    Fail();
  }
  for (auto& [id, wish] : m_wishes) {
    if (wish.stage == AppendStage::kSent &&
        now - wish.since >= kLostReplyAfter) {
      wish.stage = AppendStage::kUnknown;
      wish.maybe_written = true;
      wish.since = now;
    }
  }
}

// A read waits in the log for up to kLogReadWait, so between two of them the
// last success is older than kLogLackingAfter also when all is well: only a
// failure or a late reply counts.
bool LogFollower::Answers() const {
  const MonoTime now = m_context.now().mono;
  if (now - m_last_success_asked <= kLogLackingAfter) {
    return true;
  }
  const bool late = m_reading && now - m_read_asked > kLogLackingAfter;
  return m_complete && !m_last_read_failed && !late;
}

bool LogFollower::CanAppend() const {
  return m_complete && Answers() &&
         m_context.now().mono - m_append_failed >= kLogRetryPeriod;
}

bool LogFollower::HasOpenOwnershipAppend() const {
  return std::any_of(m_wishes.begin(), m_wishes.end(), [](const auto& wish) {
    return ChangesOwnership(wish.second.record.body);
  });
}

bool LogFollower::SaysLacking() const {
  return !Answers() && !HasOpenOwnershipAppend();
}

}  // namespace egretswitch::internal
