// Tests what is learned of run times from the runs of an entry, on two kinds of
// workers, with estimates that are off and with a tail of long runs.
#include "run_times.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace egretswitch::internal {
namespace {

using boost::test_tools::tolerance;

struct Worker {
  double slowness = 1;
  WorkerSpeed speed;
};

struct RunTimesFixture {
  double Scatter(double deviation) {
    return std::exp(std::normal_distribution<double>(0, deviation)(random));
  }

  double DrawnRunMs(double work_ms, const Worker& worker) {
    const double usual = work_ms * worker.slowness * Scatter(0.15);
    return std::uniform_real_distribution<double>(0, 1)(random) < tail
               ? 7 * usual
               : usual;
  }

  // Runs `jobs` jobs, each task on the next worker. Estimates scatter by 0.4
  // and are off by `bias`.
  void RunJobs(std::vector<Worker>& workers,
               int jobs,
               double work_ms,
               double bias = 1,
               int tasks = 8) {
    for (int job = 0; job < jobs; ++job) {
      const double drawn_work = work_ms * Scatter(0.4);
      std::vector<double> done_ms;
      StepEvidence evidence{.queue = "checks",
                            .estimate_ms = static_cast<uint32_t>(
                                bias * drawn_work * Scatter(0.4))};
      for (int task = 0; task < tasks; ++task) {
        Worker& worker = workers[next++ % workers.size()];
        const double run_ms = DrawnRunMs(drawn_work, worker);
        now += absl::Milliseconds(1);
        evidence.done_ms = done_ms;
        times.RecordRun(evidence, static_cast<uint32_t>(run_ms), worker.speed,
                        now);
        done_ms.push_back(run_ms / worker.speed.Slowness(now));
      }
      evidence.done_ms = done_ms;
      times.RecordStep(evidence, {});
    }
  }

  std::vector<Worker> TwoKinds() {
    std::vector<Worker> workers;
    for (const double slowness : {0.7, 0.7, 1.7, 0.7, 0.7, 1.7}) {
      workers.push_back(
          {slowness, times.SpeedOfKind("desk", slowness > 1 ? "b" : "a")});
    }
    return workers;
  }

  std::vector<Worker> Equal(int count) {
    return std::vector<Worker>(count, {1, times.SpeedOfKind("desk", "a")});
  }

  double Slowness(const Worker& worker) const {
    return worker.speed.Slowness(now);
  }

  std::mt19937_64 random{1};
  MonoTime now = absl::Seconds(100);
  double tail = 0;
  size_t next = 0;
  RunTimes times;
};

BOOST_FIXTURE_TEST_SUITE(run_times, RunTimesFixture)

BOOST_AUTO_TEST_CASE(queue_without_runs_is_expected_as_estimated) {
  BOOST_TEST(times.ExpectedMs("checks", 100) == 100u);
  const StepOutlook outlook =
      times.OutlookOf({.queue = "checks", .estimate_ms = 100});
  BOOST_TEST(outlook.MedianMs() == 100, tolerance(0.02));
  BOOST_TEST(outlook.ChanceOfNew(100) == 0.5, tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(equal_workers_have_the_expectation_of_the_queue) {
  std::vector<Worker> workers = Equal(6);
  RunJobs(workers, 200, 100);
  for (const Worker& worker : workers) {
    BOOST_TEST(Slowness(worker) == 1, tolerance(0.1));
  }
  BOOST_TEST(double(times.ExpectedMs("checks", 100)) == 100.0, tolerance(0.15));
}

// The load of the two kinds: 0.7 and 1.7 of the usual time, 3% of the runs take
// seven times as long, estimates scatter by 0.4.
BOOST_AUTO_TEST_CASE(two_kinds_of_workers_are_told_apart_within_a_second) {
  tail = 0.03;
  std::vector<Worker> workers = TwoKinds();
  RunJobs(workers, 60, 51);
  for (const Worker& worker : workers) {
    BOOST_TEST(Slowness(worker) / Slowness(workers[0]) ==
                   worker.slowness / workers[0].slowness,
               tolerance(0.2));
  }
}

// Run times are products, so only these have a true value.
BOOST_AUTO_TEST_CASE(expectation_times_slowness_is_the_run_time) {
  std::vector<Worker> workers = TwoKinds();
  RunJobs(workers, 200, 51);
  const double expected = times.ExpectedMs("checks", 51);
  for (const Worker& worker : workers) {
    BOOST_TEST(expected * Slowness(worker) == 51 * worker.slowness,
               tolerance(0.15));
  }
}

// A worker that happens to get the tasks of underestimated jobs is not slow.
BOOST_AUTO_TEST_CASE(error_of_an_estimate_does_not_count_for_the_worker) {
  std::vector<Worker> workers = Equal(6);
  RunJobs(workers, 100, 100);
  std::vector<double> done_ms = {300, 310, 290};
  for (int i = 0; i < 8; ++i) {
    times.RecordRun({"checks", 100, done_ms}, 300, workers[0].speed, now);
  }
  BOOST_TEST(Slowness(workers[0]) < 1.2);
}

BOOST_AUTO_TEST_CASE(
    estimates_ten_times_too_long_are_corrected_within_seconds) {
  std::vector<Worker> workers = Equal(6);
  RunJobs(workers, 60, 100, 10);
  BOOST_TEST(double(times.ExpectedMs("checks", 1000)) == 100.0, tolerance(0.2));
}

BOOST_AUTO_TEST_CASE(estimates_of_zero_are_replaced_by_what_runs_take) {
  std::vector<Worker> workers = Equal(6);
  RunJobs(workers, 60, 100, 0);
  BOOST_TEST(double(times.ExpectedMs("checks", 0)) == 100.0, tolerance(0.3));
  const StepOutlook outlook =
      times.OutlookOf({.queue = "checks", .estimate_ms = 0});
  BOOST_TEST(outlook.ChanceOfNew(250) > 0.9);
  BOOST_TEST(outlook.ChanceOfNew(20) < 0.05);
}

BOOST_AUTO_TEST_CASE(run_times_of_zero_are_accepted) {
  std::vector<Worker> workers = Equal(1);
  for (int i = 0; i < 50; ++i) {
    times.RecordRun({"checks", 0}, 0, workers[0].speed, now);
    times.RecordStep(
        {.queue = "checks", .done_ms = std::vector<double>{0, 0, 0}},
        std::vector<double>{0});
  }
  BOOST_TEST(times.ExpectedMs("checks", 0) <= 1u);
  BOOST_TEST(std::isfinite(times.OutlookOf({"checks", 0}).ChanceOfNew(1)));
  BOOST_TEST(std::isfinite(times.Margin("checks", 0.88)));
}

// The work of a queue triples, while the callers' estimates stay.
BOOST_AUTO_TEST_CASE(work_that_changes_at_once_is_followed_within_seconds) {
  std::vector<Worker> workers = Equal(6);
  RunJobs(workers, 100, 100);
  RunJobs(workers, 60, 300, 1.0 / 3);
  BOOST_TEST(double(times.ExpectedMs("checks", 100)) == 300.0, tolerance(0.3));
  for (const Worker& worker : workers) {
    BOOST_TEST(Slowness(worker) == 1, tolerance(0.35));
  }
}

BOOST_AUTO_TEST_CASE(worker_that_slows_down_is_known_and_recovers) {
  std::vector<Worker> workers = Equal(6);
  RunJobs(workers, 60, 100);
  workers[0].slowness = 4;
  RunJobs(workers, 30, 100);
  BOOST_TEST(Slowness(workers[0]) / Slowness(workers[1]) > 2.5);
  workers[0].slowness = 1;
  RunJobs(workers, 40, 100);
  BOOST_TEST(Slowness(workers[0]) / Slowness(workers[1]) < 1.4);
}

BOOST_AUTO_TEST_CASE(finished_runs_of_a_step_outweigh_its_estimate) {
  const std::vector<double> done_ms = {290, 300, 310, 305};
  const StepOutlook outlook = times.OutlookOf({"checks", 100, done_ms});
  BOOST_TEST(outlook.MedianMs() == 300, tolerance(0.15));
}

// Seven of eight took 50 ms and the last one runs: it is a long run. If all of
// them run for as long, the estimate was off.
BOOST_AUTO_TEST_CASE(long_run_is_told_from_a_long_step) {
  tail = 0.03;
  std::vector<Worker> workers = Equal(6);
  RunJobs(workers, 100, 50);
  const std::vector<double> done_ms(7, 50);
  const std::vector<double> one = {90};
  const std::vector<double> all(8, 90);
  const StepOutlook long_run = times.OutlookOf({"checks", 50, done_ms, one});
  const StepOutlook long_step = times.OutlookOf({"checks", 50, {}, all});
  BOOST_TEST(long_run.ChanceOfRunning(90, 140) < 0.2);
  BOOST_TEST(long_run.ChanceOfNew(70) > 0.8);
  BOOST_TEST(long_step.ChanceOfRunning(90, 140) > 0.5);
  BOOST_TEST(long_step.ChanceOfNew(70) < 0.2);
}

BOOST_AUTO_TEST_CASE(run_has_no_chance_to_end_before_now) {
  const std::vector<double> running = {100};
  const StepOutlook outlook = times.OutlookOf({"checks", 100, {}, running});
  BOOST_TEST(outlook.ChanceOfRunning(100, 100) == 0);
  BOOST_TEST(outlook.ChanceOfRunning(100, 50) == 0);
}

BOOST_AUTO_TEST_CASE(margin_grows_with_the_scatter_of_the_estimates) {
  std::vector<Worker> workers = Equal(6);
  const double unknown = times.Margin("checks", 0.88);
  RunJobs(workers, 300, 100);
  const double scattered = times.Margin("checks", 0.88);
  BOOST_TEST(unknown == 1.45, tolerance(0.15));
  BOOST_TEST(scattered == 1.45, tolerance(0.15));
  BOOST_TEST(times.Margin("checks", 0.99) > scattered);
}

// What a restart loses: the queue and the two kinds are known again from the
// runs of two seconds of a queue with 200 tasks a second.
BOOST_AUTO_TEST_CASE(knowledge_is_rebuilt_from_the_runs_of_two_seconds) {
  tail = 0.03;
  std::vector<Worker> workers = TwoKinds();
  RunJobs(workers, 50, 51, 2);
  for (const Worker& worker : workers) {
    BOOST_TEST(times.ExpectedMs("checks", 102) * Slowness(worker) ==
                   51 * worker.slowness,
               tolerance(0.3));
  }
}

BOOST_AUTO_TEST_CASE(queues_beyond_the_limit_are_forgotten_oldest_first) {
  WorkerSpeed speed;
  for (int i = 0; i < 40; ++i) {
    times.RecordRun({"first", 100}, 300, speed, now);
  }
  for (int queue = 0; queue < 3000; ++queue) {
    const std::string name = absl::StrCat("queue-", queue);
    for (int i = 0; i < 20; ++i) {
      times.RecordRun({name, 100}, 200, speed, now, false);
    }
  }
  BOOST_TEST(times.queues() == 1024u);
  BOOST_TEST(times.ExpectedMs("first", 100) == 100u);
  BOOST_TEST(times.ExpectedMs("queue-2999", 100) == 200u);
}

BOOST_AUTO_TEST_CASE(kinds_without_workers_are_forgotten) {
  for (int kind = 0; kind < 100; ++kind) {
    times.SpeedOfKind("desk", absl::StrCat("kind-", kind));
  }
  BOOST_TEST(times.kinds() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
