// Plays the faults of many seeds in virtual time and prints each that breaks a
// promise, with its faults:
//
//   build/run_faults 1 20000
//   build/run_faults 74 74 job-55      # with all that became of that job
#include <cstdlib>
#include <iostream>
#include <string>

#include "run_world.h"

int main(int argc, char** argv) {
  using egretswitch::internal::Ms;
  using egretswitch::internal::RunWorld;
  if (argc != 3 && argc != 4) {
    std::cerr << "user error: run_faults FIRST_SEED LAST_SEED [JOB]\n";
    return 2;
  }
  const uint64_t first = std::strtoull(argv[1], nullptr, 10);
  const uint64_t last = std::strtoull(argv[2], nullptr, 10);
  uint64_t broken = 0;
  for (uint64_t seed = first; seed <= last; ++seed) {
    RunWorld world({.seed = seed, .traced_job = argc == 4 ? argv[3] : ""});
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
