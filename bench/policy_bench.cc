// Compares ways of placing and ordering tasks on the same arrivals: two usual
// policies, a reference that can't be built, and our own nodes.
//
//   policy_bench --seeds 3 --seconds 20 --csv policy.csv --svg policy.svg
//   policy_bench --deployment ramdewar --load 0.95 --trouble homogeneous -v
#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "policy_node_driver.h"
#include "policy_plot.h"
#include "policy_queue_models.h"
#include "policy_report.h"

namespace egretswitch::bench {
namespace {

constexpr int kExitUserError = 2;
constexpr Trouble kTroubles[] = {Trouble::kStraggler, Trouble::kFailingWorker,
                                 Trouble::kWrongDeclarations, Trouble::kBursts};

struct BenchOptions {
  std::string deployment;  // empty: both
  double load = 0;         // 0: all
  std::string trouble;     // empty: all
  uint64_t seeds = 3;
  uint64_t first_seed = 1;
  double seconds = 20;
  uint32_t threads = 4;
  std::string csv;
  std::string svg;
  bool details = false;
};

// One workload for every policy.
struct Cell {
  const Deployment* deployment;
  Condition condition;
  uint64_t seed;
};

constexpr const char* kPolicies[] = {"random_worker", "two_choices",
                                     "central_queue", "egretswitch"};
constexpr size_t kPolicyCount = std::size(kPolicies);

std::vector<Condition> AllConditions() {
  std::vector<Condition> conditions;
  for (const double load : {0.5, 0.8, 0.95, 1.5}) {
    conditions.push_back({load, Trouble::kNone});
  }
  for (const Trouble trouble : kTroubles) {
    conditions.push_back({trouble == Trouble::kBursts ? 0.5 : 0.8, trouble});
  }
  for (const double load : {0.8, 0.95}) {
    conditions.push_back({load, Trouble::kWeightedRows});
  }
  conditions.push_back({2.4, Trouble::kContention});
  return conditions;
}

std::vector<Cell> CellsOf(const BenchOptions& options) {
  std::vector<Cell> cells;
  for (const Deployment* deployment : {&kRamdewar, &kCordillera}) {
    if (!options.deployment.empty() && options.deployment != deployment->name) {
      continue;
    }
    for (const Condition& condition : AllConditions()) {
      if ((options.load != 0 && options.load != condition.load) ||
          (!options.trouble.empty() &&
           options.trouble != TroubleName(condition.trouble))) {
        continue;
      }
      for (uint64_t i = 0; i < options.seeds; ++i) {
        cells.push_back({deployment, condition, options.first_seed + i});
      }
    }
  }
  return cells;
}

std::vector<Figures> RunCell(const Cell& cell, double seconds) {
  const Workload workload =
      MakeWorkload(*cell.deployment, cell.condition, cell.seed, seconds);
  return {FiguresOf(workload, RunRandomWorker(workload, cell.seed)),
          FiguresOf(workload, RunTwoChoices(workload, cell.seed)),
          FiguresOf(workload, RunCentralQueue(workload)),
          FiguresOf(workload, RunNodes(workload, cell.seed))};
}

// The cells on several threads; each result in its cell's place.
std::vector<std::vector<Figures>> RunCells(const std::vector<Cell>& cells,
                                           const BenchOptions& options) {
  std::vector<std::vector<Figures>> results(cells.size());
  std::atomic<size_t> next = 0;
  const auto work = [&] {
    for (size_t at = next++; at < cells.size(); at = next++) {
      results[at] = RunCell(cells[at], options.seconds);
    }
  };
  std::vector<std::thread> threads;
  for (uint32_t i = 0; i < std::max(options.threads, 1u); ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return results;
}

PolicyReport ReportOn(const std::vector<Cell>& cells,
                      const std::vector<std::vector<Figures>>& results) {
  PolicyReport report;
  for (size_t at = 0; at < cells.size(); ++at) {
    for (size_t policy = 0; policy < kPolicyCount; ++policy) {
      report.Add(
          {cells[at].deployment->name, cells[at].condition, kPolicies[policy]},
          results[at][policy]);
    }
  }
  return report;
}

cxxopts::Options MakeArguments(BenchOptions& options) {
  cxxopts::Options arguments("policy_bench",
                             "Response times and messages of several policies");
  auto add = arguments.add_options();
  add("deployment", "ramdewar or cordillera; both when not given",
      cxxopts::value(options.deployment));
  add("load", "only this load, for example 0.95", cxxopts::value(options.load));
  add("trouble",
      "only homogeneous, straggler, failing_worker, wrong_declarations, "
      "bursts, "
      "weighted_rows or contention",
      cxxopts::value(options.trouble));
  add("seeds", "runs of each condition", cxxopts::value(options.seeds));
  add("seed", "the first seed", cxxopts::value(options.first_seed));
  add("seconds", "measured time of a run, virtual",
      cxxopts::value(options.seconds));
  add("threads", "runs at once", cxxopts::value(options.threads));
  add("csv", "file for the figures of each run", cxxopts::value(options.csv));
  add("svg", "file for the plot", cxxopts::value(options.svg));
  add("v,details", "messages by kind and ends by reason",
      cxxopts::value(options.details));
  add("h,help", "this text");
  return arguments;
}

int Main(const BenchOptions& options) {
  const std::vector<Cell> cells = CellsOf(options);
  if (cells.empty()) {
    std::cerr << "user error: no condition fits the choice\n";
    return kExitUserError;
  }
  const PolicyReport report = ReportOn(cells, RunCells(cells, options));
  report.WriteTable(std::cout);
  if (options.details) {
    report.WriteDetails(std::cout);
  }
  if (!options.csv.empty()) {
    std::ofstream file(options.csv);
    report.WriteCsv(file);
  }
  if (!options.svg.empty()) {
    std::ofstream file(options.svg);
    WritePlot(report, file);
  }
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace egretswitch::bench

int main(int argc, char** argv) {
  egretswitch::bench::BenchOptions options;
  auto arguments = egretswitch::bench::MakeArguments(options);
  try {
    if (arguments.parse(argc, argv).count("help") > 0) {
      std::cout << arguments.help();
      return EXIT_SUCCESS;
    }
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "user error: " << error.what() << "\n";
    return egretswitch::bench::kExitUserError;
  }
  return egretswitch::bench::Main(options);
}
