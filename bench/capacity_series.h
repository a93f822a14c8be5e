// The series of capacity_bench: each grows one thing and measures what a node
// then spends.
#ifndef EGRETSWITCH_BENCH_CAPACITY_SERIES_H_
#define EGRETSWITCH_BENCH_CAPACITY_SERIES_H_

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "capacity_fit.h"

namespace egretswitch::internal {

// What one run at one size gives: a value for each series of the family, in
// the family's order.
using MeasureAt = std::function<std::vector<double>(uint32_t size)>;

struct SeriesName {
  std::string name;
  std::string unit;
};

// Runs `measure` at every size, `repeats` times in turn, so that a slow moment
// of the machine hits all sizes alike.
std::vector<Series> RunFamily(const std::string& grown,
                              const std::vector<SeriesName>& names,
                              const std::vector<uint32_t>& sizes,
                              uint32_t repeats,
                              const MeasureAt& measure);

// One family of series, run by its name.
struct Family {
  std::string_view name;
  std::function<std::vector<Series>(uint32_t repeats)> run;
};

std::vector<Family> EntryFamilies();   // capacity_entry_series.cc
std::vector<Family> JobFamilies();     // capacity_job_series.cc
std::vector<Family> AgentFamilies();   // capacity_agent_series.cc
std::vector<Family> RecordFamilies();  // capacity_record_series.cc
std::vector<Family> CodecFamilies();   // capacity_codec_series.cc
std::vector<Family> LinkFamilies();    // capacity_link_series.cc

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_BENCH_CAPACITY_SERIES_H_
