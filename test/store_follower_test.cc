// How an entry follows a table of the store that goes away and comes back.
#include "store_follower.h"

#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

#include "service_config.h"
#include "virtual_timers.h"

namespace egretswitch::internal {
namespace {

constexpr absl::Duration kConfigWait = absl::Seconds(1);
// Beyond the longest pause between two reads.
constexpr absl::Duration kLongPause = absl::Seconds(2);

// Keeps each read until the test answers it.
class HeldStore : public KeyedStore {
 public:
  void ReadAll(StoreTable, PageCallback done) override {
    m_waits.push_back(absl::ZeroDuration());
    m_done = std::move(done);
  }
  void Follow(StoreTable,
              uint64_t,
              absl::Duration wait,
              PageCallback done) override {
    m_waits.push_back(wait);
    m_done = std::move(done);
  }
  void ReadNow(StoreTable, uint64_t, PageCallback done) override {
    ++m_reads_now;
    m_done_now = std::move(done);
  }
  void Put(StoreTable,
           const std::string&,
           const std::string&,
           PutCallback) override {}

  size_t reads() const { return m_waits.size(); }
  // How long the store was to keep the latest read open.
  absl::Duration last_wait() const { return m_waits.back(); }
  void Answer(const absl::StatusOr<KeyedPage>& page) {
    std::exchange(m_done, nullptr)(page);
  }
  size_t reads_now() const { return m_reads_now; }
  void AnswerNow(const absl::StatusOr<KeyedPage>& page) {
    std::exchange(m_done_now, nullptr)(page);
  }

 private:
  std::vector<absl::Duration> m_waits;
  PageCallback m_done;
  size_t m_reads_now = 0;
  PageCallback m_done_now;
};

struct StoreFollowerFixture {
  StoreFollowerFixture() {
    follower.Start();
    store.Answer(KeyedPage{});
  }

  // The read under way fails; the next one is made.
  void Fail() {
    const size_t reads = store.reads();
    store.Answer(absl::UnavailableError("store: no answer"));
    Pass(kLongPause);
    BOOST_REQUIRE(store.reads() == reads + 1);
  }

  void Pass(absl::Duration time) {
    virtual_timers.RunUntil(virtual_timers.now() + time);
  }

  VirtualTimers virtual_timers;
  HeldStore store;
  int pages = 0;
  int failures = 0;
  StoreFollower follower{virtual_timers.timers(),
                         store,
                         StoreTable::kConfig,
                         kDefaultConfigApplyLimit,
                         [this](const KeyedPage&) { ++pages; },
                         [this] { ++failures; }};
};

BOOST_FIXTURE_TEST_SUITE(store_follower, StoreFollowerFixture)

BOOST_AUTO_TEST_CASE(responsive_store_is_read_with_a_wait) {
  BOOST_TEST((store.last_wait() == kConfigWait));
  store.Answer(KeyedPage{});
  BOOST_TEST((store.last_wait() == kConfigWait));
  BOOST_TEST(pages == 2);
}

// A read that waits is given up only after that wait: one that was sent while
// the store was away would hide its return for so long.
BOOST_AUTO_TEST_CASE(failing_store_is_read_without_a_wait) {
  Fail();
  BOOST_TEST((store.last_wait() == absl::ZeroDuration()));
  Fail();
  BOOST_TEST((store.last_wait() == absl::ZeroDuration()));
  BOOST_TEST(failures == 2);
}

BOOST_AUTO_TEST_CASE(recovered_store_is_read_with_a_wait_again) {
  Fail();
  store.Answer(KeyedPage{});
  BOOST_TEST((store.last_wait() == kConfigWait));
  BOOST_TEST((follower.failing_since() == absl::InfiniteDuration()));
}

// A start of hundreds of processes writes as many records within a second.
BOOST_AUTO_TEST_CASE(members_are_read_again_after_a_pause) {
  HeldStore members_store;
  StoreFollower members{virtual_timers.timers(), members_store,
                        StoreTable::kMembers,    kDefaultConfigApplyLimit,
                        [](const KeyedPage&) {}, [] {}};
  members.Start();
  members_store.Answer(KeyedPage{});
  BOOST_TEST(members_store.reads() == 1u);
  Pass(kLongPause);
  BOOST_TEST(members_store.reads() == 2u);
  BOOST_TEST((members_store.last_wait() > kConfigWait));
}

BOOST_AUTO_TEST_CASE(configuration_is_read_again_at_once) {
  const size_t reads = store.reads();
  store.Answer(KeyedPage{});
  BOOST_TEST(store.reads() == reads + 1);
}

// What an entry says of its knowledge must not be younger than it is: an answer
// with a record may have been under way for long.
BOOST_AUTO_TEST_CASE(
    table_is_confirmed_only_up_to_the_time_that_an_answer_proves) {
  const MonoTime asked = virtual_timers.now();
  Pass(absl::Milliseconds(400));
  KeyedPage news;
  news.records.emplace_back();
  store.Answer(news);
  BOOST_TEST((follower.confirmed_at() == asked));
  Pass(absl::Milliseconds(400));
  store.Answer(KeyedPage{});
  BOOST_TEST((follower.confirmed_at() == virtual_timers.now()));
  Pass(absl::Milliseconds(100));
  Fail();
  BOOST_TEST((follower.confirmed_at() == asked + absl::Milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(
    confirmation_delivers_records_that_the_waiting_read_has_not_returned) {
  store.Answer(KeyedPage{});
  Pass(absl::Milliseconds(500));
  const MonoTime asked = virtual_timers.now();
  int confirmed = 0;
  follower.Confirm([&](bool known) { confirmed += known ? 1 : 0; });
  follower.Confirm([&](bool known) { confirmed += known ? 1 : 0; });
  BOOST_TEST(store.reads_now() == 1u);
  const int pages_before = pages;
  KeyedPage news;
  news.next_offset = 7;
  news.records.emplace_back();
  store.AnswerNow(news);
  BOOST_TEST(confirmed == 2);
  BOOST_TEST(pages == pages_before + 1);
  BOOST_TEST((follower.confirmed_at() == asked));
  // What has just been confirmed is not asked for again.
  follower.Confirm([&](bool known) { confirmed += known ? 1 : 0; });
  BOOST_TEST(confirmed == 3);
  BOOST_TEST(store.reads_now() == 1u);
}

// Guards against a 404 after a part of the news: a long answer comes in parts.
BOOST_AUTO_TEST_CASE(confirmation_reads_all_parts_up_to_the_end_of_the_table) {
  store.Answer(KeyedPage{});
  Pass(absl::Milliseconds(500));
  const MonoTime asked = virtual_timers.now();
  int answers = 0;
  follower.Confirm([&](bool known) { answers += known ? 1 : 0; });
  KeyedPage part;
  part.next_offset = 4;
  part.end = 7;
  store.AnswerNow(part);
  BOOST_TEST(answers == 0);
  BOOST_TEST((follower.confirmed_at() < asked));
  BOOST_REQUIRE(store.reads_now() == 2u);
  part.next_offset = 7;
  store.AnswerNow(part);
  BOOST_TEST(answers == 1);
  BOOST_TEST((follower.confirmed_at() == asked));
}

BOOST_AUTO_TEST_CASE(part_without_records_confirms_nothing) {
  Pass(absl::Milliseconds(500));
  bool known = true;
  follower.Confirm([&](bool confirmed) { known = confirmed; });
  KeyedPage part;
  part.end = 7;
  store.AnswerNow(part);
  BOOST_TEST(!known);
  BOOST_TEST(store.reads_now() == 1u);
}

BOOST_AUTO_TEST_CASE(failing_store_confirms_nothing_and_is_not_read) {
  Pass(absl::Milliseconds(500));
  Fail();
  bool known = true;
  follower.Confirm([&](bool confirmed) { known = confirmed; });
  BOOST_TEST(!known);
  BOOST_TEST(store.reads_now() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
