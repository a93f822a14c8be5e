// Tests the slowness that is learned for a worker from its runs.
#include "worker_speed.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

namespace egretswitch::internal {
namespace {

struct WorkerSpeedFixture {
  // A run each 100 ms, `slowness` times as long as on a usual worker, with a
  // scatter of a fifth.
  void Run(WorkerSpeed& worker, double slowness, int runs) {
    for (int i = 0; i < runs; ++i) {
      now += absl::Milliseconds(100);
      worker.Observe(std::log(slowness) + scatter(random), now);
    }
  }

  MonoTime now = absl::Seconds(100);
  std::mt19937_64 random{1};
  std::normal_distribution<double> scatter{0, 0.2};
  std::shared_ptr<KindSpeed> kind = std::make_shared<KindSpeed>();
};

BOOST_FIXTURE_TEST_SUITE(worker_speed, WorkerSpeedFixture)

BOOST_AUTO_TEST_CASE(worker_without_runs_is_a_usual_one) {
  BOOST_TEST(WorkerSpeed().Slowness(now) == 1);
  BOOST_TEST(WorkerSpeed(kind).Slowness(now) == 1);
}

BOOST_AUTO_TEST_CASE(new_worker_is_as_slow_as_its_kind) {
  WorkerSpeed known(kind);
  Run(known, 1.7, 200);
  BOOST_TEST(WorkerSpeed(kind).Slowness(now) == 1.7,
             boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(equal_workers_differ_by_less_than_their_runs_do) {
  std::vector<WorkerSpeed> workers(8, WorkerSpeed(kind));
  for (int i = 0; i < 30; ++i) {
    for (WorkerSpeed& worker : workers) {
      Run(worker, 1, 1);
    }
  }
  for (const WorkerSpeed& worker : workers) {
    BOOST_TEST(worker.Slowness(now) == 1, boost::test_tools::tolerance(0.1));
  }
}

BOOST_AUTO_TEST_CASE(
    worker_of_four_times_the_slowness_is_known_after_ten_runs) {
  std::vector<WorkerSpeed> sound(5, WorkerSpeed(kind));
  for (WorkerSpeed& worker : sound) {
    Run(worker, 1, 40);
  }
  WorkerSpeed slow(kind);
  Run(slow, 4, 10);
  BOOST_TEST(slow.Slowness(now) > 3);
  BOOST_TEST(sound[0].Slowness(now) < 1.3);
}

// It gets few runs once it is known to be slow.
BOOST_AUTO_TEST_CASE(worker_that_was_slow_recovers_in_runs_and_without_them) {
  WorkerSpeed sound(kind);
  Run(sound, 1, 100);
  WorkerSpeed worker(kind);
  Run(worker, 4, 20);
  const double slow = worker.Slowness(now);
  const double later = worker.Slowness(now + absl::Seconds(30));
  BOOST_TEST(later < 0.7 * slow);
  Run(worker, 1, 20);
  BOOST_TEST(worker.Slowness(now) < 1.3);
}

BOOST_AUTO_TEST_CASE(one_run_of_seven_times_the_length_moves_a_worker_little) {
  WorkerSpeed worker(kind);
  Run(worker, 1, 40);
  worker.Observe(std::log(7), now);
  BOOST_TEST(worker.Slowness(now) < 1.25);
}

BOOST_AUTO_TEST_CASE(stopped_runs_slow_a_worker_down_but_never_speed_it_up) {
  WorkerSpeed worker(kind);
  Run(worker, 1, 40);
  const double before = worker.Slowness(now);
  worker.ObserveAtLeast(std::log(0.2), now);
  BOOST_TEST(worker.Slowness(now) == before);
  for (int i = 0; i < 10; ++i) {
    worker.ObserveAtLeast(std::log(2), now);
  }
  BOOST_TEST(worker.Slowness(now) > 1.3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
