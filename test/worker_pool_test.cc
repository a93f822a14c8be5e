// Tests which worker an entry picks, and which ones it ejects for a while.
#include "worker_pool.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <set>
#include <string>

#include "run_fixture.h"
#include "run_limits.h"

namespace egretswitch::internal {
namespace {

struct WorkerPoolFixture {
  PooledWorker& Add(const std::string& agent, TaskNeeds free = kWholeWorker) {
    PooledWorker& worker = pool.LinkUp(agent, 1, "", clock.now().mono);
    ReportFrom(worker, free, 0);
    return worker;
  }

  void ReportFrom(PooledWorker& worker,
                  TaskNeeds free,
                  uint64_t started_through) {
    RunReports reports;
    reports.clock_ms = clock.ms();
    reports.worker = {.worker = "i-" + worker.agent,
                      .service = "desk",
                      .kind = "a",
                      .capacity = kWholeWorker,
                      .free = free,
                      .started_through = started_through,
                      .accepting = true};
    pool.Update(worker, reports, clock.now().mono);
  }

  PooledWorker* Pick(const std::set<std::string>& avoid = {}) {
    return pool.Pick("desk", kSixCores, avoid, clock.now().mono);
  }

  bool EjectedByBadRun(PooledWorker& worker, const std::string& job) {
    return pool.RecordBadRun(worker, job, clock.now().mono);
  }

  VirtualClock clock;
  WorkerPool pool{1};
};

BOOST_FIXTURE_TEST_SUITE(worker_pool, WorkerPoolFixture)

BOOST_AUTO_TEST_CASE(pick_prefers_the_emptier_of_equally_fast_workers) {
  Add("full", {6000, 1024, 0});
  Add("empty");
  BOOST_TEST(Pick()->agent == "empty");
}

BOOST_AUTO_TEST_CASE(pick_takes_a_slow_worker_last) {
  PooledWorker& slow = Add("slow");
  PooledWorker& fast = Add("fast", {32000, 1024, 0});
  for (int i = 0; i < 20; ++i) {
    slow.speed.Observe(std::log(3), clock.now().mono);
    fast.speed.Observe(0, clock.now().mono);
  }
  BOOST_TEST(Pick()->agent == "fast");
  BOOST_TEST(Pick({"fast"})->agent == "slow");
}

BOOST_AUTO_TEST_CASE(pick_without_capacity_service_or_link_returns_null) {
  PooledWorker& worker = Add("agent-1", {5999, 1024, 0});
  BOOST_TEST(Pick() == nullptr);
  ReportFrom(worker, kWholeWorker, 0);
  BOOST_TEST(pool.Pick("other", kSixCores, {}, clock.now().mono) == nullptr);
  worker.linked = false;
  BOOST_TEST(Pick() == nullptr);
}

BOOST_AUTO_TEST_CASE(pick_skips_agent_with_an_unanswered_renewal) {
  PooledWorker& worker = Add("agent-1");
  worker.unanswered_since = clock.now().mono;
  clock.Advance(kAgentSuspectAfter);
  BOOST_TEST(Pick() != nullptr);
  clock.Advance(absl::Milliseconds(1));
  BOOST_TEST(Pick() == nullptr);
}

BOOST_AUTO_TEST_CASE(free_capacity_excludes_starts_not_yet_reported) {
  PooledWorker& worker = Add("agent-1");
  pool.ChargeStart(worker, kSixCores, 2);
  BOOST_TEST(worker.free.millicores == 52000u);
  ReportFrom(worker, kWholeWorker, 0);  // sent before the start arrived
  BOOST_TEST(worker.free.millicores == 52000u);
  ReportFrom(worker, {52000, 1024, 0}, worker.last_sequence);
  BOOST_TEST(worker.free.millicores == 52000u);
}

BOOST_AUTO_TEST_CASE(ejection_after_three_jobs_in_a_row_ends_in_probation) {
  PooledWorker& bad = Add("bad");
  Add("agent-2");
  Add("agent-3");
  BOOST_TEST(!EjectedByBadRun(bad, "a"));
  BOOST_TEST(!EjectedByBadRun(bad, "b"));
  BOOST_TEST(EjectedByBadRun(bad, "c"));
  BOOST_TEST(Pick({"agent-2", "agent-3"}) == nullptr);
  clock.Advance(absl::Seconds(2));
  BOOST_TEST(Pick({"agent-2", "agent-3"}) == &bad);
  pool.ChargeStart(bad, kSixCores, 1);
  BOOST_TEST(Pick({"agent-2", "agent-3"}) == nullptr);  // one at a time
  pool.RecordGoodRun(bad);
  BOOST_TEST(Pick({"agent-2", "agent-3"}) == &bad);
}

BOOST_AUTO_TEST_CASE(one_job_that_fails_repeatedly_ejects_no_worker) {
  PooledWorker& worker = Add("agent-1");
  Add("agent-2");
  Add("agent-3");
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(!EjectedByBadRun(worker, "poison"));
  }
}

BOOST_AUTO_TEST_CASE(ejection_takes_at_most_a_third_of_the_workers) {
  for (const char* agent : {"a", "b", "c", "d", "e", "f"}) {
    Add(agent);
  }
  int ejected = 0;
  for (auto& [agent, worker] : pool.workers()) {
    for (const char* job : {"x", "y", "z"}) {
      ejected += EjectedByBadRun(worker, job) ? 1 : 0;
    }
  }
  BOOST_TEST(ejected == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
