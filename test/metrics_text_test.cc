// The text exposition of counters, gauges and histograms.
#include "metrics_text.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <sstream>
#include <string>

namespace egretswitch::internal {
namespace {

bool HasLine(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

BOOST_AUTO_TEST_SUITE(MetricsTextTest)

BOOST_AUTO_TEST_CASE(Counters_EachOne_HasItsLine) {
  Counters counters;
  counters.Add(Counter::kTaskStarts, 4);
  counters.AddRefusal(RefusalReason::kQueueFull);
  MetricsText metrics;
  metrics.AddCounters(counters);
  const std::string text = metrics.Take();
  BOOST_CHECK(HasLine(text, "# TYPE egretswitch_task_starts_total counter"));
  BOOST_CHECK(HasLine(text, "egretswitch_task_starts_total 4"));
  BOOST_CHECK(
      HasLine(text, "egretswitch_refusals_total{reason=\"queue_full\"} 1"));
  BOOST_CHECK(
      HasLine(text, "egretswitch_refusals_total{reason=\"no_owner\"} 0"));
  BOOST_CHECK(text.find("reason=\"none\"") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(Text_OfEverything_HasEachSampleOnceAfterItsType) {
  LatencyHistogram histogram;
  histogram.Add(5);
  MetricsText metrics;
  metrics.AddCounters(Counters());
  metrics.AddEntryStatus({.fold_offset = 7, .log_age_ms = 1500});
  metrics.AddAgentReport({.slots = 8, .ready = true});
  metrics.AddHistogram("job_latency", "Time of a job.", histogram);
  const std::string text = metrics.Take();
  std::set<std::string> samples;
  std::string type_of;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("# TYPE ")) {
      type_of = line.substr(7, line.rfind(' ') - 7);
    } else if (!line.starts_with("#")) {
      BOOST_CHECK_MESSAGE(line.starts_with(type_of), line);
      BOOST_CHECK_MESSAGE(
          samples.insert(line.substr(0, line.rfind(' '))).second, line);
    }
  }
  BOOST_CHECK(HasLine(text, "egretswitch_fold_offset 7"));
  BOOST_CHECK(HasLine(text, "egretswitch_log_age_seconds 1.5"));
  BOOST_CHECK(HasLine(text, "egretswitch_slots 8"));
  BOOST_CHECK(HasLine(text, "egretswitch_ready 1"));
}

BOOST_AUTO_TEST_CASE(LabelledGauge_ValueWithQuotes_IsEscaped) {
  const MetricsText::LabelledSample sample = {
      {{"data_centre", "a\"b\\c"}, {"from", "store"}}, 2};
  MetricsText metrics;
  metrics.AddLabelledGauge("age", "An age.", {&sample, 1});
  BOOST_CHECK(HasLine(metrics.Take(),
                      "egretswitch_age{data_centre=\"a\\\"b\\\\c\","
                      "from=\"store\"} 2"));
}

BOOST_AUTO_TEST_CASE(Histogram_Text_IsCumulativeInSeconds) {
  LatencyHistogram histogram;
  for (const double ms : {0.0, 0.05, 50.0, 500'000.0}) {
    histogram.Add(ms);
  }
  MetricsText metrics;
  metrics.AddHistogram("job_latency", "Time of a job.", histogram);
  const std::string text = metrics.Take();
  const std::string name = "egretswitch_job_latency_seconds";
  BOOST_CHECK(HasLine(text, "# TYPE " + name + " histogram"));
  BOOST_CHECK(HasLine(text, name + "_bucket{le=\"+Inf\"} 4"));
  BOOST_CHECK(HasLine(text, name + "_count 4"));
  BOOST_CHECK_EQUAL(histogram.Buckets().front().count, 2);
  BOOST_CHECK_EQUAL(histogram.Buckets().back().count, 3);
}

BOOST_AUTO_TEST_CASE(Quantile_OfEvenSpread_LiesWithinABucketOfIt) {
  LatencyHistogram histogram;
  BOOST_CHECK_EQUAL(histogram.Quantile(0.5), 0);
  for (int ms = 1; ms <= 1000; ++ms) {
    histogram.Add(ms);
  }
  BOOST_CHECK_CLOSE(histogram.Quantile(0.5), 500, 13);
  BOOST_CHECK_CLOSE(histogram.Quantile(0.99), 990, 13);
  BOOST_CHECK_EQUAL(histogram.count(), 1000);
  BOOST_CHECK_CLOSE(histogram.sum_ms(), 500'500, 1e-9);
}

BOOST_AUTO_TEST_CASE(Quantile_OutOfRange_IsTheEndOfTheRange) {
  LatencyHistogram histogram;
  histogram.Add(1e9);
  BOOST_CHECK_CLOSE(histogram.Quantile(0.5), 100'000, 1e-9);
  LatencyHistogram small;
  small.Add(-3);
  BOOST_CHECK_CLOSE(small.Quantile(1), 0.1, 30);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
