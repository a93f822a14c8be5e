// fault_matrix: runs many cells, or replays one.
//
//   fault_matrix --cells --every 40 --pairs 500 --threads 6
//   fault_matrix --seed 1 --scenario steady --fault freeze_entry --step 812 -v
//
// Exit status 1 when a cell fails, 2 for a wrong argument.
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "fault_matrix.h"

namespace {

using egretswitch::internal::AllScenarios;
using egretswitch::internal::Cell;
using egretswitch::internal::CellFailure;
using egretswitch::internal::CellResult;
using egretswitch::internal::FailureText;
using egretswitch::internal::FindFault;
using egretswitch::internal::FindScenario;
using egretswitch::internal::MatrixResult;
using egretswitch::internal::PairCells;
using egretswitch::internal::RunCell;
using egretswitch::internal::RunCells;
using egretswitch::internal::Scenario;
using egretswitch::internal::SingleFaultCells;

constexpr int kWrongArgument = 2;

cxxopts::Options MakeOptions() {
  cxxopts::Options options("fault_matrix",
                           "Every fault at every step of small scenarios.");
  auto add = options.add_options();
  add("cells", "single faults, at every --every-th step");
  add("every", "step distance between cells",
      cxxopts::value<uint64_t>()->default_value("40"));
  add("pairs", "number of cells with two faults",
      cxxopts::value<uint64_t>()->default_value("0"));
  add("threads", "cells at once",
      cxxopts::value<uint32_t>()->default_value("6"));
  add("seed", "seed of the world and of the sample",
      cxxopts::value<uint64_t>()->default_value("1"));
  add("scenario", "only this scenario", cxxopts::value<std::string>());
  add("fault", "replay: fault, once for each --step",
      cxxopts::value<std::vector<std::string>>());
  add("step", "replay: step of the fault",
      cxxopts::value<std::vector<uint64_t>>());
  add("show", "print this many failing cells",
      cxxopts::value<size_t>()->default_value("20"));
  add("v,verbose", "replay: print every event and action");
  add("h,help", "print this text");
  return options;
}

int Replay(const cxxopts::ParseResult& parsed, const Scenario& scenario) {
  Cell cell{&scenario, parsed["seed"].as<uint64_t>(), {}};
  cell.verbose = parsed.count("verbose") > 0;
  if (parsed.count("fault") > 0) {
    const auto& names = parsed["fault"].as<std::vector<std::string>>();
    const auto& steps = parsed["step"].as<std::vector<uint64_t>>();
    for (size_t i = 0; i < names.size() && i < steps.size(); ++i) {
      const auto kind = FindFault(names[i]);
      if (!kind) {
        std::cerr << "user error: unknown fault " << names[i] << "\n";
        return kWrongArgument;
      }
      cell.faults.push_back({steps[i], *kind});
    }
  }
  const CellResult result = RunCell(cell);
  std::cout << "steps " << result.figures.steps << ", jobs "
            << result.figures.jobs << ", complete "
            << result.figures.jobs_complete << ", cancelled "
            << result.figures.jobs_cancelled << "\n";
  if (result.violations.empty()) {
    std::cout << "no violation\n";
    return 0;
  }
  std::cout << FailureText({cell, result.violations});
  return 1;
}

// Failing cells by point, then the first ones in full.
int Report(const MatrixResult& result, size_t show) {
  std::map<int, size_t> by_point;
  for (const CellFailure& failure : result.failures) {
    std::map<int, bool> seen;
    for (const auto& violation : failure.violations) {
      by_point[violation.point] += seen.emplace(violation.point, true).second;
    }
  }
  for (size_t i = 0; i < result.failures.size() && i < show; ++i) {
    std::cout << FailureText(result.failures[i]);
  }
  for (const auto& [point, cells] : by_point) {
    std::cout << "point " << point << ": " << cells << " failing cells\n";
  }
  std::cout << "cells " << result.cells << ", faults injected "
            << result.faults_injected << ", jobs " << result.jobs
            << ", complete " << result.jobs_complete << ", failing cells "
            << result.failures.size() << "\n";
  return result.failures.empty() ? 0 : 1;
}

int RunMatrix(const cxxopts::ParseResult& parsed) {
  const uint64_t seed = parsed["seed"].as<uint64_t>();
  std::vector<Cell> cells;
  if (parsed.count("cells") > 0) {
    for (const Scenario& scenario : AllScenarios()) {
      if (parsed.count("scenario") == 0 ||
          parsed["scenario"].as<std::string>() == scenario.name) {
        const auto more =
            SingleFaultCells(scenario, seed, parsed["every"].as<uint64_t>());
        cells.insert(cells.end(), more.begin(), more.end());
      }
    }
  }
  const auto pairs = PairCells(parsed["pairs"].as<uint64_t>(), seed);
  cells.insert(cells.end(), pairs.begin(), pairs.end());
  return Report(RunCells(cells, parsed["threads"].as<uint32_t>()),
                parsed["show"].as<size_t>());
}

int Run(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  if (parsed.count("cells") > 0 || parsed["pairs"].as<uint64_t>() > 0) {
    return RunMatrix(parsed);
  }
  const Scenario* scenario =
      parsed.count("scenario") > 0
          ? FindScenario(parsed["scenario"].as<std::string>())
          : nullptr;
  if (scenario == nullptr) {
    std::cerr << "user error: --scenario must be one of:";
    for (const Scenario& known : AllScenarios()) {
      std::cerr << " " << known.name;
    }
    std::cerr << "\n";
    return kWrongArgument;
  }
  return Replay(parsed, *scenario);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "user error: " << error.what() << "\n";
    return kWrongArgument;
  }
}
