// Proves to whom an agent offers a slot that falls free.
#include "agent_fixture.h"

namespace egretswitch::internal {
namespace {

// Both slots are used by tasks of entry-a, which receives their results.
struct FullAgentFixture : ReadyAgentFixture {
  FullAgentFixture() { Start("entry-a", "a17", {0, 1}); }
};

BOOST_FIXTURE_TEST_SUITE(AgentOffers, FullAgentFixture)

BOOST_AUTO_TEST_CASE(FreeSlot_NobodyWants_IsToldWithTheResult) {
  End("a17", 0);
  BOOST_TEST(StatusTo("entry-a").free_slots == 1u);
  BOOST_TEST(StatusTo("entry-a").offered == 0u);
  BOOST_TEST(!WasToldAnything("entry-b"));
}

BOOST_AUTO_TEST_CASE(FreeSlot_ReceiverWants_IsOfferedWithTheResult) {
  Deliver("entry-a", WantSlots{1, 7.9});
  Deliver("entry-b", WantSlots{1, 1.0});
  End("a17", 0);
  BOOST_TEST(Done<Send>().size() == 1u);
  BOOST_TEST(ReportTo("entry-a").index == 0u);
  BOOST_TEST(StatusTo("entry-a").offered == 1u);
  BOOST_TEST(StatusTo("entry-a").free_slots == 1u);
}

BOOST_AUTO_TEST_CASE(FreeSlot_OtherIsMoreUrgentByFactor_IsOfferedToOther) {
  Deliver("entry-a", WantSlots{1, 8.1});
  Deliver("entry-b", WantSlots{1, 1.0});
  End("a17", 0);
  BOOST_TEST(StatusTo("entry-a").offered == 0u);
  BOOST_TEST(StatusTo("entry-a").free_slots == 0u);
  BOOST_TEST(MessagesTo<AgentStatus>("entry-b").size() == 1u);
  BOOST_TEST(StatusTo("entry-b").offered == 1u);
}

BOOST_AUTO_TEST_CASE(FreeSlot_OtherPrefersResponse_IsOfferedToTheMoreUrgent) {
  Deliver("entry-a", WantSlots{1, 1.1});
  Deliver("entry-b", WantSlots{1, 1.0, 100});
  End("a17", 0);
  BOOST_TEST(StatusTo("entry-b").offered == 1u);
  BOOST_TEST(StatusTo("entry-a").offered == 0u);
}

BOOST_AUTO_TEST_CASE(FreeSlot_OtherPrefersResponseButIsNotUrgent_StaysHere) {
  Deliver("entry-a", WantSlots{1, 1.0});
  Deliver("entry-b", WantSlots{1, 1.0, 100});
  End("a17", 0);
  BOOST_TEST(!WasToldAnything("entry-b"));
}

BOOST_AUTO_TEST_CASE(FreeSlot_OtherPrefersFewMessages_IsNeverPassedOn) {
  Deliver("entry-a", WantSlots{1, 1e9});
  Deliver("entry-b", WantSlots{1, 1.0, 0});
  End("a17", 0);
  BOOST_TEST(!WasToldAnything("entry-b"));
  BOOST_TEST(StatusTo("entry-a").offered == 1u);
}

// The most urgent entry prefers few messages, the next one doesn't.
BOOST_AUTO_TEST_CASE(FreeSlot_OthersDiffer_IsOfferedToTheOneWorthAMessage) {
  Link("entry-c", 73);
  Deliver("entry-a", WantSlots{1, 9.0});
  Deliver("entry-b", WantSlots{1, 1.0, 0});
  Deliver("entry-c", WantSlots{1, 2.0, 100});
  End("a17", 0);
  BOOST_TEST(StatusTo("entry-c").offered == 1u);
  BOOST_TEST(!WasToldAnything("entry-b"));
}

BOOST_AUTO_TEST_CASE(FreeSlot_ReceiverDoesNotWant_IsOfferedToMostUrgent) {
  Link("entry-c", 73);
  Deliver("entry-b", WantSlots{1, 3.0});
  Deliver("entry-c", WantSlots{1, 2.0});
  End("a17", 0);
  BOOST_TEST(StatusTo("entry-c").offered == 1u);
  BOOST_TEST(!WasToldAnything("entry-b"));
}

BOOST_AUTO_TEST_CASE(OfferedSlot_StartOfOther_IsFullUntilTaken) {
  Deliver("entry-b", WantSlots{1, 1.0});
  End("a17", 0);
  Start("entry-a", "a18", {0});
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kFull);
  BOOST_TEST(StatusTo("entry-a").free_slots == 0u);
  Start("entry-b", "b1", {0});
  BOOST_TEST(started().size() == 1u);
  BOOST_TEST(agent().counters().Get(Counter::kOffersTaken) == 1u);
}

BOOST_AUTO_TEST_CASE(Offer_Taken_ReservesNoMore) {
  Deliver("entry-b", WantSlots{1, 1.0});
  End("a17", 0);
  Start("entry-b", "b1", {0});
  End("a17", 1);
  BOOST_TEST(StatusTo("entry-a").free_slots == 1u);
}

BOOST_AUTO_TEST_CASE(Offer_Expired_PassesToNextEntry) {
  Deliver("entry-a", WantSlots{1, 1.0});
  Deliver("entry-b", WantSlots{1, 1.0});
  End("a17", 0);
  AdvanceAndTick(kOfferLife - absl::Milliseconds(1));
  BOOST_TEST(Done<Send>().empty());
  AdvanceAndTick(absl::Milliseconds(1));
  BOOST_TEST(!WasToldAnything("entry-a"));
  BOOST_TEST(StatusTo("entry-b").offered == 1u);
  BOOST_TEST(agent().counters().Get(Counter::kOffersExpired) == 1u);
  Start("entry-a", "a18", {0});
  BOOST_TEST(ReportTo("entry-a").status == TaskStatus::kFull);
}

BOOST_AUTO_TEST_CASE(Offer_ExpiredAndNobodyWants_LeavesSlotToAnyone) {
  Deliver("entry-b", WantSlots{1, 1.0});
  End("a17", 0);
  AdvanceAndTick(kOfferLife);
  Start("entry-a", "a18", {0});
  BOOST_TEST(started().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Want_ForTwo_SinksWithEachOffer) {
  Deliver("entry-b", WantSlots{2, 1.0});
  End("a17", 0);
  BOOST_TEST(StatusTo("entry-b").offered == 1u);
  End("a17", 1);
  BOOST_TEST(StatusTo("entry-b").offered == 2u);
  AdvanceAndTick(kOfferLife);
  BOOST_TEST(!WasToldAnything("entry-b"));
}

BOOST_AUTO_TEST_CASE(Want_Withdrawn_GetsNoOffer) {
  Deliver("entry-b", WantSlots{1, 1.0});
  Deliver("entry-b", WantSlots{0, 0});
  End("a17", 0);
  BOOST_TEST(!WasToldAnything("entry-b"));
}

BOOST_AUTO_TEST_CASE(Want_WithAStart_ReplacesTheStandingOne) {
  Deliver("entry-b", WantSlots{2, 1.0});
  StartTasks last = StartOf("entry-b", "b1", {0});
  last.want = {0, 0};
  Deliver("entry-b", last);
  End("a17", 0);
  BOOST_TEST(!WasToldAnything("entry-b"));
  StartTasks more = StartOf("entry-b", "b2", {0});
  more.want = {1, 1.0};
  Deliver("entry-b", more);
  End("a17", 1);
  BOOST_TEST(StatusTo("entry-b").offered == 1u);
}

BOOST_AUTO_TEST_CASE(Want_LinkDown_FreesItsOffer) {
  Deliver("entry-b", WantSlots{1, 1.0});
  End("a17", 0);
  Unlink("entry-b");
  Start("entry-a", "a18", {0});
  BOOST_TEST(started().size() == 1u);
}

BOOST_AUTO_TEST_CASE(Want_LinkReplaced_IsForgotten) {
  Deliver("entry-b", WantSlots{1, 1.0});
  Link("entry-b", 82);
  End("a17", 0);
  BOOST_TEST(!WasToldAnything("entry-b"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(Want_SlotIsFree_IsOfferedAtOnce, ReadyAgentFixture) {
  Deliver("entry-b", WantSlots{1, 1.0});
  BOOST_TEST(StatusTo("entry-b").offered == 1u);
}

BOOST_FIXTURE_TEST_CASE(Want_AgentNotReady_IsOfferedWhenReady,
                        NewAgentFixture) {
  Happens(WorkerTasksListed{});
  Link("entry-b");
  Deliver("entry-b", WantSlots{1, 1.0});
  BOOST_TEST(!WasToldAnything("entry-b"));
  AdvanceAndTick(kWaitOfNewAgent);
  BOOST_TEST(StatusTo("entry-b").offered == 1u);
}

}  // namespace
}  // namespace egretswitch::internal
