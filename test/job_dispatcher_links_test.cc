// Tests how an entry renews the runs at its agents, and what it does about
// links and agents that end or don't answer.
#include "job_dispatcher.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "job_dispatcher_fixture.h"
#include "run_fixture.h"
#include "run_limits.h"

namespace egretswitch::internal {
namespace {

BOOST_FIXTURE_TEST_SUITE(job_dispatcher, JobDispatcherFixture)

BOOST_AUTO_TEST_CASE(agent_with_runs_is_renewed_each_period) {
  AddAgent("agent-1");
  Arrive(1, 1);
  size_t renewals = 0;
  for (int i = 0; i < 10; ++i) {
    const auto sent =
        SentTo<RenewRuns>("agent-1", Pass(absl::Milliseconds(60)));
    renewals += sent.size();
    if (!sent.empty()) {
      Report("agent-1", {}, Status());
    }
  }
  BOOST_TEST(renewals >= 3u);
  BOOST_TEST(renewals <= 5u);
}

// A task on an unresponsive agent is restarted only when the agent, or the
// lease of its worker, has certainly ended the run.
BOOST_AUTO_TEST_CASE(
    task_on_an_unresponsive_agent_is_restarted_after_its_bound) {
  AddAgent("agent-1");
  Arrive(1, 1);
  AddAgent("agent-2");
  absl::Duration last_renewal;
  absl::Duration waited;
  std::vector<StartRuns> starts;
  while (starts.empty() && waited < absl::Seconds(3)) {
    const auto actions = Pass(absl::Milliseconds(20));
    waited += absl::Milliseconds(20);
    if (!SentTo<RenewRuns>("agent-1", actions).empty()) {
      last_renewal = waited;
    }
    starts = SentTo<StartRuns>("agent-2", actions);
  }
  BOOST_REQUIRE(starts.size() == 1u);
  BOOST_TEST((waited - last_renewal >= kRunCertainlyOver));
  BOOST_TEST(
      (waited - last_renewal < kRunCertainlyOver + absl::Milliseconds(60)));
}

// A link that loses all bytes must be replaced long before TCP's probes close
// it, seconds later.
BOOST_AUTO_TEST_CASE(
    unresponsive_agent_is_redialled_before_its_runs_are_stopped) {
  AddAgent("agent-1");
  Arrive(1, 1);
  const absl::Duration left = kRunLease - kRenewPeriod;
  const auto dials = ActionsOf<RedialPeer>(Pass(left - absl::Milliseconds(80)));
  BOOST_REQUIRE(dials.size() == 1u);
  BOOST_TEST(dials[0].peer == "agent-1");
  BOOST_TEST(dials[0].incarnation == 1u);
}

// Otherwise connections to a frozen process would accumulate.
BOOST_AUTO_TEST_CASE(redials_of_an_unresponsive_agent_are_spaced_out) {
  AddAgent("agent-1");
  Arrive(1, 1);
  BOOST_TEST(ActionsOf<RedialPeer>(Pass(absl::Milliseconds(2200))).size() ==
             2u);
}

// Otherwise links that fail together would all be dialled at once.
BOOST_AUTO_TEST_CASE(agents_unresponsive_together_are_redialled_one_by_one) {
  for (int i = 0; i < 30; ++i) {
    AddAgent("agent-" + std::to_string(i));
  }
  Arrive(1, 300);
  Pass(kLinkRedialAfter);
  size_t dialled = 0;
  for (int i = 0; i < 10; ++i) {
    const size_t now =
        ActionsOf<RedialPeer>(Pass(absl::Milliseconds(20))).size();
    BOOST_TEST(now <= 1u);
    dialled += now;
  }
  BOOST_TEST(dialled >= 8u);
}

// Otherwise a task whose start or report was lost with a link would never end.
BOOST_AUTO_TEST_CASE(agent_on_a_new_link_is_asked_for_the_runs_started_before) {
  AddAgent("agent-1");
  Arrive(1, 2);
  Report("agent-1", {End(0, RunEnd::kDone)}, Status());
  Do(PeerDisconnected{"agent-1", 1});
  const auto asked =
      SentTo<RenewRuns>("agent-1", Do(PeerConnected{"agent-1", 1}));
  BOOST_REQUIRE(asked.size() == 1u);
  BOOST_REQUIRE(asked[0].ordered_before.size() == 1u);
  BOOST_TEST(asked[0].ordered_before[0].task.index == 1u);
  const auto starts = SentTo<StartRuns>(
      "agent-1", Report("agent-1", {End(1, RunEnd::kStopped)}, Status()));
  BOOST_REQUIRE(starts.size() == 1u);
  BOOST_TEST(starts[0].runs[0].run == 2u);
}

// Otherwise capacity reserved for starts that were lost with a link would never
// be released.
BOOST_AUTO_TEST_CASE(capacity_of_starts_lost_with_a_link_is_released) {
  AddAgent("agent-1");
  WorkerStatus status = Status();
  status.started_through = 0;
  Report("agent-1", {}, status);
  Arrive(1, 10);
  Do(PeerDisconnected{"agent-1", 1});
  Do(PeerConnected{"agent-1", 1});
  Report("agent-1", {}, status);
  BOOST_TEST(!SentTo<StartRuns>("agent-1", Arrive(2, 10, "77aa")).empty());
}

BOOST_AUTO_TEST_CASE(runs_of_a_replaced_agent_are_restarted_after_the_bound) {
  AddAgent("agent-1");
  Arrive(1, 1);
  Do(PeerDisconnected{"agent-1", 1});
  Do(PeerConnected{"agent-1", 2});
  std::vector<StartRuns> starts;
  absl::Duration waited;
  while (starts.empty() && waited < absl::Seconds(3)) {
    Do(PeerMessageReceived{"agent-1", 2, RunReports{clock.ms(), Status(), {}}});
    starts = SentTo<StartRuns>("agent-1", Pass(absl::Milliseconds(20)));
    waited += absl::Milliseconds(20);
  }
  BOOST_REQUIRE(starts.size() == 1u);
  BOOST_TEST((waited >= kRunCertainlyOver));
  BOOST_TEST((waited < kRunCertainlyOver + absl::Milliseconds(60)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
