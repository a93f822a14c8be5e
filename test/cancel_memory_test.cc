// Tests that an acknowledged cancel holds while the entries that heard of it
// are stopped, killed and replaced, with the real decisions of all processes in
// virtual time.
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "run_world.h"

namespace egretswitch::internal {
namespace {

constexpr int kEntries = 3;
constexpr VirtualUs kCancelled = Ms(3000);
constexpr VirtualUs kEnd = Ms(25'000);

JobPlan PlanOf(const std::string& id, VirtualUs at) {
  JobPlan plan;
  plan.id = id;
  plan.at = at;
  plan.work_ms = {900, 900};
  plan.estimate_ms = 900;
  plan.queue.name = "checks";
  plan.queue.service = "desk";
  plan.queue.timeout_ms = 2500;
  plan.queue.objective_ms = 2500;
  return plan;
}

// A job of entry-0 is cancelled there while it runs, and its cancel
// acknowledged. Copies of its submission arrive at each entry, once it has been
// up for long.
struct CancelMemoryFixture {
  void Disturb(VirtualUs at, std::function<void(RunWorld&)> disturb) {
    world.At(at, [this, disturb = std::move(disturb)] { disturb(world); });
  }
  void Kill(int entry, VirtualUs at) { world.KillEntryAt(at, entry); }
  void Stop(int entry, VirtualUs at) {
    Disturb(at, [entry](RunWorld& w) { w.StopEntry(entry); });
  }

  // No task of the job starts.
  void ExpectCancelHolds(VirtualUs copies_at) {
    for (int entry = 0; entry < kEntries; ++entry) {
      world.SubmitCopyAt(copies_at, 0, entry);
    }
    world.Run(kEnd);
    BOOST_TEST(world.IsCancelAcknowledged(0));
    BOOST_TEST(world.violations().empty(),
               absl::StrJoin(world.violations(), "\n"));
  }

  RunWorld world{{.seed = 1,
                  .entries = kEntries,
                  .agents = 4,
                  .faults = 0,
                  .plans = {PlanOf("job-0", kCancelled - Ms(300))},
                  .entry_shares = {1, 0, 0}}};
};

struct AcknowledgedCancelFixture : CancelMemoryFixture {
  AcknowledgedCancelFixture() { world.CancelAtEntry(kCancelled, 0, 0); }
};

BOOST_FIXTURE_TEST_SUITE(cancel_memory, AcknowledgedCancelFixture)

// Each case guards against a restarted entry that runs a cancelled job.
BOOST_AUTO_TEST_CASE(cancel_holds_when_the_asked_entry_is_stopped) {
  Stop(0, kCancelled + Ms(100));
  ExpectCancelHolds(kCancelled + Ms(7500));
}

BOOST_AUTO_TEST_CASE(cancel_holds_when_the_asked_entry_is_killed) {
  Kill(0, kCancelled + Ms(100));
  ExpectCancelHolds(kCancelled + Ms(5000));
}

BOOST_AUTO_TEST_CASE(cancel_holds_when_another_entry_is_stopped_later) {
  Stop(1, kCancelled + Ms(7000));
  ExpectCancelHolds(kCancelled + Ms(11'500));
}

// The entry comes up for the first time since the cancel.
BOOST_AUTO_TEST_CASE(cancel_holds_when_an_entry_is_added_later) {
  Disturb(Ms(1000), [](RunWorld& w) { w.KillEntryFor(1, Ms(9000)); });
  ExpectCancelHolds(kCancelled + Ms(11'500));
}

BOOST_AUTO_TEST_CASE(cancel_holds_when_all_entries_are_stopped_in_turn) {
  for (int entry = 0; entry < kEntries; ++entry) {
    Stop(entry, kCancelled + Ms(100) + Ms(4000) * entry);
  }
  ExpectCancelHolds(kCancelled + Ms(15'000));
}

BOOST_AUTO_TEST_CASE(cancel_holds_when_the_other_entries_are_killed_later) {
  Kill(0, kCancelled + Ms(100));
  Kill(1, kCancelled + Ms(6000));
  Kill(2, kCancelled + Ms(6000));
  ExpectCancelHolds(kCancelled + Ms(10'000));
}

BOOST_AUTO_TEST_CASE(cancel_holds_when_all_entries_are_killed_at_once) {
  for (int entry = 0; entry < kEntries; ++entry) {
    Kill(entry, kCancelled + Ms(2));
  }
  ExpectCancelHolds(kCancelled + Ms(4000));
}

BOOST_AUTO_TEST_CASE(
    cancel_holds_when_all_entries_and_agents_but_one_are_killed) {
  for (int entry = 0; entry < kEntries; ++entry) {
    Kill(entry, kCancelled + Ms(2000));
  }
  for (int agent = 1; agent < 4; ++agent) {
    Disturb(kCancelled + Ms(2000),
            [agent](RunWorld& w) { w.KillAgentFor(agent, Ms(300)); });
  }
  ExpectCancelHolds(kCancelled + Ms(6000));
}

// The agents are killed one after the other, and each new one is told.
BOOST_AUTO_TEST_CASE(cancel_holds_when_agents_are_replaced_before_all_entries) {
  for (int agent = 0; agent < 4; ++agent) {
    Disturb(kCancelled + Ms(500) + Ms(700) * agent,
            [agent](RunWorld& w) { w.KillAgentFor(agent, Ms(300)); });
  }
  for (int entry = 0; entry < kEntries; ++entry) {
    Kill(entry, kCancelled + Ms(5000));
  }
  ExpectCancelHolds(kCancelled + Ms(9000));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(cancel_memory_of_unknown_jobs, CancelMemoryFixture)

// "Not found" is an acknowledgement as well. The job is cancelled before it is
// submitted for the first time.
BOOST_AUTO_TEST_CASE(cancel_of_an_unknown_job_holds_when_entries_are_killed) {
  world.CancelAtEntry(Ms(1000), 0, 0);
  for (int entry = 0; entry < kEntries; ++entry) {
    Kill(entry, Ms(1500));
  }
  ExpectCancelHolds(Ms(5000));
  BOOST_TEST(world.MaxStartsOfATask() == 0);
}

// No job that nobody cancelled waits for the memory once the links are up.
BOOST_AUTO_TEST_CASE(job_at_a_restarted_entry_starts_as_soon_as_before) {
  JobPlan plan = PlanOf("job-1", Ms(2000));
  plan.work_ms = {100};
  RunWorld restarted(
      {.seed = 1, .entries = 1, .agents = 4, .faults = 0, .plans = {plan}});
  restarted.KillEntryAt(Ms(1500), 0);  // starts at 1900 ms
  restarted.Run(Ms(8000));
  BOOST_TEST(restarted.violations().empty());
  BOOST_TEST((restarted.OutcomeOf(0).verdict == JobVerdict::kCompleted));
  BOOST_TEST(restarted.OutcomeOf(0).ended_at <= Ms(2000 + 100 + 60));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
