#include "fault_matrix.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstring>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <variant>

namespace egretswitch::internal {
namespace {

constexpr VirtualUs kTailAfter = Ms(20'000);
constexpr VirtualUs kTailDeadline = Ms(5'000);
constexpr VirtualUs kTailLength = Ms(8'000);

// The cell that this thread runs, for the handler of a crash.
thread_local char g_current_cell[512] = "";

void PrintCellAndDie(int signal) {
  const char text[] = "crashed in: ";
  // Nothing can be done about a failed write while crashing.
  if (write(STDERR_FILENO, text, sizeof(text) - 1) < 0 ||
      write(STDERR_FILENO, g_current_cell, std::strlen(g_current_cell)) < 0 ||
      write(STDERR_FILENO, "\n", 1) < 0) {
    _exit(1);
  }
  std::signal(signal, SIG_DFL);
  std::raise(signal);
}

void NameCurrentCell(const Cell& cell) {
  const std::string command = ReplayCommand(cell);
  std::strncpy(g_current_cell, command.c_str(), sizeof(g_current_cell) - 1);
  std::signal(SIGABRT, PrintCellAndDie);
  std::signal(SIGSEGV, PrintCellAndDie);
}

// Injects the planned faults in their order, each at the first step that has
// at least its number, after a drawn number of that step's actions.
class FaultInjector {
 public:
  FaultInjector(FakeWorld& world, std::vector<PlannedFault> faults)
      : m_world(world), m_faults(std::move(faults)) {
    std::sort(m_faults.begin(), m_faults.end(),
              [](const PlannedFault& a, const PlannedFault& b) {
                return a.step < b.step;
              });
  }

  Interruption OnStep(const Step& step) {
    if (m_next == m_faults.size() || step.number < m_faults[m_next].step) {
      return {};
    }
    const FaultKind kind = m_faults[m_next++].kind;
    const int64_t actions = static_cast<int64_t>(step.actions);
    return {static_cast<size_t>(m_world.time().Random(0, actions)),
            [this, kind, process = step.process] {
              InjectFault(m_world, kind, process);
            }};
  }

  uint32_t injected() const { return m_next; }

 private:
  FakeWorld& m_world;
  std::vector<PlannedFault> m_faults;
  uint32_t m_next = 0;
};

// New work through every entry after all faults have healed.
void RunTail(FakeWorld& world, VirtualUs scenario_end) {
  for (VirtualUs until = -1; until < world.time().now();) {
    until = std::max(scenario_end, world.healed_by()) + kTailAfter;
    world.RunUntil(until);
    if (until == std::max(scenario_end, world.healed_by()) + kTailAfter) {
      break;
    }
  }
  for (uint32_t i = 0; i < world.entries().size(); ++i) {
    JobPlan plan;
    plan.id = "tail-" + std::to_string(i);
    plan.run_ms = {60, 60, 60};
    plan.entry = i;
    plan.deadline_after = kTailDeadline;
    world.callers().Submit(plan, true);
  }
  world.RunUntil(world.time().now() + kTailLength);
}

CellFigures FiguresOf(const History& history) {
  CellFigures figures;
  std::map<SubmissionKey, bool> complete;
  for (const RequestRecord& request : history.requests) {
    if (request.answers > 0 &&
        std::holds_alternative<JobAnswer>(request.outcome)) {
      complete[request.key] = true;
    }
  }
  for (const auto& [key, job] : history.jobs) {
    if (!job.in_tail) {
      ++figures.jobs;
      figures.jobs_complete += complete.contains(key) ? 1 : 0;
      figures.jobs_cancelled += job.cancelled != kNever ? 1 : 0;
    }
  }
  return figures;
}

}  // namespace

CellResult RunCell(const Cell& cell) {
  NameCurrentCell(cell);
  const Scenario& scenario = *cell.scenario;
  FakeWorld world(scenario.size, cell.seed, scenario.kinds);
  if (cell.verbose) {
    world.SetVerbose();
  }
  FaultInjector injector(world, cell.faults);
  world.SetStepHook(
      [&injector](const Step& step) { return injector.OnStep(step); });
  world.Play(scenario);
  world.RunUntil(scenario.end);
  world.SetStepHook({});
  const uint64_t steps = world.steps();
  RunTail(world, scenario.end);
  const History& history = world.Finish();
  CellResult result{CheckHistory(history), FiguresOf(history)};
  result.figures.steps = steps;
  result.figures.faults_injected = injector.injected();
  return result;
}

std::vector<Cell> SingleFaultCells(const Scenario& scenario,
                                   uint64_t seed,
                                   uint64_t every) {
  const uint64_t steps = RunCell({&scenario, seed, {}}).figures.steps;
  const std::vector<FaultKind> faults = AllFaults();
  std::vector<Cell> cells;
  for (size_t i = 0; i < faults.size(); ++i) {
    const uint64_t first = 1 + i * every / faults.size();
    for (uint64_t step = first; step <= steps; step += every) {
      cells.push_back({&scenario, seed, {{step, faults[i]}}});
    }
  }
  return cells;
}

std::vector<Cell> PairCells(uint64_t count, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<uint64_t> steps;
  for (const Scenario& scenario : AllScenarios()) {
    steps.push_back(RunCell({&scenario, seed, {}}).figures.steps);
  }
  const std::vector<FaultKind> faults = AllFaults();
  std::vector<Cell> cells;
  for (uint64_t i = 0; i < count; ++i) {
    const size_t chosen = random() % AllScenarios().size();
    Cell cell{&AllScenarios()[chosen], seed, {}};
    for (int fault = 0; fault < 2; ++fault) {
      cell.faults.push_back(
          {1 + random() % steps[chosen], faults[random() % faults.size()]});
    }
    cells.push_back(std::move(cell));
  }
  return cells;
}

MatrixResult RunCells(absl::Span<const Cell> cells, uint32_t threads) {
  MatrixResult total;
  std::mutex mutex;
  std::atomic<size_t> next = 0;
  const auto work = [&] {
    for (size_t i = next++; i < cells.size(); i = next++) {
      CellResult result = RunCell(cells[i]);
      const std::lock_guard lock(mutex);
      ++total.cells;
      total.faults_injected += result.figures.faults_injected;
      total.jobs += result.figures.jobs;
      total.jobs_complete += result.figures.jobs_complete;
      if (!result.violations.empty()) {
        total.failures.push_back({cells[i], std::move(result.violations)});
      }
    }
  };
  std::vector<std::thread> pool;
  for (uint32_t i = 0; i < threads; ++i) {
    pool.emplace_back(work);
  }
  for (std::thread& thread : pool) {
    thread.join();
  }
  return total;
}

std::string ReplayCommand(const Cell& cell) {
  std::string command = "fault_matrix --seed " + std::to_string(cell.seed) +
                        " --scenario " + cell.scenario->name;
  for (const PlannedFault& fault : cell.faults) {
    command += " --fault " + std::string(FaultName(fault.kind)) + " --step " +
               std::to_string(fault.step);
  }
  return command;
}

std::string FailureText(const CellFailure& failure) {
  std::string text;
  for (const Violation& violation : failure.violations) {
    text += "point " + std::to_string(violation.point) + ": " + violation.what +
            "\n";
  }
  return text + "  replay: " + ReplayCommand(failure.cell) + "\n";
}

}  // namespace egretswitch::internal
