// Tests that a run ends although its stops get lost while the worker's other
// runs go on. All runs on a worker share one lease.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "long_jobs.h"
#include "run_limits.h"
#include "run_manager_fixture.h"

namespace egretswitch::internal {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(10);

struct OverdueStopsFixture : RunManagerFixture {
  OverdueStopsFixture() {
    Do(PeerConnected{"entry-1", 7});
    polls = ActionsOf<PollCall>(ConnectWorker("i-1"));
  }

  void StartAttempt(uint64_t attempt, uint32_t index) {
    StartRuns start = Start(1);
    start.attempt = attempt;
    start.runs = {{index, 1}};
    for (const StartCall& call : ActionsOf<StartCall>(SendFromEntry(start))) {
      Do(StartAnswered{call, Answer()});
      running.push_back(call.key);
    }
  }

  // Passes the time while the worker answers each poll, and no stop, and the
  // entry renews attempt 2. Returns the polls that were sent.
  std::vector<PollCall> PassWithoutStops(absl::Duration by) {
    std::vector<PollCall> sent;
    const auto add = [&](const RunManagerActions& actions) {
      for (const PollCall& poll : ActionsOf<PollCall>(actions)) {
        sent.push_back(poll);
        polls.push_back(poll);
      }
    };
    for (absl::Duration passed; passed < by; passed += kStep) {
      add(Pass(kStep));
      add(SendFromEntry(Renewal({2})));
      for (const PollCall& poll : std::exchange(polls, {})) {
        add(AnswerPoll(poll, running, {}));
      }
    }
    return sent;
  }

  static int64_t LongestLease(const std::vector<PollCall>& calls) {
    int64_t longest = 0;
    for (const PollCall& call : calls) {
      longest = std::max(longest, call.lease_until_ms);
    }
    return longest;
  }

  std::vector<PollCall> polls;  // in flight
  std::vector<RunKey> running;
};

BOOST_FIXTURE_TEST_SUITE(overdue_stops, OverdueStopsFixture)

// Guards against a run that outlives the order to stop it because the lease is
// extended for the other runs on its worker.
BOOST_AUTO_TEST_CASE(lease_is_not_extended_while_a_stop_is_overdue) {
  StartAttempt(1, 0);
  StartAttempt(2, 1);
  BOOST_TEST(ActionsOf<StopCall>(SendFromEntry(Renewal({2}))).size() == 1u);
  const auto before = PassWithoutStops(kStopOverdue);
  const auto after = PassWithoutStops(2 * kWorkerLease);
  BOOST_TEST(LongestLease(before) > 0);
  BOOST_REQUIRE(!after.empty());
  BOOST_TEST(LongestLease(after) == 0);
  BOOST_TEST(manager.counters().Get(RunCounter::kStopsOverdue) == 1u);
}

BOOST_AUTO_TEST_CASE(start_does_not_extend_the_lease_while_a_stop_is_overdue) {
  StartAttempt(1, 0);
  StartAttempt(2, 1);
  SendFromEntry(Renewal({2}));
  const int64_t granted = LongestLease(PassWithoutStops(kStopOverdue));
  PassWithoutStops(kRenewPeriod);
  StartRuns start = Start(1);
  start.attempt = 2;
  start.runs = {{2, 1}};
  const auto calls = ActionsOf<StartCall>(SendFromEntry(start));
  BOOST_REQUIRE(calls.size() == 1u);
  BOOST_TEST(calls[0].lease_until_ms == granted);
}

BOOST_AUTO_TEST_CASE(lease_is_extended_at_once_when_an_overdue_stop_is_done) {
  StartAttempt(1, 0);
  StartAttempt(2, 1);
  const auto stops = ActionsOf<StopCall>(SendFromEntry(Renewal({2})));
  BOOST_REQUIRE(stops.size() == 1u);
  PassWithoutStops(2 * kStopOverdue);
  running = {Key(1)};
  clock.Advance(kStep);
  const auto list = ActionsOf<PollCall>(Do(StopAnswered{stops[0], Answer()}));
  BOOST_REQUIRE(!list.empty());
  clock.Advance(kStep);
  const auto next = ActionsOf<PollCall>(AnswerPoll(list.back(), running, {}));
  BOOST_TEST(LongestLease(next) > 0);
  BOOST_TEST(manager.runs() == 1u);
}

// A stop takes up to 50 ms.
BOOST_AUTO_TEST_CASE(lease_is_extended_while_a_stop_is_not_overdue) {
  StartAttempt(1, 0);
  StartAttempt(2, 1);
  SendFromEntry(Renewal({2}));
  PassWithoutStops(kStopOverdue - kStep);
  StartRuns start = Start(1);
  start.attempt = 2;
  start.runs = {{2, 1}};
  const auto calls = ActionsOf<StartCall>(SendFromEntry(start));
  BOOST_REQUIRE(calls.size() == 1u);
  BOOST_TEST(calls[0].lease_until_ms ==
             5000 + clock.ms() + absl::ToInt64Milliseconds(kWorkerLease));
}

// Guards against a run of a former agent process that the next one keeps alive.
BOOST_AUTO_TEST_CASE(lease_is_not_extended_for_runs_of_a_former_agent) {
  running = {Key(7)};
  const auto sent = PassWithoutStops(2 * kWorkerLease);
  BOOST_REQUIRE(!sent.empty());
  BOOST_TEST(LongestLease(sent) == 0);
  running.clear();
  BOOST_TEST(LongestLease(PassWithoutStops(kPollWait)) > 0);
}

// Guards against a start that extends the lease of a former agent's run, and
// against one that a worker without a lease refuses.
BOOST_AUTO_TEST_CASE(start_is_held_until_runs_of_a_former_agent_are_over) {
  running = {Key(7)};
  PassWithoutStops(2 * kWorkerLease);
  StartRuns start = Start(1);
  BOOST_TEST(ActionsOf<StartCall>(SendFromEntry(start)).empty());
  BOOST_TEST(manager.counters().Get(RunCounter::kStartsHeld) == 1u);
  running.clear();
  clock.Advance(kStep);
  const std::vector<PollCall> pending = std::exchange(polls, {});
  BOOST_REQUIRE(!pending.empty());
  const auto calls = ActionsOf<StartCall>(AnswerPoll(pending[0], running, {}));
  BOOST_REQUIRE(calls.size() == 1u);
  BOOST_TEST(calls[0].lease_until_ms ==
             5000 + clock.ms() + absl::ToInt64Milliseconds(kWorkerLease));
}

// Guards against a lease that is not extended because a list is out of date.
BOOST_AUTO_TEST_CASE(ended_run_on_an_earlier_list_is_not_unknown) {
  StartAttempt(2, 0);
  clock.Advance(kStep);
  BOOST_REQUIRE(!polls.empty());
  const MonoTime requested_at = clock.now().mono;
  clock.Advance(kStep);
  AnswerPoll(polls.back(), {}, {{1, Key(0), WorkerRunEnd::kDone}});
  BOOST_TEST(manager.runs() == 0u);
  const auto late = Do(PollAnswered{polls.back(), requested_at,
                                    PollAnswer{Answer(), {Key(0)}, {}}});
  BOOST_TEST(ActionsOf<StopCall>(late).empty());
  clock.Advance(kStep);
  const auto newer = AnswerPoll(polls.back(), {Key(0)}, {});
  BOOST_TEST(ActionsOf<StopCall>(newer).size() == 1u);
}

// Guards against a lease that is extended for a run whose own lease has expired
// while the agent stood still: the event loop handles sockets before timers, so
// an answer of the worker comes before the stop.
BOOST_AUTO_TEST_CASE(lease_is_not_extended_for_a_run_that_expired_in_a_pause) {
  StartAttempt(1, 0);
  for (absl::Duration passed; passed < kRunLease - kStep; passed += kStep) {
    Pass(kStep);
    for (const PollCall& poll : std::exchange(polls, {})) {
      polls = ActionsOf<PollCall>(AnswerPoll(poll, running, {}));
    }
  }
  clock.Advance(kRunLease - kStep);
  BOOST_REQUIRE(!polls.empty());
  const auto sent = ActionsOf<PollCall>(AnswerPoll(polls[0], running, {}));
  BOOST_TEST(LongestLease(sent) == 0);
}

// Guards against the same when the first event is another entry's order.
BOOST_AUTO_TEST_CASE(start_does_not_extend_the_lease_of_an_expired_run) {
  StartAttempt(1, 0);
  Do(PeerConnected{"entry-2", 8});
  clock.Advance(kRunLease);
  StartRuns start = Start(1);
  start.job = "77aa";
  start.attempt = 5;
  const auto actions = Do(PeerMessageReceived{"entry-2", 8, start});
  const int64_t full =
      5000 + clock.ms() + absl::ToInt64Milliseconds(kWorkerLease);
  for (const StartCall& call : ActionsOf<StartCall>(actions)) {
    BOOST_TEST(call.lease_until_ms < full);
  }
  BOOST_TEST(LongestLease(ActionsOf<PollCall>(actions)) == 0);
}

// Guards against an older list that hides a run that a newer one has shown.
BOOST_AUTO_TEST_CASE(older_list_does_not_end_the_doubt_about_an_unknown_run) {
  BOOST_REQUIRE(!polls.empty());
  const MonoTime older = clock.now().mono;
  clock.Advance(kStep);
  const auto first = ActionsOf<PollCall>(AnswerPoll(polls[0], {Key(7)}, {}));
  BOOST_TEST(LongestLease(first) == 0);
  clock.Advance(kStep);
  const auto second = ActionsOf<PollCall>(
      Do(PollAnswered{polls[0], older, PollAnswer{Answer(), {}, {}}}));
  BOOST_TEST(LongestLease(second) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(lost_stops)

// Plays 50 seeds of long jobs beside short ones; `plan` adds the faults.
template <typename Plan>
void ExpectNoTaskRunsTwice(RunWorldOptions options, Plan plan) {
  options.faults = 0;
  options.plans = LongJobsBesideShortOnes();
  for (options.seed = 1; options.seed <= 50; ++options.seed) {
    RunWorld world(options);
    for (int agent = 0; agent < options.agents; ++agent) {
      world.LoseStops(agent, Ms(25'000));
      plan(world, agent);
    }
    world.Run(Ms(25'000));
    BOOST_TEST(world.violations().empty(),
               "seed " << options.seed << LogOf(world));
  }
}

// Plays `faults(at, draw)` three times for the agent of a world, at times that
// depend on the seed.
template <typename Faults>
void ThreeTimes(uint64_t seed, int agent, Faults faults) {
  for (int i = 0; i < 3; ++i) {
    const auto draw = static_cast<int64_t>(7 * seed + 13 * i + agent);
    faults(Ms(2000 + 3300 * i + draw * 37 % 1500), draw);
  }
}

// Guards against two runs of a task at the same time when workers carry out no
// stops.
BOOST_AUTO_TEST_CASE(abandoned_tasks_whose_stops_are_lost_never_run_twice) {
  ExpectNoTaskRunsTwice({.connection_resets = 6}, [](RunWorld&, int) {});
}

// Guards against the same when the agents are replaced as well.
BOOST_AUTO_TEST_CASE(tasks_of_replaced_agents_without_stops_never_run_twice) {
  ExpectNoTaskRunsTwice({}, [](RunWorld& world, int agent) {
    ThreeTimes(world.seed(), agent, [&](VirtualUs at, int64_t draw) {
      world.At(at, [&world, agent, draw] {
        world.ResetConnections(static_cast<int>(draw % 3));
        world.KillAgentFor(agent, Ms(50 + draw % 400));
      });
    });
  });
}

// Guards against two runs of a task at the same time when the agent that was to
// stop one is replaced just before the worker's lease ends.
BOOST_AUTO_TEST_CASE(
    tasks_of_agents_replaced_late_without_stops_never_run_twice) {
  ExpectNoTaskRunsTwice({}, [](RunWorld& world, int agent) {
    ThreeTimes(world.seed(), agent, [&](VirtualUs at, int64_t draw) {
      world.At(at, [&world, draw] {
        world.KillEntryFor(static_cast<int>(draw % 3), Ms(2500));
      });
      world.At(at + Ms(350 + draw * 53 % 200), [&world, agent, draw] {
        world.KillAgentFor(agent, Ms(300 + draw * 29 % 200));
      });
    });
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
