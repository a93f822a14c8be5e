// Tests what entries tell each other of their attempts at jobs, and how long an
// attempt waits for a former one.
#include "attempt_exchange.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "link_selection.h"
#include "run_fixture.h"

namespace egretswitch::internal {
namespace {

constexpr char kJob[] = "5c0e7a21d94b36f8";
constexpr absl::Duration kLinkTime = absl::Milliseconds(1);

// Two linked entries. The first has opened attempt 12 at the job.
struct TwoEntriesFixture {
  TwoEntriesFixture() {
    Link();
    first.RecordOpened(kJob, 12, now());
  }

  MonoTime now() const { return clock.now().mono; }

  void Link() {
    first.RecordLinked("entry-2", 1, true, now());
    second.RecordLinked("entry-1", 1, true, now());
    Exchange();
  }
  void Unlink() {
    first.RecordUnlinked("entry-2", 1, now());
    second.RecordUnlinked("entry-1", 1, now());
  }

  // Delivers what is due in both directions. Returns the attempts of the first
  // entry that are to end.
  std::vector<uint64_t> Exchange() {
    std::vector<uint64_t> to_end;
    const auto from_first = first.TakeDue(now());
    const auto from_second = second.TakeDue(now());
    clock.Advance(kLinkTime);
    for (const SendRunMessage& sent : from_first) {
      if (const auto* open = std::get_if<OpenAttempts>(&sent.body)) {
        for (const AttemptExchange::KnownAttempt& attempt :
             second.HandleOpen("entry-1", 1, *open, now())) {
          learnt.push_back(attempt.job);
        }
      }
    }
    for (const SendRunMessage& sent : from_second) {
      if (const auto* end = std::get_if<EndAttempts>(&sent.body)) {
        for (const uint64_t attempt : first.HandleEnd("entry-2", 1, *end)) {
          to_end.push_back(attempt);
        }
      } else if (const auto* open = std::get_if<OpenAttempts>(&sent.body)) {
        first.HandleOpen("entry-2", 1, *open, now());
      }
    }
    return to_end;
  }

  // Both entries work and exchange messages.
  void Pass(absl::Duration by) {
    for (const MonoTime end = now() + by; now() < end;) {
      clock.Advance(absl::Milliseconds(10));
      Exchange();
    }
  }

  bool MustAwait(const AttemptExchange& entry,
                 const std::string& job,
                 MonoTime opened_at) const {
    return entry.MustAwait(job, opened_at, absl::ZeroDuration(), now());
  }
  bool SecondMustAwait() const { return MustAwait(second, kJob, now()); }

  VirtualClock clock;
  AttemptExchange first;
  AttemptExchange second;
  std::vector<std::string> learnt;  // by the second entry
};

const RunAtAgent kRun = {"agent-3", 7, 0, 0, 1};

BOOST_FIXTURE_TEST_SUITE(attempt_exchange, TwoEntriesFixture)

BOOST_AUTO_TEST_CASE(short_attempt_is_not_announced) {
  Pass(kAnnounceAfter - absl::Milliseconds(50));
  first.RecordEnded(12, {}, now());
  Pass(absl::Seconds(1));
  BOOST_TEST(learnt.empty());
  BOOST_TEST(!SecondMustAwait());
}

BOOST_AUTO_TEST_CASE(long_attempt_is_known_before_its_caller_can_come_again) {
  Pass(kResendAfter - kMaxEntryPause);
  BOOST_TEST(SecondMustAwait());
}

BOOST_AUTO_TEST_CASE(other_jobs_and_earlier_attempts_wait_for_nothing) {
  Pass(absl::Seconds(1));
  BOOST_TEST(!MustAwait(second, "77aa", now()));
  BOOST_TEST(!MustAwait(second, kJob, now() - absl::Seconds(2)));
  BOOST_TEST(second.RequestEnd(kJob, now() - absl::Seconds(2)).empty());
}

BOOST_AUTO_TEST_CASE(former_attempt_is_ended_and_awaited_until_its_runs_are) {
  Pass(absl::Seconds(1));
  BOOST_TEST(second.RequestEnd(kJob, now()).size() == 1u);
  BOOST_TEST(Exchange() == std::vector<uint64_t>{12},
             boost::test_tools::per_element());
  first.RecordEnded(12, {kRun}, now());
  Exchange();
  BOOST_TEST(SecondMustAwait());
  first.RecordRunOver(12, kRun);
  Exchange();
  BOOST_TEST(!SecondMustAwait());
}

BOOST_AUTO_TEST_CASE(attempt_is_awaited_until_the_last_of_its_runs_is_over) {
  Pass(absl::Seconds(1));
  RunAtAgent other = kRun;
  other.index = 1;
  first.RecordEnded(12, {kRun, other}, now());
  RunAtAgent repeated = kRun;
  repeated.run = 2;
  first.RecordRunOver(12, kRun);
  first.RecordRunOver(12, kRun);
  first.RecordRunOver(12, repeated);
  Pass(absl::Milliseconds(100));
  BOOST_TEST(SecondMustAwait());
  first.RecordRunOver(12, other);
  Pass(absl::Milliseconds(100));
  BOOST_TEST(!SecondMustAwait());
}

// Guards against an attempt that counts as over with runs at a silent agent.
BOOST_AUTO_TEST_CASE(unreported_run_is_over_at_its_time_limit) {
  Pass(absl::Seconds(1));
  first.RecordEnded(12, {kRun}, now());
  const MonoTime over = now() + kRunCertainlyOver;
  const auto over_at = [over](const RunAtAgent&, MonoTime) { return over; };
  Pass(absl::Seconds(1));
  first.RecordRunsOver(over_at, now());
  Pass(absl::Milliseconds(60));
  BOOST_TEST(SecondMustAwait());
  Pass(absl::Milliseconds(400));
  first.RecordRunsOver(over_at, now());
  Pass(absl::Milliseconds(60));
  BOOST_TEST(!SecondMustAwait());
}

// The attempt was short, and its runs go on.
BOOST_AUTO_TEST_CASE(ended_attempt_with_runs_is_announced) {
  first.RecordEnded(12, {kRun}, now());
  Pass(absl::Seconds(1));
  BOOST_TEST(SecondMustAwait());
}

BOOST_AUTO_TEST_CASE(request_for_an_ended_attempt_is_answered_as_over) {
  Pass(absl::Seconds(1));
  second.RequestEnd(kJob, now());
  first.RecordEnded(12, {}, now());
  first.TakeDue(now());  // is lost
  BOOST_TEST(Exchange().empty());
  Exchange();
  BOOST_TEST(!SecondMustAwait());
}

BOOST_AUTO_TEST_CASE(silent_entry_is_awaited_until_its_runs_are_over) {
  Pass(absl::Seconds(1));
  const MonoTime last_heard = now();
  clock.Advance(kRunCertainlyOver);
  BOOST_TEST(SecondMustAwait());
  clock.Advance(last_heard + kSilentAttemptsOver - now() +
                absl::Milliseconds(1));
  BOOST_TEST(!SecondMustAwait());
}

// Guards against callers of a killed entry that wait without need.
BOOST_AUTO_TEST_CASE(entry_that_is_gone_is_not_awaited_by_its_callers) {
  Pass(absl::Seconds(1));
  Unlink();
  clock.Advance(kResendAfter);
  BOOST_TEST(!SecondMustAwait());
}

BOOST_AUTO_TEST_CASE(living_entry_is_awaited_for_as_long_as_its_attempt_lasts) {
  Pass(absl::Seconds(5));
  BOOST_TEST(SecondMustAwait());
}

// Guards against an attempt that is forgotten when its entry is linked again.
BOOST_AUTO_TEST_CASE(all_attempts_are_announced_on_a_new_link) {
  Pass(absl::Seconds(1));
  Unlink();
  clock.Advance(absl::Seconds(3));
  Link();
  BOOST_TEST(SecondMustAwait());
  Unlink();
  first.RecordEnded(12, {}, now());
  Link();
  BOOST_TEST(!SecondMustAwait());
}

BOOST_AUTO_TEST_CASE(attempts_of_a_replaced_entry_end_with_their_leases) {
  Pass(absl::Seconds(1));
  second.RecordLinked("entry-1", 2, true, now());
  BOOST_TEST(SecondMustAwait());
  clock.Advance(kResendAfter);
  BOOST_TEST(!SecondMustAwait());
}

BOOST_AUTO_TEST_CASE(entry_of_a_former_version_is_sent_nothing) {
  first.RecordLinked("entry-3", 1, false, now());
  clock.Advance(absl::Seconds(1));
  for (const SendRunMessage& sent : first.TakeDue(now())) {
    BOOST_TEST(sent.peer != "entry-3");
  }
}

BOOST_AUTO_TEST_CASE(entry_without_old_attempts_sends_nothing) {
  first.RecordEnded(12, {}, now());
  for (int i = 0; i < 100; ++i) {
    clock.Advance(absl::Milliseconds(20));
    BOOST_TEST(first.TakeDue(now()).empty());
  }
}

// An entry is linked to some of the others only (link_selection.cc), and a
// caller may come again at any of them. Guards against an attempt that is known
// to the linked ones alone.
BOOST_AUTO_TEST_CASE(attempt_is_known_at_each_entry_of_a_large_deployment) {
  std::vector<std::string> names;
  for (int i = 0; i < 34; ++i) {
    names.push_back("entry-" + std::to_string(i));
  }
  std::map<std::string, AttemptExchange> entries;
  std::set<std::pair<std::string, std::string>> links;
  for (const std::string& name : names) {
    std::vector<std::string> others = names;
    std::erase(others, name);
    for (const std::string& other : EntriesToDial(name, others)) {
      links.insert({name, other});
      links.insert({other, name});
    }
  }
  for (const auto& [from, to] : links) {
    entries[from].RecordLinked(to, 1, true, now());
  }
  entries["entry-0"].RecordOpened(kJob, 1, now());
  for (const MonoTime end = now() + absl::Milliseconds(1300); now() < end;) {
    clock.Advance(absl::Milliseconds(10));
    for (const std::string& name : names) {
      for (const SendRunMessage& sent : entries[name].TakeDue(now())) {
        if (const auto* open = std::get_if<OpenAttempts>(&sent.body)) {
          entries[sent.peer].HandleOpen(name, 1, *open, now());
        }
      }
    }
  }
  size_t unaware = 0;
  for (const std::string& name : names) {
    unaware += name != "entry-0" && !MustAwait(entries[name], kJob, now());
  }
  BOOST_TEST(unaware == 0u);
}

// The link is cut, and both entries live: the first one's caller is gone, and
// it renews its runs.
BOOST_AUTO_TEST_CASE(attempt_of_a_living_entry_is_awaited_without_a_link) {
  Pass(absl::Seconds(1));
  Unlink();
  Pass(kSilentAttemptsOver + absl::Milliseconds(20));
  BOOST_TEST(SecondMustAwait());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
