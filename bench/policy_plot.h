// Draws the stretch of the policies as an SVG: for each deployment a panel of
// the p99 by load, on a logarithmic scale.
#ifndef EGRETSWITCH_BENCH_POLICY_PLOT_H_
#define EGRETSWITCH_BENCH_POLICY_PLOT_H_

#include <iosfwd>

#include "policy_report.h"

namespace egretswitch::bench {

void WritePlot(const PolicyReport& report, std::ostream& out);

}  // namespace egretswitch::bench

#endif  // EGRETSWITCH_BENCH_POLICY_PLOT_H_
