// Tests how the memory of cancelled jobs reaches entries that start, and the
// agents that keep it for them.
#include "cancel_exchange.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "run_fixture.h"

namespace egretswitch::internal {
namespace {

constexpr char kJob[] = "5c0e7a21d94b36f8";

// One process; its peers are simulated by the test.
struct CancelExchangeFixture {
  CancelExchangeActions Do(const CancelExchangeEvent& event) {
    CancelExchangeActions actions = exchange->Handle(event, clock.now().mono);
    for (const auto& merge : ActionsOf<MergeCancelledJobs>(actions)) {
      for (const CancelledJob& job : merge.jobs) {
        memory.Merge(job, clock.now().mono);
      }
    }
    return actions;
  }

  void BeAgent() { exchange.emplace(ProcessRole::kAgent, memory, /*seed=*/1); }

  CancelExchangeActions LinkEntry(const std::string& name,
                                  uint64_t incarnation = 1) {
    return Do(CancelMemoryPeerUp{name, incarnation, ProcessRole::kEntry, true});
  }
  CancelExchangeActions LinkAgent(const std::string& name) {
    return Do(CancelMemoryPeerUp{name, 1, ProcessRole::kAgent, true});
  }
  CancelExchangeActions Lose(const std::string& name) {
    return Do(PeerDisconnected{name, 1});
  }
  CancelExchangeActions Receive(const std::string& from,
                                const RunMessageBody& body) {
    return Do(PeerMessageReceived{from, 1, body});
  }
  CancelExchangeActions Answer(const std::string& from,
                               std::vector<CancelledJob> jobs = {},
                               bool complete = false) {
    return Receive(from, CancelledJobsPart{.jobs = std::move(jobs),
                                           .requested = true,
                                           .last = true,
                                           .complete = complete});
  }
  CancelExchangeActions Pass(absl::Duration by) {
    clock.Advance(by);
    return Do(TimePassed{});
  }
  void BecomeComplete() {
    LinkEntry("entry-9");
    Answer("entry-9", {}, /*complete=*/true);
    BOOST_REQUIRE(exchange->complete());
  }
  CancelExchangeActions Record(const std::string& job) {
    memory.Add(job, /*held=*/true, clock.now().mono);
    Do(CancelsRecorded{{job}});
    return Do(CancelsAcknowledged{});
  }

  template <typename Body>
  static std::vector<Body> SentTo(const std::string& peer,
                                  const CancelExchangeActions& actions) {
    std::vector<Body> sent;
    for (const SendRunMessage& send : ActionsOf<SendRunMessage>(actions)) {
      if (const auto* body = std::get_if<Body>(&send.body);
          body != nullptr && send.peer == peer) {
        sent.push_back(*body);
      }
    }
    return sent;
  }

  VirtualClock clock;
  CancelledJobs memory;
  std::optional<CancelExchange> exchange{std::in_place, ProcessRole::kEntry,
                                         memory, /*seed=*/1};
};

BOOST_FIXTURE_TEST_SUITE(cancel_exchange, CancelExchangeFixture)

// ---- An entry that starts

// Guards against a copy of a cancelled job that runs at a restarted entry.
BOOST_AUTO_TEST_CASE(starting_entry_receives_the_memory_of_another_entry) {
  const auto requests =
      SentTo<CancelledJobsRequest>("entry-2", LinkEntry("entry-2"));
  BOOST_REQUIRE(requests.size() == 1u);
  BOOST_TEST(requests[0].learnt_within_ms ==
             absl::ToInt64Milliseconds(kCancelledJobRetention));
  BOOST_TEST(!exchange->complete());
  const auto actions = Answer("entry-2", {{kJob, 7000, true}}, true);
  BOOST_TEST(ActionsOf<CancelMemoryComplete>(actions).size() == 1u);
  BOOST_TEST(memory.Contains(kJob, clock.now().mono));
  BOOST_TEST(memory.WasHeld(kJob));
}

BOOST_AUTO_TEST_CASE(starting_entry_awaits_each_entry_that_it_has_asked) {
  LinkEntry("entry-2");
  LinkEntry("entry-3");
  Answer("entry-2", {}, true);
  BOOST_TEST(!exchange->complete());
  Answer("entry-3", {{kJob, 10, true}});
  BOOST_TEST(exchange->complete());
}

BOOST_AUTO_TEST_CASE(starting_entry_does_not_await_an_entry_that_is_lost) {
  LinkEntry("entry-2");
  LinkEntry("entry-3");
  Answer("entry-2", {}, true);
  Lose("entry-3");
  BOOST_TEST(exchange->complete());
}

// Guards against copies of cancelled jobs that run after all entries are lost.
BOOST_AUTO_TEST_CASE(starting_entry_without_others_awaits_all_its_agents) {
  Do(AgentsDialled{2});
  LinkAgent("agent-1");
  Answer("agent-1");
  BOOST_TEST(!exchange->complete());
  LinkAgent("agent-2");
  Answer("agent-2", {{kJob, 10, true}});
  BOOST_TEST(exchange->complete());
  BOOST_TEST(memory.Contains(kJob, clock.now().mono));
}

BOOST_AUTO_TEST_CASE(entries_that_start_together_do_not_rely_on_each_other) {
  Do(AgentsDialled{1});
  LinkEntry("entry-2");
  Answer("entry-2", {}, /*complete=*/false);
  BOOST_TEST(!exchange->complete());
  LinkAgent("agent-1");
  Answer("agent-1");
  BOOST_TEST(exchange->complete());
}

BOOST_AUTO_TEST_CASE(starting_entry_awaits_a_lost_agent_for_a_bounded_time) {
  Do(AgentsDialled{2});
  LinkAgent("agent-1");
  Answer("agent-1");
  Pass(kCancelMemoryTimeout - absl::Milliseconds(1));
  BOOST_TEST(!exchange->complete());
  BOOST_TEST(exchange->NextWake() == clock.now().mono + absl::Milliseconds(1));
  Pass(absl::Milliseconds(1));
  BOOST_TEST(exchange->complete());
  BOOST_TEST(exchange->NextWake() == absl::InfiniteDuration());
}

BOOST_AUTO_TEST_CASE(starting_entry_without_agents_starts_nothing_anyway) {
  LinkEntry("entry-2");
  Pass(absl::Seconds(5));
  BOOST_TEST(!exchange->complete());
}

BOOST_AUTO_TEST_CASE(agent_of_a_former_version_is_not_awaited) {
  Do(AgentsDialled{1});
  const auto actions =
      Do(CancelMemoryPeerUp{"agent-1", 1, ProcessRole::kAgent, false});
  BOOST_TEST(ActionsOf<SendRunMessage>(actions).empty());
  BOOST_TEST(exchange->complete());
}

BOOST_AUTO_TEST_CASE(large_memory_arrives_in_parts) {
  for (int i = 0; i < 250; ++i) {
    memory.Add(absl::StrCat("job-", i), true, clock.now().mono);
  }
  CancelExchangeFixture starting;
  CancelledJobsRequest request =
      SentTo<CancelledJobsRequest>("entry-2", starting.LinkEntry("entry-2"))
          .front();
  LinkEntry("entry-1");
  int parts = 0;
  while (!starting.exchange->complete() && parts < 10) {
    const auto part =
        SentTo<CancelledJobsPart>("entry-1", Receive("entry-1", request));
    BOOST_REQUIRE(part.size() == 1u);
    BOOST_TEST(part[0].jobs.size() <= 100u);
    ++parts;
    CancelledJobsPart received = part[0];
    received.complete = true;
    const auto next = SentTo<CancelledJobsRequest>(
        "entry-2", starting.Receive("entry-2", received));
    request = next.empty() ? request : next.front();
  }
  BOOST_TEST(parts == 3);
  BOOST_TEST(starting.memory.size() == 250u);
}

// A large memory on a slow link takes longer than the first time limit.
BOOST_AUTO_TEST_CASE(starting_entry_awaits_parts_that_keep_arriving) {
  Do(AgentsDialled{2});
  LinkAgent("agent-1");
  for (int i = 0; i < 9; ++i) {
    clock.Advance(absl::Milliseconds(90));
    Receive("agent-1",
            CancelledJobsPart{.jobs = {{absl::StrCat("job-", i), 5, true}},
                              .requested = true});
  }
  BOOST_TEST(!exchange->complete());
  Pass(kCancelPartTimeout);
  BOOST_TEST(exchange->complete());
}

// ---- Links that were lost

// Guards against cancels that an entry misses while a link is cut for longer
// than a search is remembered.
BOOST_AUTO_TEST_CASE(entry_requests_what_it_missed_on_the_next_link) {
  BecomeComplete();
  LinkEntry("entry-2");
  Answer("entry-2", {}, true);
  Lose("entry-2");
  clock.Advance(absl::Seconds(20));
  const auto requests =
      SentTo<CancelledJobsRequest>("entry-2", LinkEntry("entry-2"));
  BOOST_REQUIRE(requests.size() == 1u);
  BOOST_TEST(requests[0].learnt_within_ms >= 20'000u);
  BOOST_TEST(requests[0].learnt_within_ms < 60'000u);
}

BOOST_AUTO_TEST_CASE(entry_requests_everything_if_the_last_answer_was_cut_off) {
  BecomeComplete();
  LinkEntry("entry-2");
  Lose("entry-2");
  const auto requests =
      SentTo<CancelledJobsRequest>("entry-2", LinkEntry("entry-2"));
  BOOST_REQUIRE(requests.size() == 1u);
  BOOST_TEST(requests[0].learnt_within_ms == 60'000u);
}

BOOST_AUTO_TEST_CASE(only_jobs_learnt_in_the_requested_time_are_sent) {
  BecomeComplete();
  LinkEntry("entry-2");
  memory.Add("older", true, clock.now().mono);
  clock.Advance(absl::Seconds(15));
  memory.Merge({kJob, 40'000, true}, clock.now().mono);
  const auto parts = SentTo<CancelledJobsPart>(
      "entry-2", Receive("entry-2", CancelledJobsRequest{10'000, ""}));
  BOOST_REQUIRE(parts.size() == 1u);
  BOOST_REQUIRE(parts[0].jobs.size() == 1u);
  BOOST_TEST(parts[0].jobs[0].job == kJob);
  BOOST_TEST(parts[0].jobs[0].age_ms == 40'000u);
  BOOST_TEST(parts[0].last);
}

// An entry that was cut off from the sender too may be linked to this one only.
BOOST_AUTO_TEST_CASE(
    entry_passes_on_what_it_learns_to_those_that_may_not_know) {
  BecomeComplete();
  LinkEntry("entry-2");
  LinkEntry("entry-3");
  const auto actions = Answer("entry-2", {{kJob, 10, true}}, true);
  BOOST_TEST(SentTo<CancelledJobsPart>("entry-3", actions).size() == 1u);
  BOOST_TEST(SentTo<CancelledJobsPart>("entry-2", actions).empty());
  BOOST_TEST(
      ActionsOf<SendRunMessage>(Answer("entry-3", {{kJob, 10, true}}, true))
          .empty());
}

// ---- Keepers

BOOST_AUTO_TEST_CASE(cancel_is_told_to_some_agents_at_once) {
  BecomeComplete();
  for (int i = 0; i < 20; ++i) {
    LinkAgent(absl::StrCat("agent-", i));
  }
  size_t told = 0;
  const auto actions = Record(kJob);
  for (int i = 0; i < 20; ++i) {
    const auto parts =
        SentTo<CancelledJobsPart>(absl::StrCat("agent-", i), actions);
    told += parts.size();
    BOOST_TEST((parts.empty() || parts[0].jobs[0].job == kJob));
  }
  BOOST_TEST(told == kCancelKeepers);
}

// Their own keepers are told at once.
BOOST_AUTO_TEST_CASE(
    cancels_that_other_entries_were_asked_for_are_told_together) {
  BecomeComplete();
  LinkAgent("agent-1");
  BOOST_TEST(ActionsOf<SendRunMessage>(Do(CancelsRecorded{{kJob}})).empty());
  clock.Advance(kKeeperBatchPeriod / 2);
  BOOST_TEST(ActionsOf<SendRunMessage>(Do(CancelsRecorded{{"f00d"}})).empty());
  BOOST_TEST(exchange->NextWake() == clock.now().mono + kKeeperBatchPeriod / 2);
  const auto parts =
      SentTo<CancelledJobsPart>("agent-1", Pass(kKeeperBatchPeriod / 2));
  BOOST_REQUIRE(parts.size() == 1u);
  BOOST_TEST(parts[0].jobs.size() == 2u);
  BOOST_TEST(exchange->NextWake() == absl::InfiniteDuration());
}

BOOST_AUTO_TEST_CASE(another_agent_replaces_a_keeper_that_is_lost) {
  BecomeComplete();
  for (size_t i = 0; i <= kCancelKeepers; ++i) {
    LinkAgent(absl::StrCat("agent-", i));
  }
  std::string spare;
  for (size_t i = 0; i <= kCancelKeepers; ++i) {
    const std::string name = absl::StrCat("agent-", i);
    if (SentTo<CancelledJobsPart>(name, Record(absl::StrCat("job-", i)))
            .empty()) {
      spare = name;
    }
  }
  const auto actions = Lose(spare == "agent-0" ? "agent-1" : "agent-0");
  BOOST_TEST(SentTo<CancelledJobsPart>(spare, actions).size() == 1u);
}

// Guards against a cancel that is lost with an entry that has just started.
BOOST_AUTO_TEST_CASE(entry_that_lacks_the_memory_tells_agents_as_well) {
  Do(AgentsDialled{2});
  LinkAgent("agent-1");
  BOOST_TEST(!exchange->complete());
  BOOST_TEST(SentTo<CancelledJobsPart>("agent-1", Record(kJob)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(starting_entry_tells_keepers_alone_what_it_receives) {
  LinkEntry("entry-2");
  LinkEntry("entry-3");
  LinkAgent("agent-1");
  const auto actions = Answer("entry-2", {{kJob, 10, true}}, true);
  BOOST_TEST(SentTo<CancelledJobsPart>("agent-1", actions).size() == 1u);
  BOOST_TEST(SentTo<CancelledJobsPart>("entry-3", actions).empty());
}

BOOST_AUTO_TEST_CASE(agent_of_a_former_version_is_told_nothing) {
  BecomeComplete();
  Do(CancelMemoryPeerUp{"agent-1", 1, ProcessRole::kAgent, false});
  BOOST_TEST(ActionsOf<SendRunMessage>(Record(kJob)).empty());
}

BOOST_AUTO_TEST_CASE(agent_that_becomes_a_keeper_requests_what_it_missed_once) {
  BeAgent();
  BOOST_TEST(ActionsOf<SendRunMessage>(LinkEntry("entry-1")).empty());
  BOOST_TEST(
      SentTo<CancelledJobsRequest>(
          "entry-1", Receive("entry-1", CancelledJobsPart{.complete = true}))
          .size() == 1u);
  Answer("entry-1", {{kJob, 2000, true}}, true);
  BOOST_TEST(memory.Contains(kJob, clock.now().mono));
  BOOST_TEST(
      ActionsOf<SendRunMessage>(
          Receive("entry-1", CancelledJobsPart{.jobs = {{"f00d", 0, true}}}))
          .empty());
  BOOST_TEST(memory.Contains("f00d", clock.now().mono));
}

BOOST_AUTO_TEST_CASE(agent_gives_an_entry_that_starts_all_that_it_keeps) {
  BeAgent();
  LinkEntry("entry-1");
  Receive("entry-1", CancelledJobsPart{.jobs = {{kJob, 0, true}}});
  Lose("entry-1");
  clock.Advance(absl::Seconds(8));
  LinkEntry("entry-1", 2);
  const auto actions = Do(PeerMessageReceived{
      "entry-1", 2, CancelledJobsRequest{.learnt_within_ms = 60'000}});
  const auto parts = SentTo<CancelledJobsPart>("entry-1", actions);
  BOOST_REQUIRE(parts.size() == 1u);
  BOOST_REQUIRE(parts[0].jobs.size() == 1u);
  BOOST_TEST(parts[0].jobs[0].age_ms == 8000u);
  BOOST_TEST(!parts[0].complete);
}

BOOST_AUTO_TEST_CASE(message_of_a_replaced_process_is_ignored) {
  BeAgent();
  LinkEntry("entry-1", 2);
  Receive("entry-1", CancelledJobsPart{.jobs = {{kJob, 0, true}}});
  BOOST_TEST(memory.size() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
