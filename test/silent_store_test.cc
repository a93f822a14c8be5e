// Tests how soon an entry reads a published configuration after its connections
// to the store stop responding permanently, without a reset, while new
// connections work.
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "store_follower.h"
#include "virtual_timers.h"

namespace egretswitch::internal {
namespace {

constexpr absl::Duration kNetwork = absl::Milliseconds(4);

// The shortest bounds of a deployment: a configuration must be in force
// everywhere within this time after the store has acknowledged it ...
constexpr absl::Duration kInForceWithin = absl::Seconds(2);
// ... at processes that had no disruption for this long.
constexpr absl::Duration kUndisturbedPeriod = absl::Seconds(3);

// A store that is read over connections that work or have stopped responding.
class UnresponsiveStore : public KeyedStore {
 public:
  explicit UnresponsiveStore(VirtualTimers& timers) : m_timers(timers) {}

  void Publish() {
    ++m_end;
    for (Waiting& read : std::exchange(m_waiting, {})) {
      read.answer();
    }
  }
  // Pending reads are never answered.
  void StopResponding() {
    ++m_failures;
    m_waiting.clear();
  }

  // From now on, the history never goes back to the offset that is followed.
  void TruncateHistory() { m_history_truncated = true; }

  void ReadAll(StoreTable, PageCallback done) override {
    Read(0, absl::ZeroDuration(), std::move(done));
  }

  void Follow(StoreTable,
              uint64_t offset,
              absl::Duration wait,
              PageCallback done) override {
    if (m_history_truncated) {
      ++reads;
      m_timers.RunAfter(kNetwork, [done = std::move(done)] {
        done(absl::OutOfRangeError("store: the history was cut off"));
      });
      return;
    }
    Read(offset, wait, std::move(done));
  }

  void ReadNow(StoreTable table, uint64_t offset, PageCallback done) override {
    Follow(table, offset, absl::ZeroDuration(), std::move(done));
  }

  void Put(StoreTable,
           const std::string&,
           const std::string&,
           PutCallback) override {}

  int reads = 0;

 private:
  void Read(uint64_t offset, absl::Duration wait, PageCallback done) {
    ++reads;
    auto ended = std::make_shared<bool>(false);
    const auto end = [ended, done](const absl::StatusOr<KeyedPage>& page) {
      if (!std::exchange(*ended, true)) {
        done(page);
      }
    };
    const auto answer = [this, offset, end, failures_then = m_failures] {
      m_timers.RunAfter(kNetwork, [this, offset, end, failures_then] {
        if (failures_then == m_failures) {
          end(PageFrom(offset));
        }
      });
    };
    if (m_end > offset || wait == absl::ZeroDuration()) {
      answer();
    } else {
      m_waiting.push_back({answer});
      m_timers.RunAfter(wait, answer);
    }
    m_timers.RunAfter(wait + kReadTimeout, [end] {
      end(absl::UnavailableError("store: no answer"));
    });
  }

  struct Waiting {
    std::function<void()> answer;
  };

  KeyedPage PageFrom(uint64_t offset) const {
    KeyedPage page;
    for (uint64_t i = offset; i < m_end; ++i) {
      page.records.emplace_back().offset = i;
    }
    page.next_offset = m_end;
    return page;
  }

  VirtualTimers& m_timers;
  uint64_t m_end = 1;
  int m_failures = 0;
  bool m_history_truncated = false;
  std::vector<Waiting> m_waiting;
};

struct UnresponsiveStoreFixture {
  UnresponsiveStoreFixture() { follower.Start(); }

  VirtualTimers virtual_timers;
  UnresponsiveStore store{virtual_timers};
  uint64_t read_through = 0;
  StoreFollower follower{
      virtual_timers.timers(),
      store,
      StoreTable::kConfig,
      kInForceWithin,
      [this](const KeyedPage& page) { read_through = page.next_offset; },
      [] {}};
};

// Returns how long after the failure the entry has read a configuration that
// was published `after` the failure.
absl::Duration ReadAfterFailure(absl::Duration failure_at,
                                absl::Duration after) {
  UnresponsiveStoreFixture fixture;
  VirtualTimers& timers = fixture.virtual_timers;
  timers.RunUntil(failure_at);
  fixture.store.StopResponding();
  timers.RunUntil(failure_at + after);
  fixture.store.Publish();
  while (fixture.read_through < 2 && timers.now() < absl::Minutes(1)) {
    timers.RunUntil(timers.now() + absl::Milliseconds(1));
  }
  return timers.now() - failure_at;
}

BOOST_AUTO_TEST_SUITE(silent_store)

// Guards against an entry that refuses or runs jobs by an older configuration
// while it waits for an answer on a connection that has stopped responding.
BOOST_AUTO_TEST_CASE(
    configuration_is_read_in_time_when_a_connection_stops_responding) {
  absl::Duration latest;  // how far past its bound a configuration was read
  for (int failure_ms = 20; failure_ms <= 12'000; failure_ms += 230) {
    for (const int after_ms : {1, 500, 1000, 2000, 3000, 6000}) {
      const absl::Duration after = absl::Milliseconds(after_ms);
      const absl::Duration bound =
          std::max(kUndisturbedPeriod, after + kInForceWithin);
      const absl::Duration read =
          ReadAfterFailure(absl::Milliseconds(failure_ms), after);
      latest = std::max(latest, read - bound);
    }
  }
  BOOST_TEST(absl::ToInt64Milliseconds(latest) == 0);
}

// Guards against reading the store in a loop without pauses.
BOOST_FIXTURE_TEST_CASE(permanently_truncated_history_is_read_with_pauses,
                        UnresponsiveStoreFixture) {
  store.TruncateHistory();
  virtual_timers.RunUntil(absl::Seconds(10));
  // One read of all keys and one of new records in each quarter of a second.
  BOOST_TEST(store.reads <= 2 * 40);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
