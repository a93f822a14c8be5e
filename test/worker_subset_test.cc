// Tests which workers an entry selects, by its open work.
#include "worker_subset.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "absl/strings/str_cat.h"
#include "run_fixture.h"
#include "run_limits.h"

namespace egretswitch::internal {
namespace {

constexpr double kWorkerMillicores = 64'000;

struct WorkerSubsetFixture {
  // Workers of 64 cores; each entry has an order of its own.
  WorkerPool Pool(uint64_t entry, int workers) {
    WorkerPool pool(entry);
    for (int i = 0; i < workers; ++i) {
      Link(pool, absl::StrCat("agent-", i));
    }
    return pool;
  }

  void Link(WorkerPool& pool, const std::string& agent) {
    PooledWorker& worker = pool.LinkUp(agent, 1, "", clock.now().mono);
    RunReports reports;
    reports.clock_ms = clock.ms();
    reports.worker = {.worker = "i-" + agent,
                      .service = "desk",
                      .kind = "a",
                      .capacity = {64'000, 131'072, 0},
                      .free = {64'000, 131'072, 0},
                      .started_through = 0,
                      .accepting = true};
    pool.Update(worker, reports, clock.now().mono);
  }

  // Selects the subset for open work of this many workers' capacity.
  void Select(WorkerPool& pool, double open_workers) {
    SelectSubset(pool, {{"desk", open_workers * kWorkerMillicores}},
                 clock.now().mono);
  }

  static std::set<std::string> InSubset(const WorkerPool& pool) {
    std::set<std::string> names;
    for (const auto& [name, worker] : pool.workers()) {
      if (worker.in_subset) {
        names.insert(name);
      }
    }
    return names;
  }

  VirtualClock clock;
};

BOOST_FIXTURE_TEST_SUITE(worker_subset, WorkerSubsetFixture)

BOOST_AUTO_TEST_CASE(subset_grows_with_the_open_work_up_to_all) {
  WorkerPool pool = Pool(1, 240);
  Select(pool, 0);
  BOOST_TEST(InSubset(pool).size() == 8u);
  Select(pool, 5);
  BOOST_TEST(InSubset(pool).size() == 40u);
  Select(pool, 29.5);
  BOOST_TEST(InSubset(pool).size() == 236u);
  Select(pool, 1000);
  BOOST_TEST(InSubset(pool).size() == 240u);
}

BOOST_AUTO_TEST_CASE(subset_that_grew_shrinks_to_the_same_workers) {
  WorkerPool pool = Pool(1, 240);
  Select(pool, 5);
  const std::set<std::string> before = InSubset(pool);
  Select(pool, 20);
  Select(pool, 5);
  BOOST_TEST((InSubset(pool) == before));
}

BOOST_AUTO_TEST_CASE(small_fleet_is_selected_as_a_whole) {
  for (const int workers : {1, 3, 8}) {
    WorkerPool pool = Pool(1, workers);
    Select(pool, 0);
    BOOST_TEST(InSubset(pool).size() == static_cast<size_t>(workers));
  }
}

BOOST_AUTO_TEST_CASE(unusable_workers_are_replaced_at_once) {
  WorkerPool pool = Pool(1, 240);
  Select(pool, 5);
  const std::set<std::string> before = InSubset(pool);
  for (const std::string& name : before) {
    pool.Find(name)->linked = false;
  }
  clock.Advance(absl::Milliseconds(20));
  BOOST_TEST(pool.Pick("desk", kSixCores, {}, clock.now().mono) == nullptr);
  Select(pool, 5);
  size_t usable = 0;
  for (const std::string& name : InSubset(pool)) {
    usable += pool.Find(name)->Usable(clock.now().mono) ? 1 : 0;
  }
  BOOST_TEST(usable == 40u);
  BOOST_TEST(pool.Pick("desk", kSixCores, {}, clock.now().mono) != nullptr);
}

BOOST_AUTO_TEST_CASE(
    worker_outside_the_subset_is_used_while_its_report_is_fresh) {
  WorkerPool pool = Pool(1, 240);
  Select(pool, 0);
  std::set<std::string> selected = InSubset(pool);
  std::string other;
  for (const auto& [name, worker] : pool.workers()) {
    other = worker.in_subset ? other : name;
  }
  BOOST_TEST(pool.Find(other)->HasFreshStatus(clock.now().mono));
  clock.Advance(absl::Milliseconds(20));
  BOOST_TEST(!pool.Find(other)->HasFreshStatus(clock.now().mono));
}

// The subsets of entries that together use three quarters of the fleet cover
// nearly all of it, and no worker is in the subsets of many entries.
BOOST_AUTO_TEST_CASE(entries_together_cover_the_fleet_evenly) {
  const std::pair<int, int> fleets[] = {
      {3, 11}, {5, 20}, {12, 240}, {55, 240}, {60, 1338}};
  for (const auto& [entries, workers] : fleets) {
    std::map<std::string, int> entries_of;
    for (int entry = 1; entry <= entries; ++entry) {
      WorkerPool pool = Pool(static_cast<uint64_t>(entry), workers);
      Select(pool, 0.75 * workers / entries);
      for (const std::string& name : InSubset(pool)) {
        ++entries_of[name];
      }
    }
    int most = 0;
    for (const auto& [name, count] : entries_of) {
      most = std::max(most, count);
    }
    BOOST_TEST(static_cast<double>(entries_of.size()) >= 0.98 * workers,
               entries << " entries, " << workers
                       << " workers: " << entries_of.size() << " in a subset");
    BOOST_TEST(most <= 20, entries << " entries, " << workers << " workers");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
