// Recorded traces of both deployments end as was stated beforehand, and a
// trace that can't be read is refused with its line.
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>
#include <string>

#include "trace_file.h"

namespace egretswitch::internal {
namespace {

// Reads test/traces/NAME.trace; the directory is set by CMake.
struct TraceFixture {
  TraceFile Read(const std::string& name) {
    const std::string path =
        std::string(EGRETSWITCH_TRACE_DIR) + "/" + name + ".trace";
    std::ifstream file(path);
    BOOST_REQUIRE_MESSAGE(file.good(), path);
    std::ostringstream text;
    text << file.rdbuf();
    auto trace = ReadTrace(name, text.str());
    BOOST_REQUIRE_MESSAGE(trace.ok(), std::string(trace.status().message()));
    return *trace;
  }

  void ReplayAsStated(const std::string& name) {
    const TraceResult result = ReplayTrace(Read(name));
    BOOST_TEST_MESSAGE(name << ": " << result.jobs << " jobs, "
                            << result.jobs_complete << " complete");
    for (const std::string& unmet : result.unmet) {
      BOOST_ERROR(name << " " << unmet);
    }
    for (const Violation& violation : result.violations) {
      BOOST_ERROR(name << " point " << violation.point << ": "
                       << violation.what);
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(TraceReplay, TraceFixture)

BOOST_AUTO_TEST_CASE(CaneSeasonMorning_Replayed_EndsAsStated) {
  ReplayAsStated("cane_season_morning");
}

BOOST_AUTO_TEST_CASE(AlertWave_Replayed_EndsAsStated) {
  ReplayAsStated("alert_wave");
}

// The replay itself can fail: a false statement is reported.
BOOST_AUTO_TEST_CASE(FalseStatement_Replayed_IsReported) {
  const auto trace = ReadTrace("false",
                               "at 5000 submit a run 60\n"
                               "expect a refused\n");
  BOOST_REQUIRE(trace.ok());
  const TraceResult result = ReplayTrace(*trace);
  BOOST_REQUIRE_EQUAL(result.unmet.size(), 1u);
  BOOST_TEST(result.unmet[0].starts_with("line 2: a: 0 of 1"));
}

BOOST_AUTO_TEST_CASE(UnreadableLine_Read_IsNamed) {
  const auto trace = ReadTrace("bad", "seed 1\nat 5000 submit a run x\n");
  BOOST_TEST(std::string(trace.status().message()) ==
             "bad:2: expected run times in ms, found x");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
