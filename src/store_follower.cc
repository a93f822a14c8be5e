// A waiting read ends at the first new record or when its wait is over. While
// it waits, an answer lost on an open connection can't be told apart from a
// table without new records; only the end of the wait shows which of the two it
// is. A table that changes constantly is read a few times a second at most,
// however many processes change it.
#include "store_follower.h"

#include <algorithm>
#include <utility>

#include "duration_text.h"
#include "logging.h"
#include "random_seed.h"

namespace egretswitch::internal {
namespace {

// Pause between the end of a read of the members and the next one. It grows
// while the table changes constantly, as when every process has just started,
// so that the reads of an entry don't grow with the number of processes.
constexpr absl::Duration kMembersPause = absl::Milliseconds(100);
constexpr absl::Duration kMaxMembersPause = absl::Milliseconds(800);

// A table that was confirmed within this time is not read again to confirm it.
constexpr absl::Duration kRecentlyConfirmed = absl::Milliseconds(100);

// Pauses after a failed read. The first retry is early, since most failures are
// isolated; a store that keeps refusing this process is read twice a second.
constexpr RetryPauseLimits kRetryPause = {.first = absl::Milliseconds(50),
                                          .longest = absl::Milliseconds(500)};

// The store holds a read open for 30 s at most.
constexpr absl::Duration kMaxWait = absl::Seconds(10);
// While a table doesn't change, each end of a wait costs one call.
constexpr absl::Duration kMinWait = absl::Milliseconds(200);
// Members wait longer than the configuration: a process that is recorded some
// seconds late does less harm than a configuration that is.
constexpr int kMembersWaitFactor = 4;

// Half of the time is for the wait; the rest is for the timeout of a read whose
// connection stopped responding, and for the next read.
absl::Duration MaxWait(StoreTable table, absl::Duration config_apply_limit) {
  const int factor = table == StoreTable::kMembers ? kMembersWaitFactor : 1;
  return std::clamp(config_apply_limit / 2 * factor, kMinWait, kMaxWait);
}

const char* TableName(StoreTable table) {
  return table == StoreTable::kConfig ? "config" : "members";
}

}  // namespace

StoreFollower::StoreFollower(Timers timers,
                             KeyedStore& store,
                             StoreTable table,
                             absl::Duration config_apply_limit,
                             PageCallback on_page,
                             std::function<void()> on_failure)
    : m_timers(std::move(timers)),
      m_store(store),
      m_table(table),
      m_max_wait(MaxWait(table, config_apply_limit)),
      m_on_page(std::move(on_page)),
      m_on_failure(std::move(on_failure)),
      m_pause(kRetryPause, RandomSeed()),
      m_members_pause(kMembersPause) {}

StoreFollower::~StoreFollower() = default;

void StoreFollower::Start() {
  ReadAll();
}

void StoreFollower::RunAfter(absl::Duration delay,
                             std::function<void()> callback) {
  m_timers.run_after(delay, [weak = std::weak_ptr(m_alive), callback] {
    if (!weak.expired()) {
      callback();
    }
  });
}

void StoreFollower::ReadAll() {
  m_read_started_at = m_timers.now();
  m_wait = absl::ZeroDuration();
  m_store.ReadAll(m_table, [this](const absl::StatusOr<KeyedPage>& page) {
    OnPage(true, page);
  });
}

// After a failure the read doesn't wait: a waiting read sent while the store is
// unresponsive times out only after its wait, and until then the recovery of
// the store goes unnoticed. Without a wait, the recovery is noticed within the
// timeout of a call plus the longest pause, 1.3 s.
void StoreFollower::Follow() {
  m_read_started_at = m_timers.now();
  const bool failing = m_failing_since != absl::InfiniteDuration();
  m_wait = failing ? absl::ZeroDuration() : m_max_wait;
  m_store.Follow(
      m_table, m_next_offset, m_wait,
      [this](const absl::StatusOr<KeyedPage>& page) { OnPage(false, page); });
}

void StoreFollower::OnPage(bool whole, const absl::StatusOr<KeyedPage>& page) {
  if (!page.ok()) {
    if (absl::IsOutOfRange(page.status())) {
      OnHistoryTruncated();
      return;
    }
    m_on_failure();
    if (m_failing_since == absl::InfiniteDuration()) {
      m_failing_since = m_timers.now();
      const absl::Duration read_duration = m_failing_since - m_read_started_at;
      LogStateChange({"store lost",
                      {{"table", TableName(m_table)},
                       {"under_way_ms", MillisecondsText(read_duration)},
                       {"unconfirmed_ms",
                        MillisecondsText(m_failing_since - m_confirmed_at)},
                       {"reason", std::string(page.status().message())}}});
    }
    RunAfter(m_pause.Next(), [this, whole] { whole ? ReadAll() : Follow(); });
    return;
  }
  if (m_failing_since != absl::InfiniteDuration()) {
    m_failing_since = absl::InfiniteDuration();
    LogStateChange({"store regained", {{"table", TableName(m_table)}}});
  }
  if (!whole) {
    m_history_truncated = false;
  }
  if (!m_history_truncated) {
    m_pause.Reset();
  }
  ApplyPage(*page, ConfirmedThrough(whole, *page));
  FollowSoon();
}

// The whole table is read at once when its history was truncated. If the store
// reports this repeatedly, without a successful read of new records between, it
// is read with the pauses that follow failures.
void StoreFollower::OnHistoryTruncated() {
  const bool again = std::exchange(m_history_truncated, true);
  if (again) {
    RunAfter(m_pause.Next(), [this] { ReadAll(); });
  } else {
    ReadAll();
  }
}

// A page without records proves that none were written during the whole wait;
// any other page proves only the time at which its read began.
MonoTime StoreFollower::ConfirmedThrough(bool whole,
                                         const KeyedPage& page) const {
  const bool waited = !whole && page.records.empty() && page.unreadable == 0;
  return waited ? std::min(m_read_started_at + m_wait, m_timers.now())
                : m_read_started_at;
}

// Two reads may be pending at once, and the one that ends later may end at an
// older offset.
void StoreFollower::ApplyPage(const KeyedPage& page, MonoTime confirmed_at) {
  m_next_offset = std::max(m_next_offset, page.next_offset);
  if (page.next_offset >= page.end) {
    m_confirmed_at = std::max(m_confirmed_at, confirmed_at);
  }
  m_on_page(page);
}

// Confirmations requested while a read is pending share that read, so that
// callers that name missing queues cost the store a few reads a second at most.
void StoreFollower::Confirm(std::function<void(bool confirmed)> done) {
  const MonoTime now = m_timers.now();
  const bool recent = now - m_confirmed_at <= kRecentlyConfirmed;
  if (recent || m_failing_since != absl::InfiniteDuration()) {
    done(recent);
    return;
  }
  m_confirmation_waiters.push_back(std::move(done));
  if (m_confirmation_waiters.size() == 1) {
    ReadNow(now);
  }
}

void StoreFollower::ReadNow(MonoTime started_at) {
  const uint64_t from = m_next_offset;
  m_store.ReadNow(
      m_table, from,
      [this, started_at, from](const absl::StatusOr<KeyedPage>& page) {
        if (!page.ok()) {
          FinishConfirmation(page.status());
          return;
        }
        ApplyPage(*page, started_at);
        if (page->next_offset >= page->end) {
          FinishConfirmation(absl::OkStatus());
        } else if (page->next_offset > from) {
          ReadNow(started_at);
        } else {
          FinishConfirmation(
              absl::InternalError("store: a read without records"));
        }
      });
}

void StoreFollower::FinishConfirmation(const absl::Status& status) {
  if (!status.ok()) {
    LogStateChange({"table not confirmed",
                    {{"table", TableName(m_table)},
                     {"reason", std::string(status.message())}},
                    true});
  }
  for (const auto& done : std::exchange(m_confirmation_waiters, {})) {
    done(status.ok());
  }
}

// The configuration is read again at once, since it must be in force soon after
// it is published.
void StoreFollower::FollowSoon() {
  if (m_table == StoreTable::kConfig) {
    Follow();
    return;
  }
  const bool keeps_changing =
      m_timers.now() - m_read_started_at < m_members_pause;
  m_members_pause = keeps_changing
                        ? std::min(m_members_pause * 2, kMaxMembersPause)
                        : kMembersPause;
  RunAfter(m_members_pause, [this] { Follow(); });
}

}  // namespace egretswitch::internal
