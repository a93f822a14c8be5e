// Tests that tasks under which a worker crashed run on different workers, since
// any of them may crash the next one.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "job_dispatcher_fixture.h"
#include "lost_runs.h"
#include "run_manager_fixture.h"

namespace egretswitch::internal {
namespace {

constexpr uint32_t kCrashedAfterMs = 100;

struct SuspectsAtAgentFixture : RunManagerFixture {
  SuspectsAtAgentFixture() {
    ConnectWorker("i-1");
    Do(PeerConnected{"entry-1", 1});
    Do(PeerConnected{"entry-2", 1});
  }

  // Starts one task of `job` for `entry`, and returns the ends reported at
  // once.
  std::vector<RunEnd> Order(const std::string& entry,
                            const std::string& job,
                            uint32_t suspect_ms) {
    StartRuns start = Start(1);
    start.job = job;
    start.runs[0].suspect_ms = suspect_ms;
    std::vector<RunEnd> ends;
    for (const RunReports& sent :
         SentTo<RunReports>(entry, Do(PeerMessageReceived{entry, 1, start}))) {
      for (const RunReport& report : sent.reports) {
        ends.push_back(report.end);
      }
    }
    return ends;
  }
};

BOOST_FIXTURE_TEST_SUITE(suspects_at_an_agent, SuspectsAtAgentFixture)

// Guards against blaming a sound job for two crashes that a task of another
// entry caused beside it.
BOOST_AUTO_TEST_CASE(suspect_beside_a_suspect_is_refused) {
  BOOST_TEST(Order("entry-1", "5c0e", kCrashedAfterMs).empty());
  const auto ends = Order("entry-2", "7a21", kCrashedAfterMs);
  BOOST_REQUIRE(ends.size() == 1u);
  BOOST_TEST((ends[0] == RunEnd::kSuspectBeside));
  BOOST_TEST(NeverStarted(ends[0]));
}

BOOST_AUTO_TEST_CASE(task_without_a_crash_runs_beside_a_suspect) {
  BOOST_TEST(Order("entry-1", "5c0e", kCrashedAfterMs).empty());
  BOOST_TEST(Order("entry-2", "7a21", 0).empty());
  BOOST_TEST(manager.runs() == 2u);
}

// Guards against workers that refuse suspects beside a task that has proved
// sound.
BOOST_AUTO_TEST_CASE(task_that_outlives_its_previous_run_is_no_suspect) {
  BOOST_TEST(Order("entry-1", "5c0e", kCrashedAfterMs).empty());
  clock.Advance(absl::Milliseconds(kCrashedAfterMs));
  BOOST_TEST(Order("entry-2", "7a21", kCrashedAfterMs).empty());
}

BOOST_AUTO_TEST_SUITE_END()

struct SuspectsAtEntryFixture : JobDispatcherFixture {
  SuspectsAtEntryFixture() {
    AddAgent("agent-1");
    AddAgent("agent-2");
    const JobDispatcherActions first = Arrive(1, 1);
    m_first =
        SentTo<StartRuns>("agent-1", first).empty() ? "agent-2" : "agent-1";
  }

  std::string Other(const std::string& agent) const {
    return agent == "agent-1" ? "agent-2" : "agent-1";
  }

  std::string m_first;  // the agent that got the task first
};

BOOST_FIXTURE_TEST_SUITE(suspects_at_an_entry, SuspectsAtEntryFixture)

BOOST_AUTO_TEST_CASE(task_whose_worker_crashed_is_sent_as_a_suspect) {
  clock.Advance(absl::Milliseconds(kCrashedAfterMs));
  const auto starts = SentTo<StartRuns>(
      Other(m_first), Report(m_first, {End(0, RunEnd::kWorkerLost)}, Status()));
  BOOST_REQUIRE(starts.size() == 1u);
  BOOST_TEST(starts[0].runs[0].suspect_ms == kCrashedAfterMs);
}

// Guards against sending a start to the same agent again and again.
BOOST_AUTO_TEST_CASE(suspect_that_is_refused_everywhere_waits) {
  Report(m_first, {End(0, RunEnd::kWorkerLost)}, Status());
  Report(Other(m_first), {End(0, RunEnd::kSuspectBeside, 2)}, Status());
  const JobDispatcherActions after =
      Report(m_first, {End(0, RunEnd::kSuspectBeside, 3)}, Status());
  BOOST_TEST(SentTo<StartRuns>("agent-1", after).empty());
  BOOST_TEST(SentTo<StartRuns>("agent-2", after).empty());
  const JobDispatcherActions later = Pass(absl::Milliseconds(40));
  BOOST_TEST(SentTo<StartRuns>("agent-1", later).size() +
                 SentTo<StartRuns>("agent-2", later).size() ==
             1u);
}

BOOST_AUTO_TEST_SUITE_END()

struct SuspectMsFixture {
  void Crash(const std::string& agent, MonoTime at) {
    losses.Record(agent, at);
    lost.push_back({agent, at, RunLoss::kWorkerCrashed, kCrashedAfterMs});
  }

  static constexpr MonoTime kFirst = absl::Seconds(100);
  static constexpr MonoTime kLater = absl::Seconds(104);
  WorkerLosses losses;
  std::vector<LostRun> lost;
};

BOOST_FIXTURE_TEST_SUITE(suspect_ms, SuspectMsFixture)

BOOST_AUTO_TEST_CASE(task_whose_worker_crashed_alone_is_a_suspect) {
  Crash("agent-1", kFirst);
  BOOST_TEST(SuspectMs(lost, losses) == kCrashedAfterMs);
}

// Guards against suspecting all tasks of a rack that lost power once, each of
// which would then need a worker without other suspects.
BOOST_AUTO_TEST_CASE(task_whose_worker_crashed_beside_others_is_no_suspect) {
  losses.Record("agent-7", kFirst);
  Crash("agent-1", kFirst);
  BOOST_TEST(SuspectMs(lost, losses) == 0u);
}

// Guards against blaming a sound task for a third crash.
BOOST_AUTO_TEST_CASE(task_under_two_crashes_beside_others_is_a_suspect) {
  losses.Record("agent-7", kFirst);
  Crash("agent-1", kFirst);
  losses.Record("agent-8", kLater);
  Crash("agent-2", kLater);
  BOOST_TEST(SuspectMs(lost, losses) == kCrashedAfterMs);
}

BOOST_AUTO_TEST_CASE(task_whose_worker_was_unresponsive_is_no_suspect) {
  losses.Record("agent-1", kFirst);
  lost.push_back({"agent-1", kFirst, RunLoss::kWorkerGone, kCrashedAfterMs});
  BOOST_TEST(SuspectMs(lost, losses) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
