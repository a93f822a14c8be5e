// Proves the beginning and the planned end of an agent's life: registration in
// the control stream, and a drain that cuts off nothing.
#include <algorithm>
#include <array>

#include "agent_fixture.h"
#include "slot_registration.h"

namespace egretswitch::internal {
namespace {

BOOST_FIXTURE_TEST_SUITE(AgentDrain, ReadyAgentFixture)

BOOST_AUTO_TEST_CASE(Drain_Begun_TellsEveryEntry) {
  Happens(BeginDrain{});
  BOOST_TEST(StatusTo("entry-a").leaving);
  BOOST_TEST(StatusTo("entry-b").leaving);
  BOOST_TEST(StatusTo("entry-a").free_slots == 0u);
}

BOOST_AUTO_TEST_CASE(Drain_NewStart_IsLeaving) {
  Happens(BeginDrain{});
  Start("entry-a", "a17", {0});
  BOOST_TEST(started().empty());
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kLeaving);
  BOOST_TEST(agent().counters().Get(Counter::kRetryLeaving) == 1u);
}

BOOST_AUTO_TEST_CASE(Drain_NewLink_IsToldOfLeaving) {
  Happens(BeginDrain{});
  Link("entry-c", 73);
  BOOST_TEST(StatusTo("entry-c").leaving);
}

BOOST_AUTO_TEST_CASE(Drain_TaskRunning_IsFinishedAndReportedBeforeStop) {
  Start("entry-a", "a17", {0});
  Happens(BeginDrain{});
  AdvanceAndTick(absl::Seconds(5));
  BOOST_TEST(Done<Stop>().empty());
  BOOST_TEST(Done<StopOnWorker>().empty());
  End("a17", 0, "ok");
  BOOST_TEST(ReportTo("entry-a").payload == "ok");
  AdvanceAndTick(kDriftMargin - absl::Milliseconds(1));
  BOOST_TEST(Done<Stop>().empty());
  AdvanceAndTick(absl::Milliseconds(1));
  BOOST_TEST(Done<Stop>().size() == 1u);
  AdvanceAndTick(kDriftMargin);
  BOOST_TEST(Done<Stop>().empty());
}

BOOST_AUTO_TEST_CASE(Drain_ReportNotSent_WaitsForAttach) {
  Start("entry-a", "a17", {0});
  Happens(BeginDrain{});
  Unlink("entry-a");
  End("a17", 0, "ok");
  AdvanceAndTick(absl::Seconds(2));
  BOOST_TEST(Done<Stop>().empty());
  Deliver("entry-b", AttachOf("entry-b", "a17", {0}, kEpoch + 1));
  BOOST_TEST(ReportTo("entry-b").payload == "ok");
  AdvanceAndTick(kDriftMargin);
  BOOST_TEST(Done<Stop>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Drain_ReportNotSentUntilDeadline_Stops) {
  Start("entry-a", "a17", {0});
  Happens(BeginDrain{});
  Unlink("entry-a");
  End("a17", 0, "ok");
  AdvanceAndTick(absl::Milliseconds(10'000 + kWallSkewMs + 1));
  BOOST_TEST(Done<Stop>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Drain_NobodyLinked_Stops) {
  Start("entry-a", "a17", {0});
  Happens(BeginDrain{});
  End("a17", 0, "ok");
  Unlink("entry-a");
  Unlink("entry-b");
  AdvanceAndTick(kDriftMargin);
  BOOST_TEST(Done<Stop>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Drain_StandingWant_GetsNoOffer) {
  Start("entry-a", "a17", {0, 1});
  Deliver("entry-b", WantSlots{1, 1.0});
  Happens(BeginDrain{});
  End("a17", 0);
  BOOST_TEST(!WasToldAnything("entry-b"));
}

BOOST_AUTO_TEST_SUITE_END()

struct RegistrationFixture : NewAgentFixture {
  absl::Duration UntilAppended() {
    absl::Duration pause = absl::ZeroDuration();
    while (Done<AppendLog>().empty() && pause < absl::Minutes(1)) {
      AdvanceAndTick(absl::Milliseconds(1));
      pause += absl::Milliseconds(1);
    }
    return pause;
  }
};

BOOST_FIXTURE_TEST_SUITE(AgentRegistration, RegistrationFixture)

BOOST_AUTO_TEST_CASE(Register_FirstEvent_AppendsOnce) {
  Happens(Tick{});
  BOOST_REQUIRE_EQUAL(Done<AppendLog>().size(), 1u);
  const LogRecord record = Done<AppendLog>()[0].record;
  BOOST_TEST(record.append_id == "slot/agent-3/9");
  BOOST_TEST(std::get<SlotRegistered>(record.body).address == "127.0.0.1:7100");
  BOOST_TEST(std::get<SlotRegistered>(record.body).data_centre == "dc-1");
  AdvanceAndTick(absl::Seconds(1));
  BOOST_TEST(Done<AppendLog>().empty());
}

BOOST_AUTO_TEST_CASE(Register_AppendFails_IsTriedAgainAfterPause) {
  Happens(Tick{});
  Happens(LogAppendFailed{"slot/agent-3/9", true});
  AdvanceAndTick(kLogRetryPeriod - absl::Milliseconds(1));
  BOOST_TEST(Done<AppendLog>().empty());
  AdvanceAndTick(kLogRetryPeriod + absl::Milliseconds(1));
  BOOST_TEST(Done<AppendLog>().size() == 1u);
  Happens(LogAppendDone{"slot/agent-3/9", 5});
  AdvanceAndTick(absl::Minutes(1));
  BOOST_TEST(Done<AppendLog>().empty());
}

// Each pause lies between the one below and its double.
BOOST_AUTO_TEST_CASE(Register_AppendsFailAndFail_PausesDoubleUpToTenSeconds) {
  Happens(Tick{});
  absl::Duration shortest = kLogRetryPeriod;
  for (int failure = 0; failure < 20; ++failure) {
    Happens(LogAppendFailed{"slot/agent-3/9", false});
    const absl::Duration pause = UntilAppended();
    BOOST_TEST((pause >= shortest));
    BOOST_TEST((pause <= 2 * shortest + absl::Milliseconds(1)));
    shortest = std::min(2 * shortest, absl::Seconds(5));
  }
}

BOOST_AUTO_TEST_CASE(Register_AppendFailsOnAllAgents_RetriesAreSpread) {
  constexpr int kAgents = 200;
  constexpr int kParts = 4;  // of the time in which the retries may come
  std::array<int, kParts> retries = {};
  for (uint64_t seed = 1; seed <= kAgents; ++seed) {
    NodeContext context(seed);
    Kernel kernel;
    kernel.Register("context", &context);
    SlotRegistration registration(kernel, {}, "id");
    registration.Begin();
    registration.OnAppendFailed("id");
    context.TakeActions();
    int part = -1;
    for (; context.TakeActions().empty() && part < kParts; ++part) {
      context.Begin({kLogRetryPeriod * (1.0 + (part + 1.0) / kParts), 0});
      registration.Begin();
    }
    BOOST_TEST_REQUIRE(part > 0);
    ++retries.at(part - 1);
  }
  for (const int count : retries) {
    BOOST_TEST(count >= kAgents / kParts / 2);
    BOOST_TEST(count <= kAgents / kParts * 2);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
