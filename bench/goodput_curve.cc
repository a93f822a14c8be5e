// What is served on time as the offered load goes past what the workers have
// room for, in virtual time:
//
//   build/goodput_curve --svg docs/design/goodput.svg
//
// Load 1 is as much work a second as all workers do together. Goodput is the
// worth of the jobs that end on time, over the most that any load of the row
// gives; past the limit it should level off, not fall.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "cxxopts.hpp"
#include "load_scenario.h"

namespace egretswitch::internal {
namespace {

constexpr double kLoads[] = {0.5, 0.75, 1, 1.25, 1.5, 2, 2.5, 3};
constexpr VirtualUs kFrom = Ms(3'000);
constexpr VirtualUs kTo = Ms(9'000);

struct Point {
  double load = 0;
  double worth = 0;     // on time, a second
  double jobs = 0;      // on time, a second
  double answered = 0;  // a share of the jobs that came
};

// Core-seconds of work that a scenario's jobs ask for in a second.
double OfferedCores(const LoadScenario& scenario) {
  double cores = 0;
  for (const LoadKind& kind : scenario.kinds) {
    cores += kind.per_s * kind.tasks * kind.work_ms / 1000 * kind.cores;
  }
  return cores;
}

// Core-seconds of work that its workers do in a second.
double WorkersCores(const LoadScenario& scenario) {
  double cores = 0;
  for (const WorkerPlan& worker : scenario.workers) {
    cores += worker.capacity.millicores / 1000.0 / worker.slowness;
  }
  return cores;
}

Point Play(LoadScenario scenario, double load, uint64_t seeds) {
  scenario.load = load * WorkersCores(scenario) / OfferedCores(scenario);
  scenario.lasts = kTo;
  const double seconds = static_cast<double>((kTo - kFrom) * seeds) / 1e6;
  Point point{.load = load};
  double came = 0;
  double answered = 0;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const std::vector<LoadJob> jobs = DrawJobs(scenario, seed);
    const auto world = SimulateLoad(scenario, jobs, seed);
    for (size_t i = 0; i < jobs.size(); ++i) {
      if (jobs[i].plan.at < kFrom) {
        continue;
      }
      const JobOutcome outcome = world->OutcomeOf(static_cast<int>(i));
      const bool on_time = WorthOf(jobs[i], outcome) == jobs[i].worth;
      point.worth += on_time ? jobs[i].worth / seconds : 0;
      point.jobs += on_time ? 1 / seconds : 0;
      came += 1;
      answered += outcome.verdict == JobVerdict::kCompleted ? 1 : 0;
    }
  }
  point.answered = answered / std::max(1.0, came);
  return point;
}

struct Curve {
  std::string name;
  std::vector<Point> points;

  double BestWorth() const {
    return std::max_element(points.begin(), points.end(),
                            [](const Point& left, const Point& right) {
                              return left.worth < right.worth;
                            })
        ->worth;
  }
};

void Print(const Curve& curve) {
  std::printf("%-16s %8s %8s %8s\n", curve.name.c_str(), "goodput", "jobs/s",
              "answered");
  for (const Point& point : curve.points) {
    std::printf("  load %-10.2f %8.3f %8.0f %8.3f\n", point.load,
                point.worth / curve.BestWorth(), point.jobs, point.answered);
  }
  std::fflush(stdout);
}

constexpr double kLeft = 50;
constexpr double kTop = 20;
constexpr double kWidth = 420;
constexpr double kHeight = 240;
constexpr const char* kColours[] = {"#1f3fbf", "#d95f02"};

double XOf(double load) {
  return kLeft + load / 3 * kWidth;
}

double YOf(double share) {
  return kTop + (1 - share) * kHeight;
}

void DrawText(std::ostream& out, double x, double y, const std::string& text) {
  out << "<text x=\"" << x << "\" y=\"" << y << "\">" << text << "</text>\n";
}

void DrawCurve(std::ostream& out, const Curve& curve, size_t number) {
  out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\""
      << kColours[number] << "\" points=\"";
  for (const Point& point : curve.points) {
    out << XOf(point.load) << "," << YOf(point.worth / curve.BestWorth())
        << " ";
  }
  out << "\"/>\n<g fill=\"" << kColours[number] << "\">";
  DrawText(out, kLeft + 12 + 150 * static_cast<double>(number), kTop + 14,
           curve.name);
  out << "</g>\n";
}

void WriteSvg(const std::vector<Curve>& curves, std::ostream& out) {
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"500\" "
         "height=\"310\" font-family=\"sans-serif\" font-size=\"11\">\n"
      << "<rect width=\"500\" height=\"310\" fill=\"white\"/>\n"
      << "<rect x=\"" << kLeft << "\" y=\"" << kTop << "\" width=\"" << kWidth
      << "\" height=\"" << kHeight << "\" fill=\"none\" stroke=\"#999\"/>\n";
  for (const double share : {0.0, 0.5, 0.85, 1.0}) {
    out << "<line x1=\"" << kLeft << "\" x2=\"" << kLeft + kWidth << "\" y1=\""
        << YOf(share) << "\" y2=\"" << YOf(share) << "\" stroke=\"#ddd\"/>\n";
    DrawText(out, 18, YOf(share) + 4, std::to_string(share).substr(0, 4));
  }
  for (const int load : {0, 1, 2, 3}) {
    DrawText(out, XOf(load) - 3, kTop + kHeight + 15, std::to_string(load));
  }
  DrawText(
      out, kLeft, kTop + kHeight + 35,
      "goodput over the best, by offered load (1: the room of all workers)");
  for (size_t i = 0; i < curves.size(); ++i) {
    DrawCurve(out, curves[i], i);
  }
  out << "</svg>\n";
}

int Main(int argc, char** argv) {
  cxxopts::Options options("goodput_curve",
                           "Goodput over offered load in virtual time.");
  options.add_options()("svg", "file to draw the curves into",
                        cxxopts::value<std::string>()->default_value(""))(
      "seeds", "draws of each load",
      cxxopts::value<uint64_t>()->default_value("2"))("help",
                                                      "print this text");
  const cxxopts::ParseResult arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return EXIT_SUCCESS;
  }
  std::vector<Curve> curves;
  for (const LoadScenario& scenario : {MixedLoad(), ManySmallJobsLoad()}) {
    Curve curve{.name = scenario.name, .points = {}};
    for (const double load : kLoads) {
      curve.points.push_back(
          Play(scenario, load, arguments["seeds"].as<uint64_t>()));
    }
    Print(curve);
    curves.push_back(std::move(curve));
  }
  if (const auto path = arguments["svg"].as<std::string>(); !path.empty()) {
    std::ofstream file(path);
    WriteSvg(curves, file);
    if (!file) {
      std::cerr << "user error: can't write " << path << "\n";
      return 2;
    }
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
