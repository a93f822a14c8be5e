// The lease of a worker that restarts under its id belongs to one incarnation:
// no time on the former one's clock is sent to the next one, and what may have
// reached it bounds what agents and entries conclude.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "fake_run_worker.h"
#include "run_manager_fixture.h"
#include "run_world.h"
#include "worker_incarnation.h"

namespace egretswitch::internal {
namespace {

constexpr int64_t kFirstStartTime = 1'764'750'000'000;
constexpr int64_t kSecondStartTime = 1'764'750'200'000;
constexpr absl::Duration kMaxLease = absl::Seconds(15);
constexpr int64_t kMaxLeaseMs = 15'000;

const CallAnswer kDisconnected = {.disconnected = true};
const CallAnswer kRefusedConnection = {CallVerdict::kUnreachable};

struct WorkerLeaseFixture : RunManagerFixture {
  explicit WorkerLeaseFixture(absl::Duration max_lease = kMaxLease)
      : RunManagerFixture(max_lease),
        first(IncarnationName("i-1", kFirstStartTime)),
        second(IncarnationName("i-1", kSecondStartTime)) {
    Do(PeerConnected{"entry-1", 7});
    poll = LastPoll(ConnectWorker(first));
    clock.Advance(absl::Milliseconds(10));
  }

  StartRuns StartOn(const std::string& worker, RunNumber run = 1) {
    StartRuns start = Start(1, run);
    start.worker = worker;
    return start;
  }

  RunManagerActions Answer(const PollCall& call, const CallAnswer& answer) {
    return Do(PollAnswered{call, clock.now().mono, {answer, {}, {}}});
  }

  // An answer that the worker gave `age` ago.
  CallAnswer DoneAt(absl::Duration age) {
    CallAnswer answer = RunManagerFixture::Answer();
    answer.clock_ms -= absl::ToInt64Milliseconds(age);
    return answer;
  }

  // The second incarnation answers, is polled and adopted. Its clock starts
  // anew.
  RunManagerActions Restart() {
    const auto polls = ActionsOf<PollCall>(
        Answer(poll, {CallVerdict::kOtherWorker, 40, second}));
    BOOST_REQUIRE(!polls.empty());
    BOOST_TEST(polls.back().worker == second);
    BOOST_TEST(polls.back().lease_until_ms == 0);
    return Answer(polls.back(), {CallVerdict::kDone, 41, second});
  }

  static bool AnyLease(const RunManagerActions& actions) {
    const auto polls = ActionsOf<PollCall>(actions);
    return std::any_of(polls.begin(), polls.end(), [](const PollCall& call) {
      return call.lease_until_ms != 0;
    });
  }

  RunManagerActions Renew() {
    RenewRuns renewal;
    renewal.sent_at_ms = clock.ms();
    return SendFromEntry(renewal);
  }

  uint32_t ReportedBound(const RunManagerActions& actions) {
    const auto sent = SentTo<RunReports>("entry-1", actions);
    BOOST_REQUIRE(!sent.empty());
    return sent.back().worker.lease_bound_ms;
  }

  const std::string first;
  const std::string second;
  PollCall poll;
};

struct UnknownMaximumFixture : WorkerLeaseFixture {
  UnknownMaximumFixture() : WorkerLeaseFixture(absl::ZeroDuration()) {}
};

BOOST_FIXTURE_TEST_SUITE(worker_lease, WorkerLeaseFixture)

BOOST_AUTO_TEST_CASE(confirmed_worker_is_polled_with_a_lease) {
  BOOST_TEST(poll.lease_until_ms > 0);
  BOOST_TEST(AnyLease(AnswerPoll(poll, {}, {})));
}

BOOST_AUTO_TEST_CASE(poll_after_a_lost_connection_carries_no_lease) {
  BOOST_TEST(!AnyLease(Answer(poll, kDisconnected)));
  const RunManagerActions retried = Pass(absl::Milliseconds(60));
  BOOST_TEST(!ActionsOf<PollCall>(retried).empty());
  BOOST_TEST(!AnyLease(retried));
}

// Guards against the lease that a restart within the worker's time-out obtained
// for the first poll after it.
BOOST_AUTO_TEST_CASE(poll_after_a_refused_connection_carries_no_lease) {
  Answer(poll, kDisconnected);
  for (int tries = 0; tries < 4; ++tries) {
    const RunManagerActions retried = Pass(absl::Milliseconds(60));
    BOOST_TEST(!AnyLease(retried));
    Answer(LastPoll(retried), kRefusedConnection);
  }
}

BOOST_AUTO_TEST_CASE(lease_is_extended_at_once_when_the_worker_is_confirmed) {
  Answer(poll, kDisconnected);
  const PollCall retried = LastPoll(Pass(absl::Milliseconds(60)));
  BOOST_TEST(AnyLease(AnswerPoll(retried, {}, {})));
}

// An answer to a poll that was sent before the connection was lost may be from
// the incarnation that has ended.
BOOST_AUTO_TEST_CASE(answer_to_an_earlier_poll_does_not_confirm_the_worker) {
  const MonoTime before = clock.now().mono;
  clock.Advance(absl::Milliseconds(5));
  Answer(poll, kDisconnected);
  const RunManagerActions actions =
      Do(PollAnswered{poll, before, {DoneAt(absl::ZeroDuration()), {}, {}}});
  BOOST_TEST(!AnyLease(actions));
}

BOOST_AUTO_TEST_CASE(start_after_a_lost_connection_waits_for_confirmation) {
  Answer(poll, kDisconnected);
  clock.Advance(absl::Milliseconds(60));
  const RunManagerActions ordered = SendFromEntry(StartOn(first));
  BOOST_TEST(ActionsOf<StartCall>(ordered).empty());
  BOOST_TEST(Reports(ordered).empty());
  BOOST_TEST(manager.NextWake() > clock.now().mono);
  const RunManagerActions confirmed = AnswerPoll(LastPoll(ordered), {}, {});
  BOOST_TEST(ActionsOf<StartCall>(confirmed).size() == 1u);
}

BOOST_AUTO_TEST_CASE(held_start_is_refused_when_the_worker_is_unreachable) {
  Answer(poll, kDisconnected);
  clock.Advance(absl::Milliseconds(60));
  const RunManagerActions ordered = SendFromEntry(StartOn(first));
  const auto reports = Reports(Answer(LastPoll(ordered), kRefusedConnection));
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST(NeverStarted(reports[0].end));
}

BOOST_AUTO_TEST_CASE(held_start_is_reported_as_not_run_after_a_restart) {
  Answer(poll, kDisconnected);
  clock.Advance(absl::Milliseconds(60));
  poll = LastPoll(SendFromEntry(StartOn(first)));
  const auto reports = Reports(Restart());
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST(NeverStarted(reports[0].end));
}

BOOST_AUTO_TEST_CASE(unanswered_start_is_not_repeated_after_a_lost_connection) {
  const auto calls = ActionsOf<StartCall>(SendFromEntry(StartOn(first)));
  BOOST_REQUIRE(calls.size() == 1u);
  Answer(poll, kDisconnected);
  BOOST_TEST(ActionsOf<StartCall>(Pass(absl::Milliseconds(45))).empty());
}

// This process stood still for 1 s: the answer was given before the worker may
// have restarted, and the next call may reach another incarnation.
BOOST_AUTO_TEST_CASE(answer_that_is_read_late_extends_no_lease) {
  const MonoTime asked = clock.now().mono;
  clock.Advance(absl::Seconds(1));
  const RunManagerActions actions =
      Do(PollAnswered{poll, asked, {DoneAt(absl::Milliseconds(800)), {}, {}}});
  BOOST_TEST(!ActionsOf<PollCall>(actions).empty());
  BOOST_TEST(!AnyLease(actions));
}

BOOST_AUTO_TEST_CASE(start_while_polls_are_overdue_waits_for_confirmation) {
  clock.Advance(absl::Milliseconds(300));
  const RunManagerActions ordered = SendFromEntry(StartOn(first));
  BOOST_TEST(ActionsOf<StartCall>(ordered).empty());
  BOOST_TEST(!AnyLease(ordered));
  BOOST_TEST(
      ActionsOf<StartCall>(AnswerPoll(LastPoll(ordered), {}, {})).size() == 1u);
}

BOOST_AUTO_TEST_CASE(start_that_the_next_incarnation_answers_ends_the_lease) {
  const auto calls = ActionsOf<StartCall>(SendFromEntry(StartOn(first)));
  BOOST_REQUIRE(calls.size() == 1u);
  const RunManagerActions actions =
      Do(StartAnswered{calls[0], {CallVerdict::kDone, 41}});
  BOOST_TEST(!ActionsOf<PollCall>(actions).empty());
  BOOST_TEST(!AnyLease(actions));
  BOOST_TEST(ActionsOf<StartCall>(SendFromEntry(StartOn(first, 9))).empty());
}

BOOST_AUTO_TEST_CASE(poll_answer_with_a_clock_behind_is_of_another_worker) {
  const auto calls = ActionsOf<StartCall>(SendFromEntry(StartOn(first)));
  BOOST_REQUIRE(calls.size() == 1u);
  Do(StartAnswered{calls[0], RunManagerFixture::Answer()});
  clock.Advance(absl::Milliseconds(10));
  const RunManagerActions actions = Answer(poll, {CallVerdict::kDone, 41, ""});
  BOOST_TEST(!AnyLease(actions));
  BOOST_TEST(Reports(actions).empty());
}

BOOST_AUTO_TEST_CASE(announced_next_incarnation_ends_the_lease) {
  const MonoTime before = clock.now().mono;
  clock.Advance(absl::Milliseconds(5));
  BOOST_TEST(!AnyLease(Do(WorkerAnnounced{Announcement(second)})));
  const RunManagerActions answered =
      Do(PollAnswered{poll, before, {DoneAt(absl::ZeroDuration()), {}, {}}});
  BOOST_TEST(!ActionsOf<PollCall>(answered).empty());
  BOOST_TEST(!AnyLease(answered));
}

// ---- What a call that the next incarnation carried out may have obtained

BOOST_AUTO_TEST_CASE(lease_bound_after_a_restart_is_the_longest_lease) {
  const RunManagerActions adopted = Restart();
  BOOST_TEST(ReportedBound(adopted) >= kMaxLeaseMs);
  BOOST_TEST(ReportedBound(adopted) <= kMaxLeaseMs + 500);
  clock.Advance(absl::Seconds(10));
  const uint32_t later = ReportedBound(Renew());
  BOOST_TEST(later >= kMaxLeaseMs - 10'000);
  BOOST_TEST(later <= kMaxLeaseMs - 10'000 + 500);
  clock.Advance(absl::Seconds(6));
  BOOST_TEST(ReportedBound(Renew()) == 0u);
}

BOOST_AUTO_TEST_CASE(lease_bound_is_reported_from_the_first_sign_of_a_restart) {
  const RunManagerActions noticed =
      Answer(poll, {CallVerdict::kOtherWorker, 40, second});
  BOOST_TEST(ReportedBound(noticed) >= kMaxLeaseMs);
}

// The worker's clock says that it has been up for 105 s.
BOOST_AUTO_TEST_CASE(worker_that_was_up_for_long_has_no_lease_bound) {
  BOOST_TEST(ReportedBound(Renew()) == 0u);
}

BOOST_AUTO_TEST_CASE(runs_of_a_silent_worker_last_as_long_as_the_lease_bound) {
  Restart();
  Do(WorkerAnnounced{Announcement(second)});
  const auto calls = ActionsOf<StartCall>(SendFromEntry(StartOn(second)));
  BOOST_REQUIRE(calls.size() == 1u);
  const auto lost = [this] {
    std::vector<RunReport> reports;
    for (int i = 0; i < 50; ++i) {
      clock.Advance(absl::Milliseconds(100));
      const auto renewed = Reports(Renew());
      reports.insert(reports.end(), renewed.begin(), renewed.end());
    }
    return !reports.empty();
  };
  BOOST_TEST(!lost());  // 5 s
  BOOST_TEST(!lost());
  BOOST_TEST(!lost());
  BOOST_TEST(lost());
}

BOOST_FIXTURE_TEST_CASE(unknown_maximum_reports_no_lease_bound,
                        UnknownMaximumFixture) {
  BOOST_TEST(ReportedBound(Restart()) == 0u);
}

// A worker without a start time has another id after a restart, and refuses
// calls for the former one.
BOOST_AUTO_TEST_CASE(worker_without_start_time_keeps_its_lease) {
  RunManagerFixture other;
  other.Do(PeerConnected{"entry-1", 7});
  const PollCall call = LastPoll(other.ConnectWorker("i-1"));
  other.Do(PollAnswered{call, other.clock.now().mono, {kDisconnected, {}, {}}});
  BOOST_TEST(AnyLease(other.Pass(absl::Milliseconds(60))));
  BOOST_TEST(ActionsOf<StartCall>(other.SendFromEntry(other.Start(1))).size() ==
             1u);
}

// The clock of the worker is slow by 2%; it is polled five times a second.
BOOST_AUTO_TEST_CASE(lease_on_a_slow_clock_is_never_longer_than_requested) {
  WorkerState worker;
  worker.Announce(Announcement(first));
  const auto slow_clock_ms = [](MonoTime now) {
    return static_cast<int64_t>(0.98 * absl::ToDoubleMilliseconds(now));
  };
  int64_t longest = 0;
  for (MonoTime now = absl::Seconds(1); now < absl::Seconds(600);
       now += absl::Milliseconds(200)) {
    worker.RecordAnswer(first, {CallVerdict::kDone, slow_clock_ms(now)}, now);
    longest = std::max(longest, worker.ExtendLease(now) - slow_clock_ms(now));
  }
  BOOST_TEST(longest <= absl::ToInt64Milliseconds(kWorkerLease));
}

BOOST_AUTO_TEST_SUITE_END()

// ---- Entries, agents and workers together

// Long tasks on three workers that grant 15 s, from 1 s on.
std::vector<JobPlan> LongJobs() {
  std::vector<JobPlan> plans;
  for (int i = 0; i < 40; ++i) {
    JobPlan plan;
    plan.id = "long-" + std::to_string(i);
    plan.at = Ms(1000 + 150 * i);
    plan.work_ms.assign(2, i % 2 == 0 ? 3600 : 300);
    plan.needs = {2000, 64, 0};
    plan.estimate_ms = 300;
    plan.caller_timeout = Ms(30'000);
    plan.queue.service = "desk";
    plan.queue.timeout_ms = 30'000;
    plan.queue.max_attempts = 3;
    plan.queue.stretch = 1.6;
    plan.queue.objective_ms = 30'000;
    plans.push_back(plan);
  }
  return plans;
}

RunWorldOptions LongLeases(uint64_t seed) {
  return {.seed = seed,
          .agents = 3,
          .faults = 0,
          .same_worker_ids = true,
          .down_workers_refuse = true,
          .max_lease_ms = kMaxLeaseMs,
          .plans = LongJobs()};
}

constexpr VirtualUs kFast = Ms(50);
constexpr VirtualUs kSlow = Ms(3500);
constexpr VirtualUs kCrashAt = Ms(3000);

// The worker of agent 0 restarts, and the agent is killed `after` its crash.
void CheckRestartAndKill(VirtualUs down, VirtualUs after) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    RunWorld world(LongLeases(seed));
    world.At(kCrashAt, [&world, down] { world.CrashWorker(0, down); });
    world.At(kCrashAt + after, [&world] { world.KillAgentFor(0, Ms(3000)); });
    world.Run(Ms(30'000));
    BOOST_TEST(world.violations().empty(),
               "seed " << seed << ", down for " << down << " us, killed after "
                       << after << " us: " << world.violations().size());
  }
}

BOOST_AUTO_TEST_SUITE(worker_lease_world)

BOOST_AUTO_TEST_CASE(agent_killed_after_a_fast_restart_leaves_no_second_run) {
  for (const VirtualUs after : {Ms(60), Ms(300), Ms(2300), Ms(9000)}) {
    CheckRestartAndKill(kFast, after);
  }
}

BOOST_AUTO_TEST_CASE(agent_killed_after_a_slow_restart_leaves_no_second_run) {
  for (const VirtualUs after : {Ms(3510), Ms(3900), Ms(6000)}) {
    CheckRestartAndKill(kSlow, after);
  }
}

BOOST_AUTO_TEST_CASE(agent_killed_before_the_restart_leaves_no_second_run) {
  for (const VirtualUs after : {-Ms(200), -Ms(20), Ms(20), Ms(40)}) {
    CheckRestartAndKill(kFast, after);
    CheckRestartAndKill(kSlow, after);
  }
}

BOOST_AUTO_TEST_CASE(agent_killed_at_the_same_moment_leaves_no_second_run) {
  for (const VirtualUs after : {-Ms(1), VirtualUs{0}, Ms(1), Ms(50), Ms(52)}) {
    CheckRestartAndKill(kFast, after);
    CheckRestartAndKill(kSlow, after);
  }
}

// The agent stands still while its worker restarts, and is killed soon after.
BOOST_AUTO_TEST_CASE(agent_frozen_over_the_restart_leaves_no_second_run) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    RunWorld world(LongLeases(seed));
    world.At(kCrashAt - Ms(10),
             [&world] { world.FreezeAgentUntil(0, kCrashAt + Ms(400)); });
    world.At(kCrashAt, [&world] { world.CrashWorker(0, kFast); });
    world.At(kCrashAt + Ms(405), [&world] { world.KillAgentFor(0, Ms(3000)); });
    world.Run(Ms(30'000));
    BOOST_TEST(world.violations().empty(), "seed " << seed);
  }
}

// Calls get lost or are carried out seconds late, also by the next incarnation.
BOOST_AUTO_TEST_CASE(late_calls_and_restarts_leave_no_second_run) {
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    RunWorldOptions options = LongLeases(seed);
    RunWorld world(options);
    world.At(kCrashAt - Ms(500),
             [&world] { world.MakeCallsFaulty(0, kCrashAt + Ms(1000)); });
    world.At(kCrashAt, [&world] { world.CrashWorker(0, kFast); });
    world.At(kCrashAt + Ms(1500),
             [&world] { world.KillAgentFor(0, Ms(3000)); });
    world.Run(Ms(30'000));
    BOOST_TEST(world.violations().empty(), "seed " << seed);
  }
}

// With 30% of the answers lost, no lease lapses.
void CheckLostAnswers(bool breaks) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    RunWorld world(LongLeases(seed));
    world.At(Ms(500), [&world, breaks] {
      for (int agent = 0; agent < 3; ++agent) {
        world.LoseAnswers(agent, 30, breaks);
      }
    });
    world.Run(Ms(20'000));
    BOOST_TEST(world.violations().empty(), "seed " << seed);
    BOOST_TEST(world.LapsedRuns() == 0, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(lease_survives_answers_that_time_out) {
  CheckLostAnswers(false);
}

BOOST_AUTO_TEST_CASE(lease_survives_answers_that_break_connections) {
  CheckLostAnswers(true);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
