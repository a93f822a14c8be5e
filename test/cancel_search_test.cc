// Tests the search for the entry that holds a cancelled job, also when entries
// end and links are cut during it.
#include "cancel_search.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "cancel_network.h"
#include "link_selection.h"

namespace egretswitch::internal {
namespace {

constexpr absl::Duration kSoon = absl::Milliseconds(40);
constexpr char kJob[] = "5c0e7a21d94b36f8";

bool Is(const std::optional<CancelVerdict>& verdict, CancelVerdict expected) {
  return verdict.has_value() && *verdict == expected;
}

// How many entries have heard that the job is cancelled.
int HeardOf(CancelNetwork& network, const std::string& job) {
  int heard = 0;
  for (int i = 0; i < network.size(); ++i) {
    heard += network.entry(i).cancelled.contains(job) ? 1 : 0;
  }
  return heard;
}

BOOST_AUTO_TEST_SUITE(cancel_search)

BOOST_AUTO_TEST_CASE(job_at_the_asked_entry_is_answered_at_once) {
  CancelNetwork network(3);
  network.entry(0).open.insert(kJob);
  const CallId call = network.Cancel(0, kJob);
  BOOST_TEST(Is(network.VerdictOf(call), CancelVerdict::kCancelled));
}

BOOST_AUTO_TEST_CASE(job_at_the_asked_entry_is_cancelled_at_all_others_too) {
  CancelNetwork network(3);
  network.entry(0).open.insert(kJob);
  network.entry(2).open.insert(kJob);  // its caller came again there
  network.Cancel(0, kJob);
  network.Pass(kSoon);
  BOOST_TEST(network.entry(2).open.empty());
  BOOST_TEST(HeardOf(network, kJob) == 3);
}

BOOST_AUTO_TEST_CASE(job_at_another_entry_is_found) {
  CancelNetwork network(3);
  network.entry(2).open.insert(kJob);
  const CallId call = network.Cancel(0, kJob);
  BOOST_TEST(!network.VerdictOf(call).has_value());
  network.Pass(kSoon);
  BOOST_TEST(Is(network.VerdictOf(call), CancelVerdict::kCancelled));
  BOOST_TEST(network.entry(2).open.empty());
}

BOOST_AUTO_TEST_CASE(unknown_job_is_not_found_once_all_entries_have_replied) {
  CancelNetwork network(3);
  const CallId call = network.Cancel(0, kJob);
  BOOST_TEST(!network.VerdictOf(call).has_value());
  network.Pass(kSoon);
  BOOST_TEST(Is(network.VerdictOf(call), CancelVerdict::kNotFound));
  BOOST_TEST(HeardOf(network, kJob) == 3);
}

BOOST_AUTO_TEST_CASE(only_entry_answers_an_unknown_job_at_once) {
  CancelNetwork network(1);
  const CallId call = network.Cancel(0, kJob);
  BOOST_TEST(Is(network.VerdictOf(call), CancelVerdict::kNotFound));
}

BOOST_AUTO_TEST_CASE(cancel_sent_twice_is_answered_alike_at_any_entry) {
  CancelNetwork network(3);
  network.entry(2).open.insert(kJob);
  network.Cancel(0, kJob);
  network.Pass(kSoon);
  for (int entry = 0; entry < 3; ++entry) {
    const CallId call = network.Cancel(entry, kJob);
    network.Pass(kSoon);
    BOOST_TEST(Is(network.VerdictOf(call), CancelVerdict::kCancelled));
  }
}

BOOST_AUTO_TEST_CASE(job_found_beside_a_silent_entry_is_answered_at_once) {
  CancelNetwork network(3);
  network.entry(1).frozen = true;
  network.entry(2).open.insert(kJob);
  const CallId call = network.Cancel(0, kJob);
  network.Pass(kSoon);
  BOOST_TEST(Is(network.VerdictOf(call), CancelVerdict::kCancelled));
}

BOOST_AUTO_TEST_CASE(job_not_found_beside_a_silent_entry_is_unconfirmed) {
  CancelNetwork network(3);
  network.entry(1).frozen = true;
  const CallId call = network.Cancel(0, kJob);
  network.Pass(kCancelTimePerHop - kSoon);
  BOOST_TEST(!network.VerdictOf(call).has_value());
  network.Pass(2 * kSoon);
  BOOST_TEST(Is(network.VerdictOf(call), CancelVerdict::kUnconfirmed));
}

// The holder may have ended before the request arrived.
BOOST_AUTO_TEST_CASE(holder_that_dies_halfway_leaves_the_cancel_unconfirmed) {
  CancelNetwork network(3);
  network.entry(2).open.insert(kJob);
  const CallId call = network.Cancel(0, kJob);
  network.Kill(2);
  network.Pass(kCancelTimePerHop + kSoon);
  BOOST_TEST(Is(network.VerdictOf(call), CancelVerdict::kUnconfirmed));
}

BOOST_AUTO_TEST_CASE(asker_that_dies_halfway_leaves_the_job_cancelled) {
  CancelNetwork network(3);
  network.entry(2).open.insert(kJob);
  network.Cancel(0, kJob);
  network.Pass(absl::Milliseconds(1));
  network.Kill(0);
  network.Pass(kSoon);
  BOOST_TEST(network.entry(2).open.empty());
}

BOOST_AUTO_TEST_CASE(link_cut_halfway_and_up_again_carries_the_request_again) {
  CancelNetwork network(3);
  network.entry(2).open.insert(kJob);
  const CallId call = network.Cancel(0, kJob);
  network.Cut(0, 2);
  network.Pass(kSoon);
  BOOST_TEST(!network.VerdictOf(call).has_value());
  BOOST_TEST(!network.entry(2).open.empty());
  network.Link(0, 2);
  network.Pass(kSoon);
  BOOST_TEST(Is(network.VerdictOf(call), CancelVerdict::kCancelled));
}

BOOST_AUTO_TEST_CASE(reply_lost_with_its_link_is_sent_again) {
  CancelNetwork network(2);
  network.entry(1).open.insert(kJob);
  const CallId call = network.Cancel(0, kJob);
  network.Pass(absl::Milliseconds(1));  // the reply is under way
  BOOST_TEST(network.entry(1).open.empty());
  network.Cut(0, 1);
  network.Link(0, 1);
  network.Pass(kSoon);
  BOOST_TEST(Is(network.VerdictOf(call), CancelVerdict::kCancelled));
}

BOOST_AUTO_TEST_CASE(job_behind_a_cut_link_is_found_through_a_third_entry) {
  CancelNetwork network(3);
  network.entry(2).open.insert(kJob);
  network.Cut(0, 2);
  const CallId call = network.Cancel(0, kJob);
  network.Pass(kSoon);
  BOOST_TEST(Is(network.VerdictOf(call), CancelVerdict::kCancelled));
}

BOOST_AUTO_TEST_CASE(lost_entry_leaves_an_unknown_job_unconfirmed_for_a_time) {
  CancelNetwork network(3);
  network.Kill(2);
  network.Pass(absl::Seconds(1));
  const CallId early = network.Cancel(0, kJob);
  network.Pass(absl::Seconds(1));
  BOOST_TEST(Is(network.VerdictOf(early), CancelVerdict::kUnconfirmed));
  network.Pass(kLostEntryRetention);
  const CallId late = network.Cancel(0, kJob);
  network.Pass(absl::Seconds(1));
  BOOST_TEST(Is(network.VerdictOf(late), CancelVerdict::kNotFound));
}

// Its caller may submit the job again there.
BOOST_AUTO_TEST_CASE(entry_that_starts_after_a_cancel_is_told_of_it) {
  CancelNetwork network(3);
  network.Kill(2);
  network.Cancel(0, kJob);
  network.Pass(absl::Seconds(1));
  network.Start(2);
  network.Link(0, 2);
  network.Pass(kSoon);
  BOOST_TEST(network.entry(2).cancelled.contains(kJob));
}

BOOST_AUTO_TEST_CASE(entry_of_a_former_version_is_not_asked) {
  CancelNetwork network(3, /*linked=*/false);
  network.entry(2).understands_cancels = false;
  network.Link(0, 1);
  network.Link(0, 2);
  network.Link(1, 2);
  const CallId unknown = network.Cancel(0, kJob);
  network.Pass(kSoon);
  BOOST_TEST(Is(network.VerdictOf(unknown), CancelVerdict::kUnconfirmed));
  BOOST_TEST(!network.entry(2).cancelled.contains(kJob));
  network.entry(1).open.insert("other");
  const CallId found = network.Cancel(0, "other");
  network.Pass(kSoon);
  BOOST_TEST(Is(network.VerdictOf(found), CancelVerdict::kCancelled));
}

// Each entry is linked to some 24 of the others.
BOOST_AUTO_TEST_CASE(
    job_in_a_fleet_is_found_from_entries_without_a_link_to_it) {
  constexpr int kEntries = 183;
  CancelNetwork network(kEntries, /*linked=*/false);
  for (int i = 0; i < kEntries; ++i) {
    std::vector<std::string> others;
    for (int j = 0; j < kEntries; ++j) {
      if (j != i) {
        others.push_back(network.entry(j).name);
      }
    }
    for (const std::string& peer :
         EntriesToDial(network.entry(i).name, others)) {
      network.Link(i, std::stoi(peer.substr(peer.find('-') + 1)));
    }
  }
  network.entry(170).open.insert(kJob);
  const CallId found = network.Cancel(3, kJob);
  const CallId unknown = network.Cancel(4, "unknown");
  network.Pass(absl::Milliseconds(200));
  BOOST_TEST(Is(network.VerdictOf(found), CancelVerdict::kCancelled));
  BOOST_TEST(Is(network.VerdictOf(unknown), CancelVerdict::kNotFound));
  BOOST_TEST(HeardOf(network, kJob) == kEntries);
  BOOST_TEST(HeardOf(network, "unknown") == kEntries);
  // Each of the two requests, and its reply.
  BOOST_TEST(network.MaxMessagesOnALink() <= 4);
}

// Callers give up 400 jobs within a second, each at any entry.
BOOST_AUTO_TEST_CASE(wave_of_cancels_costs_a_bounded_number_of_messages) {
  constexpr int kEntries = 12;
  constexpr int kCancels = 400;
  CancelNetwork network(kEntries);
  for (int i = 0; i < kCancels; ++i) {
    const std::string job = absl::StrCat("job-", i);
    network.entry(i % kEntries).open.insert(job);
    network.Cancel((i * 7 + 3) % kEntries, job);
    network.Pass(absl::Seconds(1) / kCancels);
  }
  network.Pass(kSoon);
  BOOST_TEST(network.verdicts().size() == static_cast<size_t>(kCancels));
  for (const auto& [call, verdict] : network.verdicts()) {
    BOOST_TEST((verdict == CancelVerdict::kCancelled));
  }
  // Requests and replies, once a batch.
  BOOST_TEST(network.MaxMessagesOnALink() <=
             2 * (absl::Seconds(1) + kSoon) / kCancelBatchPeriod);
}

BOOST_AUTO_TEST_CASE(cancel_beyond_the_bound_is_carried_out_here_only) {
  CancelNetwork network(2);
  network.entry(1).frozen = true;
  for (size_t i = 0; i < kMaxCancelSearches; ++i) {
    network.Cancel(0, absl::StrCat("job-", i));
  }
  network.entry(0).open.insert(kJob);
  BOOST_TEST(Is(network.VerdictOf(network.Cancel(0, kJob)),
                CancelVerdict::kCancelled));
  BOOST_TEST(Is(network.VerdictOf(network.Cancel(0, "unknown")),
                CancelVerdict::kUnconfirmed));
}

BOOST_AUTO_TEST_CASE(counters_tell_where_jobs_were_found) {
  CancelNetwork network(2);
  network.entry(0).open.insert("here");
  network.entry(1).open.insert("there");
  for (const char* job : {"here", "there", "nowhere"}) {
    network.Cancel(0, job);
  }
  network.Pass(kSoon);
  network.entry(1).frozen = true;
  network.Cancel(0, "unknown");
  network.Pass(absl::Seconds(1));
  const RunCounters& counters = network.entry(0).search->counters();
  BOOST_TEST(counters.Get(RunCounter::kCancelsAsked) == 4u);
  BOOST_TEST(counters.Get(RunCounter::kCancelsFoundHere) == 1u);
  BOOST_TEST(counters.Get(RunCounter::kCancelsFoundElsewhere) == 1u);
  BOOST_TEST(counters.Get(RunCounter::kCancelsNotFound) == 1u);
  BOOST_TEST(counters.Get(RunCounter::kCancelsIncomplete) == 1u);
}

// ---- An entry that stands still

// Guards against an entry that ends by an exception, or hangs, when it handles
// its events after a pause in which a search should have been answered and
// forgotten.
BOOST_AUTO_TEST_CASE(search_that_is_overdue_after_a_pause_is_answered) {
  CancelNetwork network(3);
  network.entry(1).frozen = true;
  network.entry(2).frozen = true;
  const CallId call = network.Cancel(0, kJob);
  network.clock.Advance(kCancelSearchRetention + absl::Milliseconds(1));
  network.Pass(kSoon);
  BOOST_TEST(Is(network.VerdictOf(call), CancelVerdict::kUnconfirmed));
  BOOST_TEST(network.entry(0).search->NextWake() == absl::InfiniteDuration());
}

// The request is forgotten, and arrives once more before the timer fires.
BOOST_AUTO_TEST_CASE(request_that_returns_after_a_pause_has_one_deadline) {
  VirtualClock clock;
  CancelSearch search(1, [](absl::Span<const std::string> jobs) {
    return std::vector<bool>(jobs.size(), false);
  });
  const auto handle = [&](const CancelEvent& event) {
    return search.Handle(event, clock.now().mono);
  };
  handle(EntriesCounted{3});
  handle(CancelPeerConnected{"entry-2", 2, true});
  handle(CancelPeerConnected{"entry-3", 3, true});
  const PeerMessageReceived request{"entry-2", 2,
                                    CancelStepJobs{{{70, kJob, 1}}}};
  handle(request);
  clock.Advance(kCancelSearchRetention + absl::Milliseconds(1));
  handle(request);
  clock.Advance(absl::Milliseconds(100));
  handle(TimePassed{});
  clock.Advance(kCancelTimePerHop);
  const auto replies = ActionsOf<SendRunMessage>(handle(TimePassed{}));
  BOOST_TEST(replies.size() == 1u);
  BOOST_TEST(search.NextWake() == absl::InfiniteDuration());
}

// The asker is forgotten before the answer to it is due.
BOOST_AUTO_TEST_CASE(reply_to_an_asker_that_is_lost_for_long_is_dropped) {
  VirtualClock clock;
  CancelSearch search(1, [](absl::Span<const std::string> jobs) {
    return std::vector<bool>(jobs.size(), false);
  });
  const auto handle = [&](const CancelEvent& event) {
    return search.Handle(event, clock.now().mono);
  };
  handle(CancelPeerConnected{"entry-2", 2, true});
  handle(CancelPeerConnected{"entry-3", 3, true});
  handle(PeerMessageReceived{"entry-2", 2, CancelStepJobs{{{70, kJob, 1}}}});
  handle(PeerDisconnected{"entry-2", 2});
  clock.Advance(2 * kLostEntryRetention);
  BOOST_TEST(ActionsOf<SendRunMessage>(handle(TimePassed{})).empty());
}

// The new process of that name has not heard of the cancel.
BOOST_AUTO_TEST_CASE(asker_that_was_replaced_is_told_of_its_cancel) {
  CancelNetwork network(2);
  network.Cancel(0, kJob);
  network.Pass(kSoon);
  network.Kill(0);
  network.Start(0);
  network.Link(0, 1);
  network.Pass(kSoon);
  BOOST_TEST(network.entry(0).cancelled.contains(kJob));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
