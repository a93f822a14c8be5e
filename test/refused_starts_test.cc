// Starts on workers that are down or refuse them: how often a start is retried,
// and how soon a recovered worker gets work again.
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "job_dispatcher.h"
#include "run_manager_fixture.h"
#include "run_world.h"

namespace egretswitch::internal {
namespace {

// A task is tried about ten times a second on a worker that refuses it, so no
// more often in the half second for which the workers are down.
constexpr VirtualUs kDownTime = Ms(500);
constexpr int kMaxTries = 10;

constexpr int kWorkers = 6;
constexpr VirtualUs kRunTime = Ms(12'000);

// One job of two tasks every 20 ms; the first ones arrive while all workers are
// up.
std::vector<JobPlan> SteadyJobs() {
  std::vector<JobPlan> plans;
  for (int i = 0; i < 300; ++i) {
    JobPlan plan;
    plan.id = "job-" + std::to_string(i);
    plan.at = Ms(1000 + 20 * i);
    plan.work_ms.assign(2, 80);
    plan.estimate_ms = 100;
    plan.queue.service = "desk";
    plan.queue.max_attempts = 3;
    plan.queue.stretch = 2;
    plan.queue.objective_ms = 8000;
    plan.caller_timeout = Ms(8000);
    plans.push_back(std::move(plan));
  }
  return plans;
}

void CrashAll(RunWorld& world, VirtualUs at, VirtualUs down) {
  world.At(at, [&world, down] {
    for (int agent = 0; agent < kWorkers; ++agent) {
      world.CrashWorker(agent, down);
    }
  });
}

RunWorldOptions WorldOf(uint64_t seed) {
  return {.seed = seed,
          .agents = kWorkers,
          .faults = 0,
          .same_worker_ids = seed % 2 == 0,
          .down_workers_refuse = true,
          .plans = SteadyJobs()};
}

struct RefusedStartsFixture : RunManagerFixture {
  RefusedStartsFixture() {
    Do(PeerConnected{"entry-1", 7});
    poll = LastPoll(ConnectWorker("i-1"));
  }

  // Orders a new run; the worker answers its start with `verdict`.
  RunManagerActions TryToStart(CallVerdict verdict) {
    const auto calls = ActionsOf<StartCall>(SendFromEntry(Start(1, ++run)));
    BOOST_REQUIRE(calls.size() == 1u);
    return Do(StartAnswered{calls[0], {verdict, 0}});
  }

  // Whether the latest report to the entry says that the worker accepts runs;
  // false if there is no report.
  bool ReportedAccepting(const RunManagerActions& actions) {
    const auto reported = SentTo<RunReports>("entry-1", actions);
    return !reported.empty() && reported.back().worker.accepting;
  }

  bool ReportedNotAccepting(const RunManagerActions& actions) {
    const auto reported = SentTo<RunReports>("entry-1", actions);
    return !reported.empty() && !reported.back().worker.accepting;
  }

  PollCall poll;
  RunNumber run = 0;
};

BOOST_AUTO_TEST_SUITE(refused_starts)

// Guards against tasks that are retried without a pause on workers that are
// down.
BOOST_AUTO_TEST_CASE(tasks_are_tried_rarely_while_all_workers_are_down) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    RunWorld world(WorldOf(seed));
    CrashAll(world, Ms(3000), kDownTime);
    world.Run(kRunTime);
    BOOST_TEST(world.MaxStartsOfATask() <= kMaxTries, "seed " << seed);
    BOOST_TEST(world.violations().empty(), "seed " << seed);
  }
}

// Guards against jobs that fail or are refused because workers are still
// avoided long after they have recovered.
BOOST_AUTO_TEST_CASE(jobs_complete_after_a_short_crash_of_all_workers) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    RunWorld world(WorldOf(seed));
    CrashAll(world, Ms(3000), kDownTime);
    world.Run(kRunTime);
    BOOST_TEST(world.completed() == world.jobs(), "seed " << seed);
    for (int entry = 0; entry < 3; ++entry) {
      const RunCounters& counters = world.CountersOf(entry);
      BOOST_TEST(counters.Get(RunCounter::kWorkersEjected) == 0u);
    }
  }
}

BOOST_FIXTURE_TEST_SUITE(agent, RefusedStartsFixture)

// Guards against a run that is reported as never started while it runs: its
// start was confirmed, and a repeated call for it is refused while it is being
// stopped.
BOOST_AUTO_TEST_CASE(
    confirmed_run_with_a_refused_call_is_not_over_until_stopped) {
  const auto first = ActionsOf<StartCall>(SendFromEntry(Start(1)));
  const auto second = ActionsOf<StartCall>(Pass(kStartRetry));
  BOOST_REQUIRE(first.size() == 1u);
  BOOST_REQUIRE(second.size() == 1u);
  Do(StartAnswered{first[0], Answer()});
  BOOST_TEST(
      ActionsOf<StopCall>(SendFromEntry(StopRuns{"5c0e", 0, {}})).size() == 1u);
  const auto refused =
      Do(StartAnswered{second[0], Answer(CallVerdict::kRefused)});
  BOOST_TEST(Reports(refused).empty());
  BOOST_TEST(manager.runs() == 1u);
}

// Guards against refused connections that count as answers of the worker, so
// that the agent never detects that it is down.
BOOST_AUTO_TEST_CASE(
    worker_that_refuses_a_connection_is_reported_as_not_accepting) {
  const RunManagerActions actions = TryToStart(CallVerdict::kUnreachable);
  BOOST_TEST(ReportedNotAccepting(actions));
  BOOST_REQUIRE(Reports(actions).size() == 1u);
  BOOST_TEST((Reports(actions)[0].end == RunEnd::kUnreachable));
  BOOST_TEST(!ReportedAccepting(Pass(kWorkerTimeout)));
}

// Guards against a recovered worker that gets no work: the poll that detects it
// must not wait at the worker for an end.
BOOST_AUTO_TEST_CASE(recovered_worker_is_reported_within_tens_of_milliseconds) {
  RunManagerActions actions = TryToStart(CallVerdict::kUnreachable);
  const PollCall refused = LastPoll(actions);
  BOOST_TEST((refused.wait == absl::ZeroDuration()));
  AnswerPoll(refused, {}, {}, CallVerdict::kUnreachable);
  const PollCall next = LastPoll(Pass(absl::Milliseconds(50)));
  BOOST_TEST((next.wait == absl::ZeroDuration()));
  BOOST_TEST(ReportedAccepting(AnswerPoll(next, {}, {})));
}

// Guards against runs that never end because starts are refused: the runs of a
// worker that is down are lost once its lease has certainly expired.
BOOST_AUTO_TEST_CASE(run_on_a_worker_that_refuses_connections_ends_as_lost) {
  const auto calls = ActionsOf<StartCall>(SendFromEntry(Start(1, ++run)));
  Do(StartAnswered{calls[0], Answer()});
  StartCall other = calls[0];
  other.key.task.job = "7d1f";
  std::vector<RunReport> reports;
  for (int i = 0; i < 20 && reports.empty(); ++i) {
    Do(StartAnswered{other, {CallVerdict::kUnreachable, 0}});
    reports = Reports(Pass(absl::Milliseconds(50)));
  }
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST((reports[0].end == RunEnd::kWorkerLost));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
