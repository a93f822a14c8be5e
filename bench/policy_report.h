// The figures of a run, and their table and CSV over seeds and policies.
//
//   report.Add({"ramdewar", condition, "version 1", 3}, FiguresOf(workload,
//   run)); report.WriteTable(std::cout);
#ifndef EGRETSWITCH_BENCH_POLICY_REPORT_H_
#define EGRETSWITCH_BENCH_POLICY_REPORT_H_

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include "policy_run.h"

namespace egretswitch::bench {

// Stretch: response time over the ideal.
struct StretchFigures {
  double p50 = 0;
  double p99 = 0;
  double worst = 0;
};

struct Figures {
  StretchFigures all;
  StretchFigures small;
  StretchFigures large;
  double messages_over_floor = 0;  // per task
  double on_time_percent = 0;      // of the jobs
  double refused_percent = 0;      // of the jobs, not run
  double failed_percent = 0;       // of the jobs, may have run
  // Work of the jobs served on time over what the slots could do in the
  // window: the share of capacity that did some good.
  double useful_capacity_percent = 0;
  double retry_after_p10_ms = 0;
  double retry_after_p90_ms = 0;
  // Largest relative distance of a row's share of the work from its weight.
  double share_error_percent = 0;
  std::map<std::string, double> messages_per_task;  // by kind
  std::map<std::string, double> ends_percent;       // by reason
};

Figures FiguresOf(const Workload& workload, const PolicyRun& run);

struct RunLabel {
  std::string deployment;
  Condition condition;
  std::string policy;
};

class PolicyReport {
 public:
  // Figures of one more seed. Rows appear in the order of their first Add.
  void Add(const RunLabel& label, const Figures& figures);

  // One line for each policy and condition: medians over seeds, and the range
  // of the p99.
  void WriteTable(std::ostream& out) const;
  // Messages by kind and ends of jobs by reason.
  void WriteDetails(std::ostream& out) const;
  // One line for each seed.
  void WriteCsv(std::ostream& out) const;

  struct Row {
    RunLabel label;
    std::vector<Figures> by_seed;
  };
  const std::vector<Row>& rows() const { return m_rows; }

 private:
  std::vector<Row> m_rows;
};

// Median of one figure over the seeds of a row.
double MedianOf(const PolicyReport::Row& row,
                double (*figure)(const Figures& figures));

}  // namespace egretswitch::bench

#endif  // EGRETSWITCH_BENCH_POLICY_REPORT_H_
