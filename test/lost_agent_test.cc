// When an entry counts the runs at a lost agent as over.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "job_dispatcher_fixture.h"
#include "run_limits.h"

namespace egretswitch::internal {
namespace {

// Longer than any run lasts after its agent's end, without a longer lease.
constexpr absl::Duration kPastNormalLease = absl::Milliseconds(1300);

struct LostAgentFixture : JobDispatcherFixture {
  LostAgentFixture() {
    AddAgent("agent-1");
    Arrive(1, 1);
    AddAgent("agent-2");
  }

  void ReportBound(uint32_t bound_ms) {
    WorkerStatus status = Status();
    status.lease_bound_ms = bound_ms;
    Report("agent-1", {}, status);
  }

  bool StartedElsewhere(const JobDispatcherActions& actions) {
    return !SentTo<StartRuns>("agent-2", actions).empty();
  }
};

// The worker of agent-1 restarts under its id.
struct RestartingWorkerFixture : LostAgentFixture {
  RestartingWorkerFixture() { ReportFrom(1); }

  void ReportFrom(uint64_t incarnation) {
    WorkerStatus status = Status();
    status.worker = "i-1@1000";
    Do(PeerMessageReceived{"agent-1", incarnation,
                           RunReports{clock.ms(), status, {}}});
  }
};

BOOST_FIXTURE_TEST_SUITE(lost_agent, LostAgentFixture)

BOOST_AUTO_TEST_CASE(runs_of_a_lost_agent_are_over_after_the_normal_lease) {
  ReportBound(0);
  Do(PeerDisconnected{"agent-1", 1});
  BOOST_TEST(StartedElsewhere(Pass(kPastNormalLease)));
}

BOOST_AUTO_TEST_CASE(runs_of_a_lost_agent_may_last_as_long_as_it_reported) {
  ReportBound(2000);
  Do(PeerDisconnected{"agent-1", 1});
  BOOST_TEST(!StartedElsewhere(Pass(absl::Milliseconds(1980))));
  BOOST_TEST(StartedElsewhere(Pass(absl::Milliseconds(100))));
}

BOOST_AUTO_TEST_CASE(reported_bound_outlasts_the_agent_that_reported_it) {
  ReportBound(2000);
  Do(PeerDisconnected{"agent-1", 1});
  Do(PeerConnected{"agent-1", 2});
  Do(PeerMessageReceived{"agent-1", 2, RunReports{clock.ms(), Status(), {}}});
  BOOST_TEST(!StartedElsewhere(Pass(absl::Milliseconds(1980))));
  BOOST_TEST(StartedElsewhere(Pass(absl::Milliseconds(100))));
}

// Guards against a task that starts elsewhere while the next incarnation of its
// worker carries out a start that the former one did not answer.
BOOST_FIXTURE_TEST_CASE(
    runs_on_a_worker_that_may_restart_are_not_over_until_it_is_called,
    RestartingWorkerFixture) {
  Do(PeerDisconnected{"agent-1", 1});
  const absl::Duration past_usual_limit =
      kRunCertainlyOver + absl::Milliseconds(90);
  BOOST_TEST(!StartedElsewhere(Pass(past_usual_limit)));
  Do(PeerConnected{"agent-1", 2});
  BOOST_TEST(!StartedElsewhere(Pass(past_usual_limit)));
  ReportFrom(2);
  BOOST_TEST(StartedElsewhere(Pass(absl::Milliseconds(40))));
}

// The agent answers, so it has called its worker; its report of the end is
// lost.
BOOST_FIXTURE_TEST_CASE(
    runs_at_an_answering_agent_are_over_after_the_normal_lease,
    RestartingWorkerFixture) {
  Do(EntryLinkUp{"entry-2", 1, true});
  Do(PeerMessageReceived{"entry-2", 1, OpenAttempts{.all = true}});
  Pass(absl::Milliseconds(100));
  Do(CallerLeft{1});
  JobDispatcherActions actions;
  for (int i = 0; i < 75; ++i) {
    for (JobDispatcherAction& action : Pass(absl::Milliseconds(20))) {
      actions.push_back(std::move(action));
    }
    ReportFrom(1);
  }
  const auto told = SentTo<OpenAttempts>("entry-2", actions);
  BOOST_TEST(std::any_of(told.begin(), told.end(), [](const auto& message) {
    return !message.over.empty();
  }));
}

BOOST_AUTO_TEST_CASE(later_report_does_not_shorten_the_bound) {
  ReportBound(2000);
  ReportBound(0);
  Do(PeerDisconnected{"agent-1", 1});
  BOOST_TEST(!StartedElsewhere(Pass(absl::Milliseconds(1980))));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
