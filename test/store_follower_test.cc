// Tests how an entry follows a table of a store that becomes unreachable and
// recovers.
#include "store_follower.h"

#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

#include "service_config.h"
#include "virtual_timers.h"

namespace egretswitch::internal {
namespace {

constexpr absl::Duration kConfigWait = absl::Seconds(1);
// Longer than the longest pause between two reads.
constexpr absl::Duration kLongPause = absl::Seconds(2);

// A store whose reads are answered by the test.
class ManualStore : public KeyedStore {
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
  // The wait that the latest read requested.
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

  // Fails the pending read and advances time until the next one begins.
  void Fail() {
    const size_t reads = store.reads();
    store.Answer(absl::UnavailableError("store: no answer"));
    Advance(kLongPause);
    BOOST_REQUIRE(store.reads() == reads + 1);
  }

  void Advance(absl::Duration time) {
    virtual_timers.RunUntil(virtual_timers.now() + time);
  }

  VirtualTimers virtual_timers;
  ManualStore store;
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

// A waiting read times out only after its wait. One sent while the store is
// unreachable would delay noticing its recovery by that long.
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

// Hundreds of processes that start together write as many records within a
// second; the pause bounds the reads.
BOOST_AUTO_TEST_CASE(members_are_read_again_after_a_pause) {
  ManualStore members_store;
  StoreFollower members{virtual_timers.timers(), members_store,
                        StoreTable::kMembers,    kDefaultConfigApplyLimit,
                        [](const KeyedPage&) {}, [] {}};
  members.Start();
  members_store.Answer(KeyedPage{});
  BOOST_TEST(members_store.reads() == 1u);
  Advance(kLongPause);
  BOOST_TEST(members_store.reads() == 2u);
  BOOST_TEST((members_store.last_wait() > kConfigWait));
}

BOOST_AUTO_TEST_CASE(configuration_is_read_again_at_once) {
  const size_t reads = store.reads();
  store.Answer(KeyedPage{});
  BOOST_TEST(store.reads() == reads + 1);
}

// The reported time must not be later than the state that an answer proves: an
// answer with a record may have been sent long before it arrived.
BOOST_AUTO_TEST_CASE(
    table_is_confirmed_only_up_to_the_time_that_an_answer_proves) {
  const MonoTime started = virtual_timers.now();
  Advance(absl::Milliseconds(400));
  KeyedPage page;
  page.records.emplace_back();
  store.Answer(page);
  BOOST_TEST((follower.confirmed_at() == started));
  Advance(absl::Milliseconds(400));
  store.Answer(KeyedPage{});
  BOOST_TEST((follower.confirmed_at() == virtual_timers.now()));
  Advance(absl::Milliseconds(100));
  Fail();
  BOOST_TEST((follower.confirmed_at() == started + absl::Milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(
    confirmation_delivers_records_that_the_waiting_read_has_not_returned) {
  store.Answer(KeyedPage{});
  Advance(absl::Milliseconds(500));
  const MonoTime started = virtual_timers.now();
  int confirmed = 0;
  follower.Confirm(
      [&](bool is_confirmed) { confirmed += is_confirmed ? 1 : 0; });
  follower.Confirm(
      [&](bool is_confirmed) { confirmed += is_confirmed ? 1 : 0; });
  BOOST_TEST(store.reads_now() == 1u);
  const int pages_before = pages;
  KeyedPage page;
  page.next_offset = 7;
  page.records.emplace_back();
  store.AnswerNow(page);
  BOOST_TEST(confirmed == 2);
  BOOST_TEST(pages == pages_before + 1);
  BOOST_TEST((follower.confirmed_at() == started));
  // A table that was just confirmed is not read again.
  follower.Confirm(
      [&](bool is_confirmed) { confirmed += is_confirmed ? 1 : 0; });
  BOOST_TEST(confirmed == 3);
  BOOST_TEST(store.reads_now() == 1u);
}

// Guards against a 404 based on only a part of the new records: a long answer
// is split into parts.
BOOST_AUTO_TEST_CASE(confirmation_reads_all_parts_up_to_the_end_of_the_table) {
  store.Answer(KeyedPage{});
  Advance(absl::Milliseconds(500));
  const MonoTime started = virtual_timers.now();
  int answers = 0;
  follower.Confirm([&](bool is_confirmed) { answers += is_confirmed ? 1 : 0; });
  KeyedPage part;
  part.next_offset = 4;
  part.end = 7;
  store.AnswerNow(part);
  BOOST_TEST(answers == 0);
  BOOST_TEST((follower.confirmed_at() < started));
  BOOST_REQUIRE(store.reads_now() == 2u);
  part.next_offset = 7;
  store.AnswerNow(part);
  BOOST_TEST(answers == 1);
  BOOST_TEST((follower.confirmed_at() == started));
}

BOOST_AUTO_TEST_CASE(part_without_records_confirms_nothing) {
  Advance(absl::Milliseconds(500));
  bool is_confirmed = true;
  follower.Confirm([&](bool confirmed) { is_confirmed = confirmed; });
  KeyedPage part;
  part.end = 7;
  store.AnswerNow(part);
  BOOST_TEST(!is_confirmed);
  BOOST_TEST(store.reads_now() == 1u);
}

BOOST_AUTO_TEST_CASE(failing_store_confirms_nothing_and_is_not_read) {
  Advance(absl::Milliseconds(500));
  Fail();
  bool is_confirmed = true;
  follower.Confirm([&](bool confirmed) { is_confirmed = confirmed; });
  BOOST_TEST(!is_confirmed);
  BOOST_TEST(store.reads_now() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
