// The eight points hold in every fault-free scenario and in a sample of the
// fault matrix: each fault at every kEvery-th step, and seeded pairs.
//
// `fault_matrix --cells --every 1` runs all cells; each failing cell prints
// the command that replays it.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <thread>
#include <vector>

#include "fault_matrix.h"

namespace egretswitch::internal {
namespace {

constexpr uint64_t kSeed = 1;
constexpr uint64_t kEvery = 25;
constexpr uint64_t kPairs = 1500;
constexpr size_t kShown = 10;

struct MatrixFixture {
  // At most half of the machine, and no more than six.
  uint32_t threads =
      std::clamp(std::thread::hardware_concurrency() / 2, 1u, 6u);

  void RunAll(const std::vector<Cell>& cells) {
    const MatrixResult result = RunCells(cells, threads);
    BOOST_TEST_MESSAGE("cells " << result.cells << ", faults injected "
                                << result.faults_injected << ", jobs "
                                << result.jobs << ", complete "
                                << result.jobs_complete);
    const size_t shown = std::min(kShown, result.failures.size());
    for (size_t i = 0; i < shown; ++i) {
      BOOST_ERROR(FailureText(result.failures[i]));
    }
    BOOST_TEST(result.failures.size() == 0u);
  }
};

BOOST_FIXTURE_TEST_SUITE(FaultMatrix, MatrixFixture)

BOOST_AUTO_TEST_CASE(EachScenario_WithoutFault_CompletesEveryJob) {
  for (const Scenario& scenario : AllScenarios()) {
    const CellResult result = RunCell({&scenario, kSeed, {}});
    BOOST_TEST_CONTEXT(scenario.name) {
      for (const Violation& violation : result.violations) {
        BOOST_ERROR("point " << violation.point << ": " << violation.what);
      }
      BOOST_TEST(result.figures.jobs_complete + result.figures.jobs_cancelled >=
                 result.figures.jobs);
    }
  }
}

BOOST_AUTO_TEST_CASE(OneFault_AtSampledSteps_HoldsEveryPoint) {
  std::vector<Cell> cells;
  for (const Scenario& scenario : AllScenarios()) {
    const auto more = SingleFaultCells(scenario, kSeed, kEvery);
    cells.insert(cells.end(), more.begin(), more.end());
  }
  RunAll(cells);
}

BOOST_AUTO_TEST_CASE(TwoFaults_SeededPairs_HoldEveryPoint) {
  RunAll(PairCells(kPairs, kSeed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
