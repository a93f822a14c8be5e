#include "policy_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ostream>
#include <string_view>

namespace egretswitch::bench {
namespace {

double QuantileOf(std::vector<double>& values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const double rank = quantile * static_cast<double>(values.size());
  const auto at = static_cast<size_t>(std::max(0.0, std::ceil(rank) - 1));
  return values[std::min(at, values.size() - 1)];
}

StretchFigures StretchOf(std::vector<double>& stretches) {
  return {QuantileOf(stretches, 0.5), QuantileOf(stretches, 0.99),
          QuantileOf(stretches, 1)};
}

double PercentOf(double part, double whole) {
  return whole > 0 ? 100 * part / whole : 0;
}

bool IsOnTime(const ArrivingJob& job, const JobResult& result) {
  return result.end == JobEnd::kServed && result.answered <= job.deadline;
}

void TakeStretches(const Workload& workload,
                   const PolicyRun& run,
                   Figures& figures) {
  std::vector<double> all;
  std::vector<double> small;
  std::vector<double> large;
  for (size_t i = 0; i < run.jobs.size(); ++i) {
    const ArrivingJob& job = workload.jobs[i];
    if (!job.is_measured || run.jobs[i].end != JobEnd::kServed) {
      continue;
    }
    const double stretch = static_cast<double>(run.jobs[i].answered - job.at) /
                           static_cast<double>(workload.IdealUs(job));
    all.push_back(stretch);
    (job.run_ms.size() > kMostTasksOfSmallJob ? large : small)
        .push_back(stretch);
  }
  figures.all = StretchOf(all);
  figures.small = StretchOf(small);
  figures.large = StretchOf(large);
}

void TakeEnds(const Workload& workload,
              const PolicyRun& run,
              Figures& figures) {
  double jobs = 0;
  double on_time = 0;
  double refused = 0;
  double failed = 0;
  double useful_ms = 0;
  std::vector<double> retry_after;
  for (size_t i = 0; i < run.jobs.size(); ++i) {
    const ArrivingJob& job = workload.jobs[i];
    const JobResult& result = run.jobs[i];
    if (IsOnTime(job, result) && result.answered >= workload.measured_from &&
        result.answered < workload.measured_until) {
      useful_ms += job.WorkMs();
    }
    if (!job.is_measured) {
      continue;
    }
    ++jobs;
    on_time += IsOnTime(job, result) ? 1 : 0;
    refused += result.end == JobEnd::kRefused ? 1 : 0;
    failed += result.end == JobEnd::kFailed ? 1 : 0;
    if (result.end == JobEnd::kRefused) {
      retry_after.push_back(result.retry_after_ms);
    }
    if (result.end != JobEnd::kServed) {
      figures
          .ends_percent[result.end == JobEnd::kOpen ? "open" : result.reason] +=
          1;
    }
  }
  for (auto& [reason, count] : figures.ends_percent) {
    count = PercentOf(count, jobs);
  }
  figures.on_time_percent = PercentOf(on_time, jobs);
  figures.refused_percent = PercentOf(refused, jobs);
  figures.failed_percent = PercentOf(failed, jobs);
  figures.retry_after_p10_ms = QuantileOf(retry_after, 0.1);
  figures.retry_after_p90_ms = QuantileOf(retry_after, 0.9);
  const double window_ms =
      static_cast<double>(workload.measured_until - workload.measured_from) /
      1000;
  figures.useful_capacity_percent =
      PercentOf(useful_ms, window_ms * workload.deployment.slots());
}

void TakeMessages(const PolicyRun& run, Figures& figures) {
  const auto tasks = static_cast<double>(run.tasks_started);
  double all = 0;
  for (const auto& [kind, count] : run.messages) {
    figures.messages_per_task[kind] = static_cast<double>(count) / tasks;
    all += static_cast<double>(count);
  }
  const double floor = 2 * tasks + 2 * static_cast<double>(run.jobs_sent);
  figures.messages_over_floor = (all - floor) / tasks;
}

void TakeShares(const Workload& workload,
                const PolicyRun& run,
                Figures& figures) {
  double weights = 0;
  double work_ms = 0;
  for (size_t row = 0; row < workload.rows.size(); ++row) {
    weights += workload.rows[row].weight;
    work_ms += run.work_ms_by_row[row];
  }
  for (size_t row = 0; row < workload.rows.size(); ++row) {
    const double wanted = workload.rows[row].weight / weights;
    const double share = run.work_ms_by_row[row] / work_ms;
    figures.share_error_percent = std::max(figures.share_error_percent,
                                           100 * std::abs(share / wanted - 1));
  }
}

std::string ConditionOf(const RunLabel& label) {
  char text[64];
  std::snprintf(text, sizeof text, "%s %.0f%% %s", label.deployment.c_str(),
                100 * label.condition.load,
                TroubleName(label.condition.trouble));
  return text;
}

void PrintRow(std::ostream& out, const PolicyReport::Row& row) {
  const auto median = [&](double (*figure)(const Figures&)) {
    return MedianOf(row, figure);
  };
  double least_p99 = 1e9;
  double most_p99 = 0;
  for (const Figures& figures : row.by_seed) {
    least_p99 = std::min(least_p99, figures.all.p99);
    most_p99 = std::max(most_p99, figures.all.p99);
  }
  const bool contends = row.label.condition.trouble == Trouble::kContention;
  char line[320];
  std::snprintf(
      line, sizeof line,
      "  %-16s %6.2f %6.2f [%.2f-%.2f] %6.1f | %6.2f %6.2f | %6.2f %6.2f %6.1f "
      "| %6.2f | %5.1f %5.1f %5.1f %5.1f",
      row.label.policy.c_str(),
      median([](const Figures& f) { return f.all.p50; }),
      median([](const Figures& f) { return f.all.p99; }), least_p99, most_p99,
      median([](const Figures& f) { return f.all.worst; }),
      median([](const Figures& f) { return f.small.p50; }),
      median([](const Figures& f) { return f.small.p99; }),
      median([](const Figures& f) { return f.large.p50; }),
      median([](const Figures& f) { return f.large.p99; }),
      median([](const Figures& f) { return f.large.worst; }),
      median([](const Figures& f) { return f.messages_over_floor; }),
      median([](const Figures& f) { return f.on_time_percent; }),
      median([](const Figures& f) { return f.refused_percent; }),
      median([](const Figures& f) { return f.failed_percent; }),
      median([](const Figures& f) { return f.useful_capacity_percent; }));
  out << line;
  if (contends) {
    std::snprintf(
        line, sizeof line, " | shares off by up to %.1f%%",
        median([](const Figures& f) { return f.share_error_percent; }));
    out << line;
  }
  out << "\n";
}

}  // namespace

Figures FiguresOf(const Workload& workload, const PolicyRun& run) {
  Figures figures;
  TakeStretches(workload, run, figures);
  TakeEnds(workload, run, figures);
  TakeMessages(run, figures);
  TakeShares(workload, run, figures);
  return figures;
}

double MedianOf(const PolicyReport::Row& row,
                double (*figure)(const Figures& figures)) {
  std::vector<double> values;
  for (const Figures& figures : row.by_seed) {
    values.push_back(figure(figures));
  }
  return QuantileOf(values, 0.5);
}

void PolicyReport::Add(const RunLabel& label, const Figures& figures) {
  const auto it =
      std::find_if(m_rows.begin(), m_rows.end(), [&](const Row& row) {
        return ConditionOf(row.label) == ConditionOf(label) &&
               row.label.policy == label.policy;
      });
  if (it != m_rows.end()) {
    it->by_seed.push_back(figures);
  } else {
    m_rows.push_back({label, {figures}});
  }
}

void PolicyReport::WriteTable(std::ostream& out) const {
  out << "  policy            stretch, all jobs            worst | small jobs  "
         " "
         "| large: p50, p99, worst | msg over | % on time, refused, failed, "
         "useful\n"
         "                     p50    p99 [over seeds]             |   p50    "
         "p99 |                        | floor a task\n";
  std::string condition;
  for (const Row& row : m_rows) {
    if (ConditionOf(row.label) != condition) {
      condition = ConditionOf(row.label);
      out << condition << "\n";
    }
    PrintRow(out, row);
  }
}

void PolicyReport::WriteDetails(std::ostream& out) const {
  char text[64];
  for (const Row& row : m_rows) {
    const Figures& figures = row.by_seed.front();
    out << ConditionOf(row.label) << ", " << row.label.policy
        << "\n    messages a task:";
    for (const auto& [kind, count] : figures.messages_per_task) {
      std::snprintf(text, sizeof text, " %s %.3f", kind.c_str(), count);
      out << text;
    }
    out << "\n    not served, %:";
    for (const auto& [reason, percent] : figures.ends_percent) {
      std::snprintf(text, sizeof text, " %s %.2f", reason.c_str(), percent);
      out << text;
    }
    std::snprintf(text, sizeof text, "; retry after p10 %.0f p90 %.0f ms\n",
                  figures.retry_after_p10_ms, figures.retry_after_p90_ms);
    out << text;
  }
}

void PolicyReport::WriteCsv(std::ostream& out) const {
  out << "deployment,load,trouble,policy,seed,p50,p99,worst,small_p50,small_"
         "p99,"
         "small_worst,large_p50,large_p99,large_worst,messages_over_floor,"
         "on_time_percent,refused_percent,failed_percent,"
         "useful_capacity_percent,retry_after_p10_ms,retry_after_p90_ms,"
         "share_error_percent\n";
  for (const Row& row : m_rows) {
    for (size_t seed = 0; seed < row.by_seed.size(); ++seed) {
      const Figures& f = row.by_seed[seed];
      out << row.label.deployment << "," << row.label.condition.load << ","
          << TroubleName(row.label.condition.trouble) << "," << row.label.policy
          << "," << seed + 1;
      for (const StretchFigures& s : {f.all, f.small, f.large}) {
        out << "," << s.p50 << "," << s.p99 << "," << s.worst;
      }
      for (const double value :
           {f.messages_over_floor, f.on_time_percent, f.refused_percent,
            f.failed_percent, f.useful_capacity_percent, f.retry_after_p10_ms,
            f.retry_after_p90_ms, f.share_error_percent}) {
        out << "," << value;
      }
      out << "\n";
    }
  }
}

}  // namespace egretswitch::bench
