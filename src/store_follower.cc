// A read that waits ends with the first new record or when its wait is over. An
// answer that was lost on a connection that lives on looks like a table without
// news: nothing but the end of the wait tells them apart. A table that changes
// all the time is read some times a second at most, however many processes
// change it.
#include "store_follower.h"

#include <algorithm>
#include <utility>

#include "duration_text.h"
#include "logging.h"
#include "random_seed.h"

namespace egretswitch::internal {
namespace {

// Between the end of a read of the members and the next one. While the table
// changes all the time, as when every process has just started, the pause
// grows: the reads of an entry then don't grow with the number of processes.
constexpr absl::Duration kMembersPause = absl::Milliseconds(100);
constexpr absl::Duration kLongestMembersPause = absl::Milliseconds(800);

// What was confirmed so shortly before is not asked for again.
constexpr absl::Duration kRecent = absl::Milliseconds(100);

// After a failed read. The first retry is soon, since most failures are single
// ones; a store that refuses this process is asked twice a second.
constexpr RetryPauseLimits kPause = {.first = absl::Milliseconds(50),
                                     .longest = absl::Milliseconds(500)};

// The store keeps no read open for longer than 30 s.
constexpr absl::Duration kLongestWait = absl::Seconds(10);
// An idle table costs a call each time a wait ends.
constexpr absl::Duration kShortestWait = absl::Milliseconds(200);
// A process that becomes known some seconds later is missed less than a
// configuration.
constexpr int kMembersWaits = 4;

// Half of the time is for the wait; the rest is for giving up a read that has
// died and for making the next one.
absl::Duration LongestWait(StoreTable table,
                           absl::Duration config_apply_limit) {
  const int waits = table == StoreTable::kMembers ? kMembersWaits : 1;
  return std::clamp(config_apply_limit / 2 * waits, kShortestWait,
                    kLongestWait);
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
      m_longest_wait(LongestWait(table, config_apply_limit)),
      m_on_page(std::move(on_page)),
      m_on_failure(std::move(on_failure)),
      m_pause(kPause, RandomSeed()),
      m_members_pause(kMembersPause) {}

StoreFollower::~StoreFollower() = default;

void StoreFollower::Start() {
  ReadAll();
}

void StoreFollower::Later(absl::Duration delay, std::function<void()> what) {
  m_timers.run_after(delay, [weak = std::weak_ptr(m_alive), what] {
    if (!weak.expired()) {
      what();
    }
  });
}

void StoreFollower::ReadAll() {
  m_asked_at = m_timers.now();
  m_wait = absl::ZeroDuration();
  m_store.ReadAll(m_table, [this](const absl::StatusOr<KeyedPage>& page) {
    OnPage(true, page);
  });
}

// After a failure without a wait: a waiting read that is sent while the store
// is silent is given up only when its wait is over, and hides that the store is
// back for as long. So the return is noticed within a call's timeout
// and the longest pause, 1.3 s.
void StoreFollower::Follow() {
  m_asked_at = m_timers.now();
  const bool failing = m_failing_since != absl::InfiniteDuration();
  m_wait = failing ? absl::ZeroDuration() : m_longest_wait;
  m_store.Follow(
      m_table, m_next_offset, m_wait,
      [this](const absl::StatusOr<KeyedPage>& page) { OnPage(false, page); });
}

void StoreFollower::OnPage(bool whole, const absl::StatusOr<KeyedPage>& page) {
  if (!page.ok()) {
    if (absl::IsOutOfRange(page.status())) {
      OnCutOff();
      return;
    }
    m_on_failure();
    if (m_failing_since == absl::InfiniteDuration()) {
      m_failing_since = m_timers.now();
      const absl::Duration under_way = m_failing_since - m_asked_at;
      LogStateChange({"store lost",
                      {{"table", TableName(m_table)},
                       {"under_way_ms", MillisecondsText(under_way)},
                       {"unconfirmed_ms",
                        MillisecondsText(m_failing_since - m_confirmed_at)},
                       {"reason", std::string(page.status().message())}}});
    }
    Later(m_pause.Next(), [this, whole] { whole ? ReadAll() : Follow(); });
    return;
  }
  if (m_failing_since != absl::InfiniteDuration()) {
    m_failing_since = absl::InfiniteDuration();
    LogStateChange({"store regained", {{"table", TableName(m_table)}}});
  }
  if (!whole) {
    m_cut_off = false;
  }
  if (!m_cut_off) {
    m_pause.Reset();
  }
  Take(*page, ProvenThrough(whole, *page));
  FollowSoon();
}

// A cut is answered at once. A store that says so again and again, with no
// news between, is asked with the pauses of one that fails.
void StoreFollower::OnCutOff() {
  const bool again = std::exchange(m_cut_off, true);
  if (again) {
    Later(m_pause.Next(), [this] { ReadAll(); });
  } else {
    ReadAll();
  }
}

// A page without a record says that nothing came during the whole wait.
MonoTime StoreFollower::ProvenThrough(bool whole, const KeyedPage& page) const {
  const bool waited = !whole && page.records.empty() && page.unreadable == 0;
  return waited ? std::min(m_asked_at + m_wait, m_timers.now()) : m_asked_at;
}

// Two reads may be under way, and the one that ends later may reach less far.
void StoreFollower::Take(const KeyedPage& page, MonoTime confirmed_at) {
  m_next_offset = std::max(m_next_offset, page.next_offset);
  if (page.next_offset >= page.end) {
    m_confirmed_at = std::max(m_confirmed_at, confirmed_at);
  }
  m_on_page(page);
}

// Whoever asks while a read is under way shares it, so that callers who ask for
// what isn't there cost the store some reads a second at most.
void StoreFollower::Confirm(std::function<void(bool confirmed)> done) {
  const MonoTime now = m_timers.now();
  const bool recent = now - m_confirmed_at <= kRecent;
  if (recent || m_failing_since != absl::InfiniteDuration()) {
    done(recent);
    return;
  }
  m_wait_for_confirmation.push_back(std::move(done));
  if (m_wait_for_confirmation.size() == 1) {
    ReadNow(now);
  }
}

void StoreFollower::ReadNow(MonoTime asked_at) {
  const uint64_t from = m_next_offset;
  m_store.ReadNow(
      m_table, from,
      [this, asked_at, from](const absl::StatusOr<KeyedPage>& page) {
        if (!page.ok()) {
          EndConfirmation(page.status());
          return;
        }
        Take(*page, asked_at);
        if (page->next_offset >= page->end) {
          EndConfirmation(absl::OkStatus());
        } else if (page->next_offset > from) {
          ReadNow(asked_at);
        } else {
          EndConfirmation(absl::InternalError("store: a read without records"));
        }
      });
}

void StoreFollower::EndConfirmation(const absl::Status& status) {
  if (!status.ok()) {
    LogStateChange({"table not confirmed",
                    {{"table", TableName(m_table)},
                     {"reason", std::string(status.message())}},
                    true});
  }
  for (const auto& done : std::exchange(m_wait_for_confirmation, {})) {
    done(status.ok());
  }
}

// A configuration is wanted as soon as there is one.
void StoreFollower::FollowSoon() {
  if (m_table == StoreTable::kConfig) {
    Follow();
    return;
  }
  const bool keeps_changing = m_timers.now() - m_asked_at < m_members_pause;
  m_members_pause = keeps_changing
                        ? std::min(m_members_pause * 2, kLongestMembersPause)
                        : kMembersPause;
  Later(m_members_pause, [this] { Follow(); });
}

}  // namespace egretswitch::internal
