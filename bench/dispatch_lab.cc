// Simulates entries and agents under load scenarios in virtual time and prints
// the served share of the load, beside that of an ideal queue with complete
// information:
//
//   build/dispatch_lab bench/scenarios/burst.yaml --seeds 3
//   build/dispatch_lab bench/scenarios/*.yaml --off repeats_last
//   build/dispatch_lab bench/scenarios/burst.yaml --windows 2000
//
// All figures except counts are shares of the worth of the jobs that arrived in
// the scenario's windows: 1 means that all of them completed on time.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "cxxopts.hpp"
#include "dispatch_policy.h"
#include "ideal_queue.h"
#include "load_scenario_yaml.h"

namespace egretswitch::internal {
namespace {

constexpr VirtualUs kWindow = Ms(2000);
constexpr IdealOrder kOrders[] = {IdealOrder::kArrival, IdealOrder::kPriority,
                                  IdealOrder::kWorth};

// Results of one simulation, for the scenario's windows.
struct Figures {
  double served = 0;
  std::vector<double> by_kind;
  std::vector<double> ideal;
  double worst_window = 0;
  // Served share of a kind's largest tenth over that of the kind; the lowest
  // of all kinds.
  double largest_tenth = 0;
  double answered = 0;  // jobs, a share of those that arrived
  double late = 0;      // jobs, percent of those that arrived
  double refused = 0;
  double failed = 0;
  double refused_after_ms = 0;  // median
  double refused_starts = 0;    // for lack of capacity, percent of all starts
  double messages = 0;          // per started task
  double bytes = 0;             // of these messages, per started task
  double busy = 0;              // of the processors
  // Of all entries together, for the cancels of the scenario.
  double cancels = 0;
  double cancels_acknowledged = 0;
  double cancel_us = 0;        // processor time of a cancel
  double cancel_share = 0;     // of an entry's time while they are sent
  double cancel_messages = 0;  // of a cancel
};

double Mean(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) {
    sum += value;
  }
  return sum / static_cast<double>(values.size());
}

double ShareOf(const std::vector<LoadJob>& jobs,
               const std::vector<double>& earned,
               VirtualUs from,
               VirtualUs to) {
  double total = 0;
  double worth_earned = 0;
  for (size_t i = 0; i < jobs.size(); ++i) {
    if (jobs[i].plan.at >= from && jobs[i].plan.at < to) {
      total += jobs[i].worth;
      worth_earned += earned[i];
    }
  }
  return total == 0 ? 1 : worth_earned / total;
}

// The share of a kind's largest tenth of jobs that was served on time, over the
// share for the whole kind.
double LargestTenth(const LabScenario& scenario,
                    const std::vector<LoadJob>& jobs,
                    const RunWorld& world,
                    int kind) {
  std::vector<std::pair<double, bool>> sizes;
  for (size_t i = 0; i < jobs.size(); ++i) {
    const LoadJob& job = jobs[i];
    if (job.kind == kind && job.plan.at >= scenario.from &&
        job.plan.at < scenario.to) {
      const JobOutcome outcome = world.OutcomeOf(static_cast<int>(i));
      sizes.push_back({job.CoreSeconds(), WorthOf(job, outcome) == job.worth});
    }
  }
  std::sort(sizes.begin(), sizes.end());
  const auto served = [](auto from, auto to) {
    const auto count =
        std::count_if(from, to, [](const auto& size) { return size.second; });
    return static_cast<double>(count) /
           static_cast<double>(std::max<ptrdiff_t>(1, to - from));
  };
  const auto tenth = static_cast<ptrdiff_t>(sizes.size() / 10);
  const double all = served(sizes.begin(), sizes.end());
  return all == 0 ? 1 : served(sizes.end() - tenth, sizes.end()) / all;
}

void CountOutcomes(const LabScenario& scenario,
                   const std::vector<LoadJob>& jobs,
                   const RunWorld& world,
                   Figures& figures) {
  std::vector<double> waits;
  int arrived = 0;
  for (size_t i = 0; i < jobs.size(); ++i) {
    const LoadJob& job = jobs[i];
    if (job.plan.at < scenario.from || job.plan.at >= scenario.to) {
      continue;
    }
    ++arrived;
    const JobOutcome outcome = world.OutcomeOf(static_cast<int>(i));
    if (outcome.verdict == JobVerdict::kNotRun) {
      ++figures.refused;
      waits.push_back(static_cast<double>(outcome.ended_at - job.plan.at) /
                      1000);
    } else if (outcome.verdict != JobVerdict::kCompleted) {
      ++figures.failed;
    } else if (WorthOf(job, outcome) < job.worth) {
      ++figures.late;
    }
  }
  for (double* count : {&figures.refused, &figures.failed, &figures.late}) {
    *count *= 100.0 / std::max(1, arrived);
  }
  figures.answered = 1 - (figures.refused + figures.failed) / 100;
  if (!waits.empty()) {
    std::nth_element(waits.begin(), waits.begin() + waits.size() / 2,
                     waits.end());
    figures.refused_after_ms = waits[waits.size() / 2];
  }
}

void CountRuns(const LabScenario& scenario,
               const RunWorld& world,
               Figures& figures) {
  double starts = 0;
  double refused_starts = 0;
  for (int entry = 0; entry < scenario.load.entries; ++entry) {
    const RunCounters& counters = world.CountersOf(entry);
    starts += static_cast<double>(counters.Get(RunCounter::kRunsStarted));
    refused_starts +=
        static_cast<double>(counters.Get(RunCounter::kRetriesNoRoom));
  }
  figures.refused_starts = 100 * refused_starts / std::max(1.0, starts);
  const double started = std::max(1.0, starts - refused_starts);
  figures.messages = static_cast<double>(world.messages()) / started;
  figures.bytes = static_cast<double>(world.bytes()) / started;
}

void CountCancels(const LabScenario& scenario,
                  const RunWorld& world,
                  Figures& figures) {
  figures.cancels = world.cancels();
  figures.cancels_acknowledged = world.cancels_acknowledged();
  if (world.cancels() == 0) {
    return;
  }
  const double us = absl::ToDoubleMicroseconds(world.cancel_cost());
  figures.cancel_us = us / world.cancels();
  figures.cancel_share = us / scenario.load.entries /
                         static_cast<double>(scenario.load.cancels.lasts);
  figures.cancel_messages =
      static_cast<double>(world.cancel_messages()) / world.cancels();
}

void PrintWindows(const LabScenario& scenario,
                  const std::vector<LoadJob>& jobs,
                  const RunWorld& world,
                  VirtualUs length) {
  const std::vector<double> ideal =
      ServeIdeally(scenario.load, jobs, IdealOrder::kPriority);
  std::cout << "  from ms  served   ideal  by kind\n";
  for (VirtualUs from = 0; from < scenario.load.lasts; from += length) {
    std::printf("  %7d  %6.3f  %6.3f", static_cast<int>(from / 1000),
                ShareServed(jobs, world, from, from + length),
                ShareOf(jobs, ideal, from, from + length));
    for (int kind = 0; kind < static_cast<int>(scenario.load.kinds.size());
         ++kind) {
      std::printf("  %6.3f",
                  ShareServed(jobs, world, from, from + length, kind));
    }
    std::printf("\n");
  }
}

Figures Simulate(const LabScenario& scenario,
                 uint64_t seed,
                 const DispatchPolicy& policy,
                 VirtualUs windows) {
  const std::vector<LoadJob> jobs = DrawJobs(scenario.load, seed);
  std::vector<double> busy;
  const auto world = SimulateLoad(scenario.load, jobs, seed, policy, &busy);
  Figures figures;
  const auto first = static_cast<ptrdiff_t>(scenario.from / kBusyStep);
  const auto last = static_cast<ptrdiff_t>(scenario.to / kBusyStep);
  figures.busy = Mean({busy.begin() + first, busy.begin() + last});
  figures.served = ShareServed(jobs, *world, scenario.from, scenario.to);
  figures.worst_window = 1;
  for (VirtualUs from = scenario.from; from < scenario.to; from += kWindow) {
    figures.worst_window = std::min(
        figures.worst_window, ShareServed(jobs, *world, from, from + kWindow));
  }
  figures.largest_tenth = 1;
  for (int kind = 0; kind < static_cast<int>(scenario.load.kinds.size());
       ++kind) {
    figures.by_kind.push_back(
        ShareServed(jobs, *world, scenario.from, scenario.to, kind));
    figures.largest_tenth = std::min(
        figures.largest_tenth, LargestTenth(scenario, jobs, *world, kind));
  }
  for (const IdealOrder order : kOrders) {
    figures.ideal.push_back(ShareOf(jobs,
                                    ServeIdeally(scenario.load, jobs, order),
                                    scenario.from, scenario.to));
  }
  CountOutcomes(scenario, jobs, *world, figures);
  CountRuns(scenario, *world, figures);
  CountCancels(scenario, *world, figures);
  if (windows > 0) {
    PrintWindows(scenario, jobs, *world, windows);
  }
  for (const std::string& violation : world->violations()) {
    std::cout << "  violated: " << violation << "\n";
  }
  return figures;
}

double Spread(const std::vector<double>& values) {
  const auto [least, most] = std::minmax_element(values.begin(), values.end());
  return *most - *least;
}

template <typename Get>
std::vector<double> Each(const std::vector<Figures>& simulations, Get get) {
  std::vector<double> values;
  for (const Figures& simulation : simulations) {
    values.push_back(get(simulation));
  }
  return values;
}

void PrintHeader(const LoadScenario& scenario) {
  std::printf("%-16s %7s %6s %6s", "scenario", "served", "spread", "worst");
  for (const LoadKind& kind : scenario.kinds) {
    std::printf(" %6s", kind.name.c_str());
  }
  for (const IdealOrder order : kOrders) {
    std::printf(" %8s", std::string(IdealOrderName(order)).c_str());
  }
  std::printf(" %6s %6s %5s %6s %6s %8s %6s %6s %6s %6s\n", "tenth", "answ.",
              "late", "refus.", "failed", "after ms", "vain", "msgs", "bytes",
              "busy");
}

void PrintRow(const LoadScenario& scenario,
              const std::vector<Figures>& simulations) {
  const auto served =
      Each(simulations, [](const Figures& f) { return f.served; });
  const auto mean = [&simulations](auto get) {
    return Mean(Each(simulations, get));
  };
  std::printf("%-16s %7.3f %6.3f %6.3f", scenario.name.c_str(), Mean(served),
              Spread(served),
              mean([](const Figures& f) { return f.worst_window; }));
  for (size_t i = 0; i < scenario.kinds.size(); ++i) {
    std::printf(" %6.3f", mean([i](const Figures& f) { return f.by_kind[i]; }));
  }
  for (size_t i = 0; i < std::size(kOrders); ++i) {
    std::printf(" %8.3f", mean([i](const Figures& f) { return f.ideal[i]; }));
  }
  std::printf(" %6.2f %6.3f %5.1f %6.1f %6.1f %8.0f %6.1f %6.3f %6.1f %6.3f\n",
              mean([](const Figures& f) { return f.largest_tenth; }),
              mean([](const Figures& f) { return f.answered; }),
              mean([](const Figures& f) { return f.late; }),
              mean([](const Figures& f) { return f.refused; }),
              mean([](const Figures& f) { return f.failed; }),
              mean([](const Figures& f) { return f.refused_after_ms; }),
              mean([](const Figures& f) { return f.refused_starts; }),
              mean([](const Figures& f) { return f.messages; }),
              mean([](const Figures& f) { return f.bytes; }),
              mean([](const Figures& f) { return f.busy; }));
  if (scenario.cancels.share > 0) {
    std::printf(
        "  cancels %.0f, acknowledged %.0f; each %.1f us of all entries and "
        "%.1f messages; %.4f of an entry's time\n",
        mean([](const Figures& f) { return f.cancels; }),
        mean([](const Figures& f) { return f.cancels_acknowledged; }),
        mean([](const Figures& f) { return f.cancel_us; }),
        mean([](const Figures& f) { return f.cancel_messages; }),
        mean([](const Figures& f) { return f.cancel_share; }));
  }
  std::fflush(stdout);
}

int Main(int argc, char** argv) {
  cxxopts::Options options("dispatch_lab",
                           "Simulates load scenarios in virtual time.");
  options.add_options()("files", "scenarios",
                        cxxopts::value<std::vector<std::string>>())(
      "first", "first seed", cxxopts::value<uint64_t>()->default_value("1"))(
      "seeds", "number of seeds",
      cxxopts::value<uint64_t>()->default_value("3"))(
      "off", "mechanism to switch off",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "on", "mechanism to switch on",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "windows", "print each window of this many milliseconds",
      cxxopts::value<int64_t>()->default_value("0"))("help", "print this text");
  options.parse_positional({"files"});
  options.positional_help("SCENARIO.yaml...");
  const cxxopts::ParseResult arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0 || arguments.count("files") == 0) {
    std::cout << options.help();
    return arguments.count("help") > 0 ? EXIT_SUCCESS : 2;
  }
  DispatchPolicy policy;
  for (const std::string& name :
       arguments["off"].as<std::vector<std::string>>()) {
    if (!name.empty() && !SwitchOff(policy, name)) {
      std::cerr << "user error: no mechanism \"" << name << "\"\n";
      return 2;
    }
  }
  for (const std::string& name :
       arguments["on"].as<std::vector<std::string>>()) {
    if (!name.empty() && !SwitchOn(policy, name)) {
      std::cerr << "user error: no mechanism \"" << name << "\"\n";
      return 2;
    }
  }
  const auto first = arguments["first"].as<uint64_t>();
  const auto seeds = arguments["seeds"].as<uint64_t>();
  PrintHeader(MixedLoad());
  for (const std::string& path :
       arguments["files"].as<std::vector<std::string>>()) {
    auto scenario = ReadLabScenario(path);
    if (!scenario.ok()) {
      std::cerr << scenario.status().message() << "\n";
      return 2;
    }
    scenario->load.count_bytes = true;
    std::vector<Figures> simulations;
    for (uint64_t seed = first; seed < first + seeds; ++seed) {
      simulations.push_back(Simulate(*scenario, seed, policy,
                                     Ms(arguments["windows"].as<int64_t>())));
    }
    PrintRow(scenario->load, simulations);
  }
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace egretswitch::internal

int main(int argc, char** argv) {
  try {
    return egretswitch::internal::Main(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "user error: " << error.what() << "\n";
    return 2;
  }
}
