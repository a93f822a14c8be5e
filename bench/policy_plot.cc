#include "policy_plot.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace egretswitch::bench {
namespace {

constexpr double kPanelWidth = 380;
constexpr double kPanelHeight = 300;
constexpr double kMargin = 50;
constexpr double kMostLoad = 1.6;
constexpr double kMostStretch = 1000;
constexpr const char* kColours[] = {"#999999", "#d95f02", "#1b9e77", "#1f3fbf"};

struct Point {
  double load;
  double p50;
  double p99;
};

using Curves = std::vector<std::pair<std::string, std::vector<Point>>>;

// The homogeneous conditions of one deployment, a curve for each policy.
Curves CurvesOf(const PolicyReport& report, const std::string& deployment) {
  Curves curves;
  for (const PolicyReport::Row& row : report.rows()) {
    if (row.label.deployment != deployment ||
        row.label.condition.trouble != Trouble::kNone) {
      continue;
    }
    auto it = std::find_if(
        curves.begin(), curves.end(),
        [&](const auto& curve) { return curve.first == row.label.policy; });
    if (it == curves.end()) {
      it = curves.insert(it, {row.label.policy, {}});
    }
    it->second.push_back(
        {row.label.condition.load,
         MedianOf(row, [](const Figures& f) { return f.all.p50; }),
         MedianOf(row, [](const Figures& f) { return f.all.p99; })});
  }
  return curves;
}

double XOf(double left, double load) {
  return left + load / kMostLoad * kPanelWidth;
}

double YOf(double stretch) {
  const double share = std::log10(std::clamp(stretch, 1.0, kMostStretch)) /
                       std::log10(kMostStretch);
  return kMargin + kPanelHeight * (1 - share);
}

void WriteText(std::ostream& out, double x, double y, const std::string& text) {
  out << "<text x='" << x << "' y='" << y << "'>" << text << "</text>\n";
}

void WriteAxes(std::ostream& out, double left, const std::string& title) {
  WriteText(out, left, kMargin - 15,
            title + ": stretch (solid p99, dashed p50)");
  for (double stretch = 1; stretch <= kMostStretch; stretch *= 10) {
    out << "<line x1='" << left << "' x2='" << left + kPanelWidth << "' y1='"
        << YOf(stretch) << "' y2='" << YOf(stretch) << "' stroke='#dddddd'/>\n";
    WriteText(out, left - 32, YOf(stretch) + 4,
              std::to_string(static_cast<int>(stretch)));
  }
  for (const double load : {0.5, 0.8, 0.95, 1.5}) {
    WriteText(out, XOf(left, load) - 12, kMargin + kPanelHeight + 16,
              std::to_string(std::lround(load * 100)) + "%");
  }
}

void WriteCurve(std::ostream& out,
                double left,
                const std::vector<Point>& points,
                const char* colour,
                double Point::*figure) {
  out << "<polyline fill='none' stroke-width='2' stroke='" << colour << "'"
      << (figure == &Point::p50 ? " stroke-dasharray='4 3'" : "")
      << " points='";
  for (const Point& point : points) {
    out << XOf(left, point.load) << "," << YOf(point.*figure) << " ";
  }
  out << "'/>\n";
}

}  // namespace

void WritePlot(const PolicyReport& report, std::ostream& out) {
  out << "<svg xmlns='http://www.w3.org/2000/svg' width='"
      << 2 * (kPanelWidth + 2 * kMargin) << "' height='"
      << kPanelHeight + 3 * kMargin
      << "' font-family='sans-serif' font-size='12'>\n";
  double left = kMargin;
  for (const Deployment* deployment : {&kRamdewar, &kCordillera}) {
    WriteAxes(out, left, deployment->name);
    size_t number = 0;
    for (const auto& [policy, points] : CurvesOf(report, deployment->name)) {
      const char* colour = kColours[number % std::size(kColours)];
      WriteCurve(out, left, points, colour, &Point::p50);
      WriteCurve(out, left, points, colour, &Point::p99);
      out << "<text fill='" << colour << "' x='"
          << left + 95 * static_cast<double>(number) << "' y='"
          << kMargin + kPanelHeight + 45 << "'>" << policy << "</text>\n";
      ++number;
    }
    left += kPanelWidth + 2 * kMargin;
  }
  out << "</svg>\n";
}

}  // namespace egretswitch::bench
