// Every fault at every step: runs a scenario again and again, each time with
// faults at other steps, and checks each run's history.
//
//   RunCell({FindScenario("steady"), 1, {{812, FaultKind::kFreezeEntry}}})
//
// A cell is decided by its scenario, seed, steps and faults alone, so
// ReplayCommand() names everything that is needed to see it again.
#ifndef EGRETSWITCH_TEST_FAULT_MATRIX_H_
#define EGRETSWITCH_TEST_FAULT_MATRIX_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "fault_plan.h"
#include "history_checker.h"
#include "scenario.h"

namespace egretswitch::internal {

struct PlannedFault {
  uint64_t step = 0;
  FaultKind kind = FaultKind::kKillEntry;
};

struct Cell {
  const Scenario* scenario = nullptr;
  uint64_t seed = 1;
  std::vector<PlannedFault> faults;
  bool verbose = false;
};

// What became of the jobs that were submitted before the tail.
struct CellFigures {
  uint64_t steps = 0;  // until the scenario's end
  uint32_t faults_injected = 0;
  uint32_t jobs = 0;
  uint32_t jobs_complete = 0;
  uint32_t jobs_cancelled = 0;
};

struct CellResult {
  std::vector<Violation> violations;
  CellFigures figures;
};

struct CellFailure {
  Cell cell;
  std::vector<Violation> violations;
};

struct MatrixResult {
  uint64_t cells = 0;
  uint64_t faults_injected = 0;
  uint64_t jobs = 0;
  uint64_t jobs_complete = 0;
  std::vector<CellFailure> failures;
};

CellResult RunCell(const Cell& cell);

// Every fault at every `every`-th step of the scenario; the first step differs
// from fault to fault, so that a sparse sample still covers all of them.
std::vector<Cell> SingleFaultCells(const Scenario& scenario,
                                   uint64_t seed,
                                   uint64_t every);

// `count` cells with two faults each, drawn from `seed` over all scenarios.
std::vector<Cell> PairCells(uint64_t count, uint64_t seed);

// Runs the cells on that many threads.
MatrixResult RunCells(absl::Span<const Cell> cells, uint32_t threads);

std::string ReplayCommand(const Cell& cell);

// One line for each violated point of the cell and the command that replays it.
std::string FailureText(const CellFailure& failure);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_FAULT_MATRIX_H_
