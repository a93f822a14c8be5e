// Searches combinations of faults in virtual time, and prints each that
// violates an invariant as the command that plays it again:
//
//   build/fault_search                              # up to 2 faults, 150 ms
//   build/fault_search --step-ms 300 --part 0/2     # one half of the plays
//   build/fault_search --depth 3 --kinds reset-caller,pause-entry-0
//   build/fault_search --play "reset-caller-unnoticed@350,cut-entries-400@800"
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "cxxopts.hpp"
#include "fault_search.h"

namespace {

using egretswitch::internal::FaultSearch;
using egretswitch::internal::FaultSearchOptions;
using egretswitch::internal::PlayWorld;
using egretswitch::internal::RunWorld;
using egretswitch::internal::SearchedFaults;

int UserError(const std::string& text) {
  std::cerr << "user error: " << text << "\n";
  return 2;
}

cxxopts::Options Options() {
  cxxopts::Options options("fault_search", "all combinations of faults");
  options.add_options()("depth", "the most faults of one play",
                        cxxopts::value<int>()->default_value("2"))(
      "step-ms", "between two moments of the grid",
      cxxopts::value<int64_t>()->default_value("150"))(
      "first-ms", "first moment, after the first submission",
      cxxopts::value<int64_t>()->default_value("-100"))(
      "last-ms", "last moment, after the first submission",
      cxxopts::value<int64_t>()->default_value("3000"))(
      "kinds", "faults whose names start so; all by default",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "containing", "plays with a fault whose name starts so; all by default",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "except", "no fault whose name starts so",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "work-ms", "of the job's task",
      cxxopts::value<int64_t>()->default_value("1600"))(
      "seed", "of the delays of starts",
      cxxopts::value<uint64_t>()->default_value("1"))(
      "part", "PART/PARTS of the plays, from 0",
      cxxopts::value<std::string>()->default_value("0/1"))(
      "play", "plays this combination, and traces it",
      cxxopts::value<std::string>())("list", "prints the names of the faults")(
      "help", "print this text");
  return options;
}

int Replay(const std::string& text, const PlayWorld& in) {
  const std::optional<FaultSearch::Play> play = FaultSearch::ParsePlay(text);
  if (!play.has_value()) {
    return UserError("no play: " + text);
  }
  const std::unique_ptr<RunWorld> world =
      FaultSearch::Played(*play, in, /*traced=*/true);
  std::cout << "submitted first at " << FaultSearch::kSubmittedAt / 1000
            << " ms\n";
  for (const std::string& line : world->fault_log()) {
    std::cout << "  " << line << "\n";
  }
  for (const std::string& line : world->violations()) {
    std::cout << "  violated: " << line << "\n";
  }
  const bool broken = !world->violations().empty();
  std::cout << "fault_search: 1 plays, " << (broken ? 1 : 0) << " broken\n";
  return broken ? EXIT_FAILURE : EXIT_SUCCESS;
}

int Search(const FaultSearchOptions& options) {
  FaultSearch search(options);
  search.Run([&options](const FaultSearch::Play& play) {
    std::cout << "build/fault_search --seed " << options.world.seed
              << " --work-ms " << options.world.work_ms << " --play \""
              << FaultSearch::PlayText(play) << "\"" << std::endl;
  });
  std::cout << "fault_search: " << search.plays() << " plays, "
            << search.broken() << " broken\n";
  return search.broken() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

std::vector<std::string> NamesOf(const cxxopts::ParseResult& arguments,
                                 const std::string& option) {
  auto names = arguments[option].as<std::vector<std::string>>();
  std::erase(names, "");
  return names;
}

FaultSearchOptions SearchOf(const cxxopts::ParseResult& arguments) {
  FaultSearchOptions search;
  search.depth = arguments["depth"].as<int>();
  search.step_ms = arguments["step-ms"].as<int64_t>();
  search.first_ms = arguments["first-ms"].as<int64_t>();
  search.last_ms = arguments["last-ms"].as<int64_t>();
  search.kinds = NamesOf(arguments, "kinds");
  search.containing = NamesOf(arguments, "containing");
  search.except = NamesOf(arguments, "except");
  search.world = {.seed = arguments["seed"].as<uint64_t>(),
                  .work_ms = arguments["work-ms"].as<int64_t>()};
  const std::pair<std::string, std::string> part =
      absl::StrSplit(arguments["part"].as<std::string>(), '/');
  if (!absl::SimpleAtoi(part.first, &search.part) ||
      !absl::SimpleAtoi(part.second, &search.parts)) {
    search.parts = 0;  // no bounds
  }
  return search;
}

int Run(int argc, char** argv) {
  cxxopts::Options options = Options();
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") != 0) {
    std::cout << options.help();
    return EXIT_SUCCESS;
  }
  if (arguments.count("list") != 0) {
    for (const auto& fault : SearchedFaults()) {
      std::cout << fault.name << "\n";
    }
    return EXIT_SUCCESS;
  }
  const FaultSearchOptions search = SearchOf(arguments);
  if (arguments.count("play") != 0) {
    return Replay(arguments["play"].as<std::string>(), search.world);
  }
  if (search.part >= search.parts || search.step_ms <= 0 || search.depth < 0 ||
      search.first_ms * 1000 < -FaultSearch::kSubmittedAt) {
    return UserError("see --help for the bounds of a search");
  }
  return Search(search);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    return UserError(error.what());
  }
}
