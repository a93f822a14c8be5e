// Tests many processes that write their records into the store at the same
// time. A partition of the store makes one append after the other and refuses
// an append that would wait for longer than 2 s. It still makes an append after
// the caller has timed out.
#include "member_announcer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "virtual_timers.h"

namespace egretswitch::internal {
namespace {

class SerialStore : public KeyedStore {
 public:
  explicit SerialStore(VirtualTimers& timers) : m_timers(timers) {}

  void ReadAll(StoreTable, PageCallback) override {}
  void Follow(StoreTable, uint64_t, absl::Duration, PageCallback) override {}

  void ReadNow(StoreTable, uint64_t, PageCallback) override {}

  void Put(StoreTable,
           const std::string& key,
           const std::string&,
           PutCallback done) override {
    ++calls;
    const absl::Duration now = m_timers.now();
    if (now < unavailable_until) {
      m_timers.RunAfter(kNetwork, [done = std::move(done)] {
        done(absl::UnavailableError("refused"));
      });
      return;
    }
    m_free_at = std::max(m_free_at, now);
    if (m_free_at - now > kMaxWait) {
      m_timers.RunAfter(kNetwork, [done = std::move(done)] {
        done(absl::UnavailableError("too much waits"));
      });
      return;
    }
    m_free_at += kAppend;
    ++appends;
    m_timers.At(m_free_at, [this, key] { recorded[key] = m_timers.now(); });
    const absl::Duration answer = m_free_at + kNetwork;
    const bool in_time = answer - now <= kPutTimeout;
    m_timers.At(in_time ? answer : now + kPutTimeout, [in_time,
                                                       done = std::move(done)] {
      done(in_time ? absl::OkStatus() : absl::UnavailableError("timeout"));
    });
  }

  static constexpr absl::Duration kAppend = absl::Milliseconds(2);
  static constexpr absl::Duration kNetwork = absl::Milliseconds(4);
  static constexpr absl::Duration kMaxWait = absl::Seconds(2);

  uint64_t calls = 0;
  uint64_t appends = 0;
  absl::Duration unavailable_until;
  std::map<std::string, absl::Duration> recorded;  // time of the newest append

 private:
  VirtualTimers& m_timers;
  absl::Duration m_free_at;
};

struct MemberAnnouncerFixture {
  static MemberAddress Agent(uint32_t number) {
    MemberAddress agent;
    agent.name = absl::StrCat("agent-", number);
    agent.worker.incarnation = absl::StrCat("w-", number);
    return agent;
  }

  // Creates processes that start within 0.3 s and whose workers announce
  // themselves within the next 1.5 s.
  void StartProcesses(uint32_t count) {
    for (uint32_t i = 0; i < count; ++i) {
      auto announcer = std::make_unique<MemberAnnouncer>(timers.timers(), store,
                                                         Agent(i), i);
      MemberAnnouncer* const process = announcer.get();
      timers.RunAfter(absl::Milliseconds(300.0 * i / count),
                      [process] { process->Start(); });
      timers.RunAfter(absl::Milliseconds(300 + 1500.0 * i / count),
                      [process, i] { process->Update(Agent(i).worker); });
      processes.push_back(std::move(announcer));
    }
  }

  absl::Duration LastRecordedAt() const {
    absl::Duration last;
    for (const auto& [name, at] : store.recorded) {
      last = std::max(last, at);
    }
    return last;
  }

  VirtualTimers timers;
  SerialStore store{timers};
  std::vector<std::unique_ptr<MemberAnnouncer>> processes;
};

BOOST_FIXTURE_TEST_SUITE(member_announcer, MemberAnnouncerFixture)

BOOST_AUTO_TEST_CASE(
    processes_starting_together_are_recorded_without_repeated_appends) {
  for (const uint32_t count : {983u, 1966u}) {
    MemberAnnouncerFixture fixture;
    fixture.StartProcesses(count);
    fixture.timers.RunUntil(absl::Seconds(60));
    BOOST_TEST(fixture.store.recorded.size() == count);
    // Each process has two records to write, without and with its worker.
    BOOST_TEST(fixture.store.appends <= 2u * count);
    const absl::Duration needed = 2 * count * SerialStore::kAppend;
    BOOST_TEST((fixture.LastRecordedAt() <= needed + absl::Seconds(3)));
  }
}

// Each process has two records to write. A record is sent again only after a
// refusal while the store's queue is full: once for each doubling of the retry
// pause, starting at 0.1 s, within the time that the store needs for all
// records.
BOOST_AUTO_TEST_CASE(
    calls_per_process_grow_with_the_logarithm_of_the_process_count) {
  for (const uint32_t count : {492u, 983u, 1966u, 3932u}) {
    MemberAnnouncerFixture fixture;
    fixture.StartProcesses(count);
    fixture.timers.RunUntil(absl::Seconds(120));
    const double seconds_needed =
        absl::ToDoubleSeconds(2 * count * SerialStore::kAppend);
    const double doublings =
        std::max(0.0, std::ceil(std::log2(seconds_needed / 0.1)));
    BOOST_TEST(static_cast<double>(fixture.store.calls) <=
               (2 + doublings) * count);
  }
}

BOOST_AUTO_TEST_CASE(recovered_store_has_every_record_within_seconds) {
  store.unavailable_until = absl::Seconds(20);
  StartProcesses(400);
  timers.RunUntil(absl::Seconds(26));
  BOOST_TEST(store.recorded.size() == 400u);
}

BOOST_AUTO_TEST_CASE(processes_refused_together_retry_at_different_times) {
  store.unavailable_until = absl::Milliseconds(50);
  for (uint32_t i = 0; i < 50; ++i) {
    processes.push_back(
        std::make_unique<MemberAnnouncer>(timers.timers(), store, Agent(i), i));
    processes.back()->Start();
  }
  timers.RunUntil(absl::Milliseconds(75));
  const size_t early = store.recorded.size();
  timers.RunUntil(absl::Seconds(2));
  BOOST_TEST(early > 0u);
  BOOST_TEST(early < 40u);
  BOOST_TEST(store.recorded.size() == 50u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
