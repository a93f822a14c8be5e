// Tasks under which a worker crashed: which of them may crash the next one is
// not known, so they are kept apart.
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
    Do(PeerUp{"entry-1", 1});
    Do(PeerUp{"entry-2", 1});
  }

  // The ends that `entry` is told of at once, when it orders one task of `job`.
  std::vector<RunEnd> Order(const std::string& entry,
                            const std::string& job,
                            uint32_t suspect_ms) {
    StartRuns start = Start(1);
    start.job = job;
    start.runs[0].suspect_ms = suspect_ms;
    std::vector<RunEnd> ends;
    for (const RunReports& told :
         SentTo<RunReports>(entry, Do(PeerSaid{entry, 1, start}))) {
      for (const RunReport& report : told.reports) {
        ends.push_back(report.end);
      }
    }
    return ends;
  }
};

BOOST_FIXTURE_TEST_SUITE(suspects_at_an_agent, SuspectsAtAgentFixture)

// Guards against a sound job that is blamed for the crashes of a task of
// another entry, which it met twice.
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

// Guards against workers that stand idle for tasks that are sound by now.
BOOST_AUTO_TEST_CASE(task_that_outlives_its_former_run_is_no_suspect) {
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

// Guards against a task that asks the same agent again and again.
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
    losses.Note(agent, at);
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

// Guards against the tasks of a rack that lost its power once: each would have
// a worker to itself.
BOOST_AUTO_TEST_CASE(task_whose_worker_crashed_beside_others_is_no_suspect) {
  losses.Note("agent-7", kFirst);
  Crash("agent-1", kFirst);
  BOOST_TEST(SuspectMs(lost, losses) == 0u);
}

// Guards against a third crash that is held against a sound task.
BOOST_AUTO_TEST_CASE(task_under_two_crashes_beside_others_is_a_suspect) {
  losses.Note("agent-7", kFirst);
  Crash("agent-1", kFirst);
  losses.Note("agent-8", kLater);
  Crash("agent-2", kLater);
  BOOST_TEST(SuspectMs(lost, losses) == kCrashedAfterMs);
}

BOOST_AUTO_TEST_CASE(task_whose_worker_fell_silent_is_no_suspect) {
  losses.Note("agent-1", kFirst);
  lost.push_back({"agent-1", kFirst, RunLoss::kWorkerGone, kCrashedAfterMs});
  BOOST_TEST(SuspectMs(lost, losses) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
