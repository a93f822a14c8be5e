// Runs the faults of many seeds in virtual time, and prints each seed that
// violates an invariant, with its faults:
//
//   build/run_faults 1 20000
//   build/run_faults 74 74 job-55      # traces that job
//   build/run_faults 1 2000 --evacuations 3
//   build/run_faults 1 2000 --silent-links 12
//   build/run_faults 1 2000 --same-worker-ids --max-lease-ms 15000
//   build/run_faults 1 2000 --cancels 30
//   build/run_faults 1 2000 --cancels 30 --late-copies 3 --entry-stops 1
//   build/run_faults 1 2000 --cancels 30 --late-copies 3 --all-entries-lost 2
//   build/run_faults 1 2000 --connection-resets 6
//   build/run_faults 1 2000 --connection-resets 6 --lost-departures 50
//   build/run_faults 1 2000 --failing-jobs --faults 4
//   build/run_faults 1 2000 --spells 5 --unanswered-periods 3
//       --late-departures 6 --slow-stops --slow-calls --refused-starts 20
//   build/run_faults 1 100 --entries 12 --agents 60 --faults 0
//       --reset-series 12 --long-jobs 1200
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "cxxopts.hpp"
#include "long_jobs.h"
#include "run_world.h"

namespace {

int Run(int argc, char** argv) {
  using egretswitch::internal::JobPlan;
  using egretswitch::internal::LongJobsBesideFailingOnes;
  using egretswitch::internal::LongJobsBesideShortOnes;
  using egretswitch::internal::Ms;
  using egretswitch::internal::RunWorld;
  cxxopts::Options options("run_faults", "random faults, by seeds");
  options.add_options()("first", "first seed", cxxopts::value<uint64_t>())(
      "last", "last seed", cxxopts::value<uint64_t>())(
      "job", "job to trace", cxxopts::value<std::string>()->default_value(""))(
      "evacuations", "of data centres, in each seed",
      cxxopts::value<int>()->default_value("0"))(
      "silent-links", "in each seed",
      cxxopts::value<int>()->default_value("0"))(
      "cancels", "of jobs, in each seed",
      cxxopts::value<int>()->default_value("0"))(
      "late-copies", "of each cancelled job's submission",
      cxxopts::value<int>()->default_value("0"))(
      "entry-stops", "planned, of all entries in turn, in each seed",
      cxxopts::value<int>()->default_value("0"))(
      "all-entries-lost", "at once, in each seed",
      cxxopts::value<int>()->default_value("0"))(
      "connection-resets", "of an entry with its callers, in each seed",
      cxxopts::value<int>()->default_value("0"))(
      "reset-series", "of an entry, beside planned stops and kills",
      cxxopts::value<int>()->default_value("0"))(
      "spells", "of 2 to 5 faults within 1.6 s, in each seed",
      cxxopts::value<int>()->default_value("0"))(
      "unanswered-periods", "of calls to all workers, in each seed",
      cxxopts::value<int>()->default_value("0"))(
      "late-departures", "of callers from frozen entries, in each seed",
      cxxopts::value<int>()->default_value("0"))(
      "lost-departures", "percent of the callers that leave unnoticed",
      cxxopts::value<int>()->default_value("0"))(
      "slow-stops", "a stop takes up to 50 ms",
      cxxopts::value<bool>()->default_value("false"))(
      "slow-calls", "an answered call takes up to 120 ms",
      cxxopts::value<bool>()->default_value("false"))(
      "refused-starts", "percent of the start calls",
      cxxopts::value<int>()->default_value("0"))(
      "entries", "of the deployment",
      cxxopts::value<int>()->default_value("3"))(
      "agents", "of the deployment", cxxopts::value<int>()->default_value("4"))(
      "long-jobs", "jobs of which one in 12 has tasks of 3 s; 0: drawn ones",
      cxxopts::value<int>()->default_value("0"))(
      "failing-jobs", "beside long ones, in quiet times, instead of drawn jobs",
      cxxopts::value<bool>()->default_value("false"))(
      "faults", "in each seed", cxxopts::value<int>()->default_value("14"))(
      "same-worker-ids", "workers start again under their former ids",
      cxxopts::value<bool>()->default_value("false"))(
      "max-lease-ms", "the longest lease that workers grant",
      cxxopts::value<int64_t>()->default_value("1000"))("help",
                                                        "print this text");
  options.parse_positional({"first", "last", "job"});
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") != 0) {
    std::cout << options.help();
    return EXIT_SUCCESS;
  }
  if (arguments.count("last") == 0) {
    std::cerr
        << "user error: run_faults FIRST_SEED LAST_SEED [JOB] "
           "[--evacuations N] "
           "[--silent-links N] [--cancels N] [--late-copies N] "
           "[--entry-stops N] [--all-entries-lost N] "
           "[--connection-resets N] "
           "[--reset-series N] [--spells N] [--unanswered-periods N] "
           "[--late-departures N] [--lost-departures PERCENT] [--slow-stops] "
           "[--slow-calls] "
           "[--refused-starts PERCENT] [--entries N] [--agents N] "
           "[--long-jobs N] [--failing-jobs] [--faults N] [--same-worker-ids] "
           "[--max-lease-ms N]\n";
    return 2;
  }
  const auto first = arguments["first"].as<uint64_t>();
  const auto last = arguments["last"].as<uint64_t>();
  uint64_t broken = 0;
  std::vector<JobPlan> plans;
  if (arguments["failing-jobs"].as<bool>()) {
    plans = LongJobsBesideFailingOnes();
  }
  if (const int jobs = arguments["long-jobs"].as<int>(); jobs > 0) {
    plans = LongJobsBesideShortOnes(
        {.jobs = jobs, .period = Ms(12'000) / jobs, .long_one_in = 12});
  }
  for (uint64_t seed = first; seed <= last; ++seed) {
    RunWorld world(
        {.seed = seed,
         .entries = arguments["entries"].as<int>(),
         .agents = arguments["agents"].as<int>(),
         .faults = arguments["faults"].as<int>(),
         .evacuations = arguments["evacuations"].as<int>(),
         .unresponsive_links = arguments["silent-links"].as<int>(),
         .cancels = arguments["cancels"].as<int>(),
         .late_copies = arguments["late-copies"].as<int>(),
         .entry_stops = arguments["entry-stops"].as<int>(),
         .all_entries_lost = arguments["all-entries-lost"].as<int>(),
         .connection_resets = arguments["connection-resets"].as<int>(),
         .reset_series = arguments["reset-series"].as<int>(),
         .spells = arguments["spells"].as<int>(),
         .unanswered_periods = arguments["unanswered-periods"].as<int>(),
         .late_departures = arguments["late-departures"].as<int>(),
         .lost_departures = arguments["lost-departures"].as<int>(),
         .slow_stops = arguments["slow-stops"].as<bool>(),
         .slow_calls = arguments["slow-calls"].as<bool>(),
         .refused_starts = arguments["refused-starts"].as<int>(),
         .traced_job = arguments["job"].as<std::string>(),
         .same_worker_ids = arguments["same-worker-ids"].as<bool>(),
         .max_lease_ms = arguments["max-lease-ms"].as<int64_t>(),
         .plans = plans});
    world.Run(Ms(25'000));
    if (world.violations().empty()) {
      continue;
    }
    ++broken;
    std::cout << "seed " << seed << "\n";
    for (const std::string& line : world.fault_log()) {
      std::cout << "  " << line << "\n";
    }
    for (const std::string& line : world.violations()) {
      std::cout << "  violated: " << line << "\n";
    }
  }
  std::cout << "run_faults: " << last - first + 1 << " seeds, " << broken
            << " broken\n";
  return broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "user error: " << error.what() << "\n";
    return 2;
  }
}
