// Writes metrics in the text exposition format for scrapers.
//
//   MetricsText text;
//   text.AddGauge("jobs_open", "Jobs without an outcome.", 12);
//   -> # HELP egretswitch_jobs_open Jobs without an outcome.
//      # TYPE egretswitch_jobs_open gauge
//      egretswitch_jobs_open 12
#ifndef EGRETSWITCH_SRC_METRICS_TEXT_H_
#define EGRETSWITCH_SRC_METRICS_TEXT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "agent_node.h"
#include "counters.h"
#include "entry_node.h"
#include "latency_histogram.h"

namespace egretswitch::internal {

class MetricsText {
 public:
  // Names come without the prefix "egretswitch_"; counters and refusals get
  // the suffix "_total".
  void AddGauge(std::string_view name, std::string_view help, double value);
  void AddCounter(std::string_view name, std::string_view help, uint64_t value);

  struct Label {
    std::string_view name;
    std::string value;
  };
  struct LabelledSample {
    std::vector<Label> labels;
    double value = 0;
  };
  // No samples: only the heading.
  void AddLabelledGauge(std::string_view name,
                        std::string_view help,
                        std::span<const LabelledSample> samples);

  // Named in milliseconds of observation, written in seconds as is usual.
  void AddHistogram(std::string_view name,
                    std::string_view help,
                    const LatencyHistogram& histogram);

  void AddCounters(const Counters& counters);
  void AddEntryStatus(const EntryStatus& status);
  void AddAgentReport(const AgentReport& report);

  std::string Take() { return std::move(m_text); }

 private:
  void AddHeading(std::string_view full_name,
                  std::string_view help,
                  std::string_view type);
  void AddSample(std::string_view full_name, double value);

  std::string m_text;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_METRICS_TEXT_H_
