// Tests what an entry does with jobs that are cancelled, before and after they
// arrive.
#include "cancelled_jobs.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "job_dispatcher_fixture.h"

namespace egretswitch::internal {
namespace {

struct CancelledJobsFixture : JobDispatcherFixture {
  JobDispatcherActions Cancel(const std::string& job = "5c0e") {
    return Do(JobsCancelled{{job}});
  }
  uint64_t Count(RunCounter counter) const {
    return dispatcher.counters().Get(counter);
  }
};

BOOST_FIXTURE_TEST_SUITE(cancelled_jobs, CancelledJobsFixture)

BOOST_AUTO_TEST_CASE(cancel_of_an_open_job_stops_its_runs_and_answers_it) {
  AddAgent("agent-1");
  Arrive(1, 2);
  const auto actions = Cancel();
  const auto stops = SentTo<StopRuns>("agent-1", actions);
  BOOST_REQUIRE(stops.size() == 1u);
  BOOST_TEST(stops[0].job == "5c0e");
  const auto answers = Answers(actions);
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].verdict == JobVerdict::kCancelled));
  BOOST_TEST(dispatcher.open_jobs() == 0u);
  BOOST_TEST(dispatcher.HasCancelled("5c0e"));
  BOOST_TEST(Count(RunCounter::kJobsCancelled) == 1u);
  BOOST_TEST(Count(RunCounter::kJobsFailed) == 0u);
}

// The worker holds ten of the tasks.
BOOST_AUTO_TEST_CASE(waiting_tasks_of_a_cancelled_job_never_start) {
  AddAgent("agent-1");
  Arrive(1, 30);
  Cancel();
  const auto actions = Report("agent-1", {End(0, RunEnd::kStopped)}, Status());
  BOOST_TEST(ActionsOf<SendRunMessage>(actions).empty());
  BOOST_TEST(SentTo<StartRuns>("agent-1", Pass(absl::Seconds(2))).empty());
}

BOOST_AUTO_TEST_CASE(capacity_of_a_cancelled_job_goes_to_a_waiting_one) {
  AddAgent("agent-1");
  Arrive(1, 10);
  Arrive(2, 1, "f00d");
  Cancel();
  BOOST_TEST(
      SentTo<StartRuns>("agent-1",
                        Report("agent-1", {End(0, RunEnd::kStopped)}, Status()))
          .size() == 1u);
}

BOOST_AUTO_TEST_CASE(every_caller_of_a_cancelled_job_is_answered) {
  AddAgent("agent-1");
  Arrive(1, 1);
  Arrive(2, 1);
  BOOST_TEST(Answers(Cancel()).size() == 2u);
}

BOOST_AUTO_TEST_CASE(job_that_arrives_after_its_cancel_never_starts) {
  AddAgent("agent-1");
  BOOST_TEST(Answers(Cancel()).empty());
  BOOST_TEST(!dispatcher.HasCancelled("5c0e"));
  const auto actions = Arrive(1, 1);
  BOOST_TEST(SentTo<StartRuns>("agent-1", actions).empty());
  const auto answers = Answers(actions);
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].verdict == JobVerdict::kCancelled));
  BOOST_TEST(dispatcher.HasCancelled("5c0e"));
  BOOST_TEST(Count(RunCounter::kJobsRefusedCancelled) == 1u);
}

BOOST_AUTO_TEST_CASE(late_repeat_of_a_cancelled_job_never_starts) {
  AddAgent("agent-1");
  Arrive(1, 1);
  Cancel();
  Pass(absl::Seconds(20));
  AddAgent("agent-2");
  BOOST_TEST(SentTo<StartRuns>("agent-2", Arrive(2, 1)).empty());
}

// The job's caller left entry A and came again at entry B. The cancel reaches A
// before it moves and B afterwards, or B before and A after.
BOOST_AUTO_TEST_CASE(job_that_moves_during_its_cancel_runs_at_neither_entry) {
  for (const bool cancel_reaches_new_entry_first : {false, true}) {
    JobDispatcherFixture from;
    JobDispatcherFixture to;
    from.AddAgent("agent-1");
    to.AddAgent("agent-1");
    from.Arrive(1, 1);
    const JobsCancelled cancel{{"5c0e"}};
    if (cancel_reaches_new_entry_first) {
      to.Do(cancel);
    } else {
      from.Do(cancel);
    }
    from.Do(CallerLeft{1});
    to.Arrive(2, 1);
    from.Do(cancel);
    to.Do(cancel);
    BOOST_TEST(from.dispatcher.open_jobs() == 0u);
    BOOST_TEST(to.dispatcher.open_jobs() == 0u);
    BOOST_TEST(SentTo<StartRuns>("agent-1", to.Pass(absl::Seconds(1))).empty());
  }
}

BOOST_AUTO_TEST_CASE(cancel_sent_twice_is_remembered_as_held) {
  AddAgent("agent-1");
  Arrive(1, 1);
  Cancel();
  BOOST_TEST(Answers(Cancel()).empty());
  BOOST_TEST(dispatcher.HasCancelled("5c0e"));
  BOOST_TEST(Count(RunCounter::kJobsCancelled) == 1u);
}

BOOST_AUTO_TEST_CASE(job_of_the_same_id_starts_once_the_cancel_is_forgotten) {
  Cancel();
  Pass(kCancelledJobRetention);
  AddAgent("agent-1");
  BOOST_TEST(SentTo<StartRuns>("agent-1", Arrive(1, 1)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(remembered_jobs_are_bounded_and_the_oldest_go_first) {
  CancelledJobs jobs;
  const MonoTime now = clock.now().mono;
  for (size_t i = 0; i <= kMaxCancelledJobs; ++i) {
    jobs.Add(absl::StrCat("job-", i), false,
             now + absl::Microseconds(static_cast<int64_t>(i)));
  }
  BOOST_TEST(jobs.size() == kMaxCancelledJobs);
  BOOST_TEST(!jobs.Contains("job-0", now));
  BOOST_TEST(jobs.Contains("job-1", now));
}

BOOST_AUTO_TEST_CASE(renewed_job_is_remembered_from_its_last_cancel) {
  CancelledJobs jobs;
  const MonoTime now = clock.now().mono;
  jobs.Add("5c0e", true, now);
  jobs.Add("5c0e", false, now + absl::Seconds(30));
  jobs.Add("other", false, now + kCancelledJobRetention);
  BOOST_TEST(jobs.Contains("5c0e", now + kCancelledJobRetention));
  BOOST_TEST(jobs.WasHeld("5c0e"));
}

// ---- The memory of other processes

BOOST_AUTO_TEST_CASE(job_waits_until_the_cancelled_jobs_are_known) {
  Do(CancelMemoryChanged{.complete = false});
  AddAgent("agent-1");
  Pass(absl::Milliseconds(100));
  BOOST_TEST(SentTo<StartRuns>("agent-1", Arrive(1, 1)).empty());
  BOOST_TEST(
      SentTo<StartRuns>("agent-1", Pass(absl::Milliseconds(200))).empty());
  BOOST_TEST(
      SentTo<StartRuns>("agent-1", Do(CancelMemoryChanged{.complete = true}))
          .size() == 1u);
  BOOST_TEST(Count(RunCounter::kJobsHeldForCancels) == 1u);
}

// Its objective is 220 ms.
BOOST_AUTO_TEST_CASE(job_that_waits_for_the_cancelled_jobs_is_not_refused) {
  Do(CancelMemoryChanged{.complete = false});
  AddAgent("agent-1");
  Pass(absl::Milliseconds(100));
  Arrive(1, 1);
  BOOST_TEST(Answers(Pass(absl::Milliseconds(290))).empty());
}

BOOST_AUTO_TEST_CASE(waiting_job_that_turns_out_to_be_cancelled_never_starts) {
  Do(CancelMemoryChanged{.complete = false});
  AddAgent("agent-1");
  Arrive(1, 1);
  const auto answers =
      Answers(Do(CancelledJobsReceived{{{"5c0e", 7000, true}}}));
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].verdict == JobVerdict::kCancelled));
  BOOST_TEST(
      SentTo<StartRuns>("agent-1", Do(CancelMemoryChanged{.complete = true}))
          .empty());
}

BOOST_AUTO_TEST_CASE(
    open_job_that_another_process_knows_as_cancelled_is_ended) {
  AddAgent("agent-1");
  Arrive(1, 1);
  const auto actions = Do(CancelledJobsReceived{{{"5c0e", 7000, false}}});
  BOOST_TEST(SentTo<StopRuns>("agent-1", actions).size() == 1u);
  BOOST_TEST(Answers(actions).size() == 1u);
}

// However often it is passed on, a record expires when it would have at first.
BOOST_AUTO_TEST_CASE(received_record_keeps_its_age) {
  CancelledJobs memory;
  memory.Merge({"5c0e", 59'000, true}, clock.now().mono);
  BOOST_TEST(memory.Contains("5c0e", clock.now().mono));
  memory.Merge({"5c0e", 59'500, true}, clock.now().mono);
  clock.Advance(absl::Milliseconds(900));
  const auto page = memory.Page({}, 10, clock.now().mono);
  BOOST_REQUIRE(page.size() == 1u);
  BOOST_TEST(page[0].age_ms == 59'900u);
  clock.Advance(absl::Milliseconds(100));
  BOOST_TEST(!memory.Contains("5c0e", clock.now().mono));
  memory.Merge({"f00d", 60'000, true}, clock.now().mono);
  BOOST_TEST(!memory.Contains("f00d", clock.now().mono));
}

BOOST_AUTO_TEST_CASE(oldest_records_are_dropped_first_and_counted) {
  CancelledJobs memory;
  memory.Merge({"old", 30'000, true}, clock.now().mono);
  for (size_t i = 0; i < kMaxCancelledJobs; ++i) {
    memory.Add(absl::StrCat("job-", i), true, clock.now().mono);
  }
  BOOST_TEST(memory.size() == kMaxCancelledJobs);
  BOOST_TEST(!memory.Contains("old", clock.now().mono));
  BOOST_TEST(memory.dropped_early() == 1u);
}

BOOST_AUTO_TEST_CASE(repeated_cancel_is_told_to_others_once_its_record_is_old) {
  CancelledJobs memory;
  const std::vector<std::string> job = {"5c0e"};
  BOOST_TEST(memory.NewsAmong(job, clock.now().mono).size() == 1u);
  memory.Add("5c0e", true, clock.now().mono);
  BOOST_TEST(memory.NewsAmong(job, clock.now().mono).empty());
  clock.Advance(absl::Seconds(30));
  BOOST_TEST(memory.NewsAmong(job, clock.now().mono).size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
