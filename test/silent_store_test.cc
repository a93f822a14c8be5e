// How soon an entry reads what operators publish when its connections to the
// store fall silent for good, without a reset, while new ones work.
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

// The shortest bounds of a deployment: a configuration is in force everywhere
// so long after the store has acknowledged it ...
constexpr absl::Duration kInForceWithin = absl::Seconds(2);
// ... at processes that had no disruption for so long.
constexpr absl::Duration kUndisturbed = absl::Seconds(3);

// One read after the other, each on a connection that works or has died.
class SilentStore : public KeyedStore {
 public:
  explicit SilentStore(VirtualTimers& timers) : m_timers(timers) {}

  void Publish() {
    ++m_end;
    for (Waiting& read : std::exchange(m_waiting, {})) {
      read.answer();
    }
  }
  // What is under way is never answered.
  void FallSilent() {
    ++m_deaths;
    m_waiting.clear();
  }

  // Whatever offset is followed from, the history no longer goes back so far.
  void CutHistoryForGood() { m_cut = true; }

  void ReadAll(StoreTable, PageCallback done) override {
    Read(0, absl::ZeroDuration(), std::move(done));
  }

  void Follow(StoreTable,
              uint64_t offset,
              absl::Duration wait,
              PageCallback done) override {
    if (m_cut) {
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
    const auto answer = [this, offset, end, life = m_deaths] {
      m_timers.RunAfter(kNetwork, [this, offset, end, life] {
        if (life == m_deaths) {
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
  int m_deaths = 0;
  bool m_cut = false;
  std::vector<Waiting> m_waiting;
};

struct SilentStoreFixture {
  SilentStoreFixture() { follower.Start(); }

  VirtualTimers virtual_timers;
  SilentStore store{virtual_timers};
  uint64_t read_through = 0;
  StoreFollower follower{
      virtual_timers.timers(),
      store,
      StoreTable::kConfig,
      kInForceWithin,
      [this](const KeyedPage& page) { read_through = page.next_offset; },
      [] {}};
};

// When what is published `after` the silence has been read, counted from it.
absl::Duration ReadAfterSilence(absl::Duration silence, absl::Duration after) {
  SilentStoreFixture fixture;
  VirtualTimers& timers = fixture.virtual_timers;
  timers.RunUntil(silence);
  fixture.store.FallSilent();
  timers.RunUntil(silence + after);
  fixture.store.Publish();
  while (fixture.read_through < 2 && timers.now() < absl::Minutes(1)) {
    timers.RunUntil(timers.now() + absl::Milliseconds(1));
  }
  return timers.now() - silence;
}

BOOST_AUTO_TEST_SUITE(silent_store)

// Guards against an entry that refuses or runs by an older configuration while
// it waits for an answer on a connection that has died.
BOOST_AUTO_TEST_CASE(
    configuration_is_read_in_time_when_a_connection_stops_responding) {
  absl::Duration latest;  // beyond its bound
  for (int silence_ms = 20; silence_ms <= 12'000; silence_ms += 230) {
    for (const int after_ms : {1, 500, 1000, 2000, 3000, 6000}) {
      const absl::Duration after = absl::Milliseconds(after_ms);
      const absl::Duration bound =
          std::max(kUndisturbed, after + kInForceWithin);
      const absl::Duration read =
          ReadAfterSilence(absl::Milliseconds(silence_ms), after);
      latest = std::max(latest, read - bound);
    }
  }
  BOOST_TEST(absl::ToInt64Milliseconds(latest) == 0);
}

// Guards against a store that is asked as fast as it answers.
BOOST_FIXTURE_TEST_CASE(permanently_truncated_history_is_read_with_pauses,
                        SilentStoreFixture) {
  store.CutHistoryForGood();
  virtual_timers.RunUntil(absl::Seconds(10));
  // A look at all keys and one at the log in each quarter of a second.
  BOOST_TEST(store.reads <= 2 * 40);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
