// Early refusals, quotas, shares of limits, and the budget for repeats.
#include <boost/test/unit_test.hpp>
#include <set>

#include "dispatch_queue.h"
#include "job_fixture.h"
#include "limit_shares.h"
#include "retry_budget.h"
#include "run_time_estimate.h"
#include "worker_health.h"

namespace egretswitch::internal {
namespace {

struct LimitsFixture : JobFixture {
  LimitsFixture() { AddAgent("agent-1", 2); }

  // Teaches the row a run time.
  void Learn(uint32_t run_ms) {
    for (int i = 0; i < 10; ++i) {
      const std::string id = "learn" + std::to_string(i);
      Submit(1, MakeJob(id));
      Finish("agent-1", id, {0}, 2, run_ms);
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(JobLimitsTest, LimitsFixture)

BOOST_AUTO_TEST_CASE(Limit_MaxRunningReached_NothingMoreOfTheRowStarts) {
  AddRow({.kind = "pricing", .max_running = 1});
  Submit(1, MakeJob("a17", 2));
  BOOST_TEST(StartsSent() == 1u);
  Finish("agent-1", "a17", {0}, 2);
  BOOST_TEST(StartsSent() == 1u);
}

BOOST_AUTO_TEST_CASE(Limit_MaxRunningOfOneRow_LeavesTheOthersAlone) {
  AddRow({.kind = "pricing", .max_running = 1});
  AddRow({.kind = "alerts"});
  Submit(1, MakeJob("a17", 2));
  Submission alert = MakeJob("a18");
  alert.kind = "alerts";
  Submit(2, alert);
  BOOST_TEST(StartsSent() == 1u);
}

BOOST_AUTO_TEST_CASE(Limit_TableEdited_IsInForceAtOnce) {
  AddRow({.kind = "pricing", .max_running = 1});
  Submit(1, MakeJob("a17", 2));
  AddRow({.kind = "pricing", .max_running = 2});
  BOOST_TEST(StartsSent() == 1u);
}

BOOST_AUTO_TEST_CASE(Limit_MaxQueuedReached_RefusesNotRunWithRetryAfter) {
  AddRow({.kind = "pricing", .max_queued = 4});
  Submit(1, MakeJob("a17", 4));  // two start
  Submit(2, MakeJob("a18", 3));
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kQueueFull));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kNotRun));
  BOOST_TEST(OnlyRefusal().retry_after_ms >= 50u);
  Submit(3, MakeJob("a19", 2));
  BOOST_TEST(Answers().empty());
}

BOOST_AUTO_TEST_CASE(Limit_TeamRateUsedUp_RefusesTheTeamAlone) {
  AddRow({.kind = "pricing", .team_rate = 2});
  Submit(1, MakeJob("a17"));
  Submit(2, MakeJob("a18"));
  Submit(3, MakeJob("a19"));
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kTeamQuota));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kNotRun));
  BOOST_TEST(OnlyRefusal().retry_after_ms >= 50u);
  Submission other = MakeJob("a20");
  other.key.team = "garage";
  Submit(4, other);
  BOOST_TEST(Answers().empty());
  Pass(absl::Milliseconds(500));
  Submit(5, MakeJob("a21"));
  BOOST_TEST(Answers().empty());
}

BOOST_AUTO_TEST_CASE(Limit_LearnedWaitBeyondDeadline_RefusesAtOnce) {
  Learn(1000);
  Submit(1, MakeJob("ahead", 12));  // 10 wait: 5 s on two slots
  Submission late = MakeJob("late", 12);
  late.deadline_ms = now.wall_ms + 6000;
  Submit(2, late);
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kDeadlineUnreachable));
  BOOST_TEST((OnlyRefusal().verdict == RunVerdict::kNotRun));
  BOOST_TEST(OnlyRefusal().retry_after_ms > 1000u);
  late.deadline_ms = now.wall_ms + 15'000;
  late.key.id = "still_late";
  Submit(3, late);  // 11 s, and smaller jobs may yet go first
  BOOST_TEST((OnlyRefusal().reason == RefusalReason::kDeadlineUnreachable));
  late.deadline_ms = now.wall_ms + 30'000;
  Submit(3, late);
  BOOST_TEST(Answers().empty());
}

BOOST_AUTO_TEST_CASE(Limit_NothingAhead_NeedsOnlyItsOwnTime) {
  Learn(1000);
  Submission job = MakeJob("a17", 2);
  job.deadline_ms = now.wall_ms + 1300;
  Submit(1, job);
  BOOST_TEST(Answers().empty());
}

BOOST_AUTO_TEST_CASE(Limit_DeclaredRunTimeBeyondDeadline_IsNotBelieved) {
  Submission job = MakeJob("a17");
  job.tasks[0].declared_ms = 100'000;
  job.deadline_ms = now.wall_ms + 1000;
  Submit(1, job);
  BOOST_TEST(StartsSent() == 1u);
}

BOOST_AUTO_TEST_CASE(RetryAfter_ManyRefusals_AreSpread) {
  AddRow({.kind = "pricing", .max_queued = 1});
  std::set<uint32_t> times;
  for (int i = 0; i < 20; ++i) {
    Submit(1, MakeJob("a" + std::to_string(i), 2));
    times.insert(OnlyRefusal().retry_after_ms);
  }
  BOOST_TEST(times.size() > 10u);
}

BOOST_AUTO_TEST_CASE(Retry_BudgetUsedUp_BouncedTaskWaitsAside) {
  AddRow({.kind = "pricing", .retry_percent = 0});
  Submit(1, MakeJob("a17"));
  for (int i = 0; i < RetryBudget::kReserve; ++i) {
    Report("agent-1", "a17", {0}, TaskStatus::kRefusedByWorker, 2);
    BOOST_REQUIRE_EQUAL(StartsSent(), 1u);
  }
  Report("agent-1", "a17", {0}, TaskStatus::kRefusedByWorker, 2);
  BOOST_TEST(StartsSent() == 0u);
  BOOST_TEST(context.counters().Get(Counter::kRetryBudgetExhausted) == 1u);
  BOOST_TEST(Answers().empty());
  Pass(absl::Milliseconds(200));  // the reserve comes back at 10 a second
  BOOST_TEST(StartsSent() == 1u);
}

BOOST_AUTO_TEST_CASE(Retry_StalePermission_CostsNoBudget) {
  AddRow({.kind = "pricing", .retry_percent = 0});
  Submit(1, MakeJob("a17"));
  for (int i = 0; i < 2 * RetryBudget::kReserve; ++i) {
    Report("agent-1", "a17", {0}, TaskStatus::kStalePermission, 2);
    BOOST_REQUIRE_EQUAL(StartsSent(), 1u);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(JobPartsTest)

BOOST_AUTO_TEST_CASE(RunTime_RecentSamples_OutweighOldOnes) {
  RunTimeEstimate estimate;
  for (int i = 0; i < 2000; ++i) {
    estimate.Learn(1000);
  }
  for (int i = 0; i < 200; ++i) {
    estimate.Learn(50);
  }
  BOOST_TEST(estimate.QuantileMs(0.5) >= 50);
  BOOST_TEST(estimate.QuantileMs(0.5) <= 50 * 1.19);
}

BOOST_AUTO_TEST_CASE(RunTime_VeryManySamples_StaysFinite) {
  RunTimeEstimate estimate;
  for (int i = 0; i < 100'000; ++i) {
    estimate.Learn(200);
  }
  BOOST_TEST(estimate.QuantileMs(0.5) >= 200);
  BOOST_TEST(estimate.QuantileMs(0.5) <= 200 * 1.19);
}

BOOST_AUTO_TEST_CASE(RunTime_NothingLearnt_ClampsTheDeclaration) {
  const RunTimeEstimate estimate;
  BOOST_TEST(estimate.TaskMs(1'000'000) == 5000);
  BOOST_TEST(estimate.TaskMs(1) == 10);
  BOOST_TEST(estimate.TaskMs(300) == 300);
}

BOOST_AUTO_TEST_CASE(Shares_AnyDivisionOfShards_AddUpToTheLimit) {
  for (const uint32_t limit : {1u, 3u, 7u, 64u, 88u, 1000u}) {
    uint32_t sum = 0;
    for (uint32_t owner = 0; owner < 3; ++owner) {
      std::vector<bool> owned(64);
      for (uint32_t shard = owner; shard < 64; shard += 3) {
        owned[shard] = true;
      }
      sum += ShareOf(limit, owned);
    }
    BOOST_TEST(sum == limit);
  }
}

BOOST_AUTO_TEST_CASE(Shares_UnitsOfALimit_BelongToTheDesignsShards) {
  for (uint32_t unit = 0; unit < 7; ++unit) {
    std::vector<bool> owned(64);
    owned[unit * 64 / 7] = true;
    BOOST_TEST(ShareOf(7, owned) == 1u);
  }
}

BOOST_AUTO_TEST_CASE(Health_WholeKindFails_EjectsNobody) {
  WorkerHealth health;
  for (int i = 0; i < 50; ++i) {
    for (AgentId agent = 0; agent < 10; ++agent) {
      BOOST_TEST(!health.OnOutcome(agent, false, 10, absl::Seconds(1)));
    }
  }
}

BOOST_AUTO_TEST_CASE(Health_ManyBadWorkers_EjectsNoMoreThanTheCap) {
  WorkerHealth health;
  for (int i = 0; i < 100; ++i) {
    for (AgentId agent = 0; agent < 20; ++agent) {
      for (int good = 0; good < (agent < 5 ? 0 : 3); ++good) {
        health.OnOutcome(agent, true, 20, absl::Seconds(1));
      }
    }
    for (AgentId agent = 0; agent < 5; ++agent) {
      health.OnOutcome(agent, false, 10, absl::Seconds(1));
    }
  }
  BOOST_TEST(health.ejected() == 3u);  // 30% of the 10 that are linked
}

BOOST_AUTO_TEST_CASE(Health_EjectedAgain_StaysOutTwiceAsLong) {
  WorkerHealth health;
  const auto fail_five = [&](MonoTime now) {
    for (int i = 0; i < 20; ++i) {
      health.OnOutcome(1, true, 10, now);
    }
    for (int i = 0; i < 5; ++i) {
      health.OnOutcome(0, false, 10, now);
    }
  };
  fail_five(absl::Seconds(1));
  BOOST_TEST(health.IsEjected(0));
  BOOST_TEST(health.TakeReleased(absl::Seconds(3)).size() == 1u);
  fail_five(absl::Seconds(3));
  BOOST_TEST(health.TakeReleased(absl::Seconds(6)).empty());
  BOOST_TEST(health.TakeReleased(absl::Seconds(7)).size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
