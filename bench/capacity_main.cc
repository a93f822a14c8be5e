// Measures how the cost of a node grows with the size of its world, on the real
// decision objects in virtual time, and prints a line for each figure.
//
//   capacity_bench --repeats 5 --json bench/capacity_slopes.json
//   capacity_bench --family workers --family entries
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "capacity_series.h"

namespace egretswitch::internal {
namespace {

std::vector<Family> AllFamilies() {
  std::vector<Family> families;
  for (auto part : {EntryFamilies(), JobFamilies(), AgentFamilies(),
                    RecordFamilies(), CodecFamilies(), LinkFamilies()}) {
    families.insert(families.end(), part.begin(), part.end());
  }
  return families;
}

void Print(const Series& series) {
  const LineFit fit = FitLine(series);
  std::printf(
      "%-32s %12.4g %-10s a %-18s (%.4g..%.4g)  at 0: %-10.4g r2 %.4f\n",
      series.name.c_str(), fit.slope, series.unit.c_str(), series.grown.c_str(),
      fit.slope_low, fit.slope_high, fit.intercept, fit.r_squared);
  std::fflush(stdout);
}

nlohmann::json JsonOf(const Series& series) {
  const LineFit fit = FitLine(series);
  nlohmann::json points = nlohmann::json::array();
  for (const SeriesPoint& point : series.points) {
    points.push_back({{"size", point.size}, {"values", point.values}});
  }
  return {{"grown", series.grown},        {"unit", series.unit},
          {"slope", fit.slope},           {"slope_low", fit.slope_low},
          {"slope_high", fit.slope_high}, {"intercept", fit.intercept},
          {"r_squared", fit.r_squared},   {"points", points}};
}

struct Arguments {
  uint32_t repeats = 5;
  std::set<std::string> families;  // empty: all
  std::string json_file;
};

Arguments ParseArguments(int argc, char** argv) {
  cxxopts::Options options("capacity_bench",
                           "Slopes of a node's cost, for docs/CAPACITY.md");
  options.add_options()("repeats", "runs at each size",
                        cxxopts::value<uint32_t>()->default_value("5"))(
      "family", "measure only this family; may be repeated",
      cxxopts::value<std::vector<std::string>>())(
      "json", "file to write the slopes to",
      cxxopts::value<std::string>()->default_value(""))("help", "this text");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    std::exit(0);
  }
  Arguments arguments;
  arguments.repeats = std::max(1u, parsed["repeats"].as<uint32_t>());
  arguments.json_file = parsed["json"].as<std::string>();
  if (parsed.count("family") > 0) {
    for (const auto& name : parsed["family"].as<std::vector<std::string>>()) {
      arguments.families.insert(name);
    }
  }
  return arguments;
}

int Run(const Arguments& arguments) {
  nlohmann::json slopes = nlohmann::json::object();
  for (const Family& family : AllFamilies()) {
    const std::string name(family.name);
    if (!arguments.families.empty() && !arguments.families.contains(name)) {
      continue;
    }
    for (const Series& series : family.run(arguments.repeats)) {
      Print(series);
      slopes[series.name] = JsonOf(series);
      slopes[series.name]["family"] = name;
    }
  }
  if (!arguments.json_file.empty()) {
    std::ofstream file(arguments.json_file);
    file << slopes.dump(1) << "\n";
    if (!file.flush()) {
      std::cerr << "cannot write " << arguments.json_file << "\n";
      return 1;
    }
  }
  return 0;
}

}  // namespace
}  // namespace egretswitch::internal

int main(int argc, char** argv) {
  try {
    return egretswitch::internal::Run(
        egretswitch::internal::ParseArguments(argc, argv));
  } catch (const std::exception& error) {
    std::cerr << "capacity_bench: " << error.what() << "\n";
    return 2;
  }
}
