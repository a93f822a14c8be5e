#include "capacity_series.h"

#include "internal_assert.h"

namespace egretswitch::internal {

std::vector<Series> RunFamily(const std::string& grown,
                              const std::vector<SeriesName>& names,
                              const std::vector<uint32_t>& sizes,
                              uint32_t repeats,
                              const MeasureAt& measure) {
  std::vector<Series> family;
  for (const SeriesName& name : names) {
    Series series{name.name, grown, name.unit, {}};
    for (const uint32_t size : sizes) {
      series.Add(size, {});
    }
    family.push_back(std::move(series));
  }
  // The first run warms the allocator and is not counted.
  measure(sizes.front());
  for (uint32_t repeat = 0; repeat < repeats; ++repeat) {
    for (size_t point = 0; point < sizes.size(); ++point) {
      const std::vector<double> values = measure(sizes[point]);
      InternalAssert(values.size() == names.size(),
                     "a measurement gave another number of values than names",
                     names.front().name);
      for (size_t i = 0; i < values.size(); ++i) {
        family[i].points[point].values.push_back(values[i]);
      }
    }
  }
  return family;
}

}  // namespace egretswitch::internal
