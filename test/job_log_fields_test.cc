// Tests of which lines on a job's end may be omitted, and of their fields.
#include "job_log_fields.h"

#include <string>

#include <boost/test/unit_test.hpp>

#include "job_dispatcher_fixture.h"

namespace egretswitch::internal {
namespace {

const JobAnswer kCompleted = {JobVerdict::kCompleted, "", {}};

// A job of two tasks of 100 ms: its objective is 1.6 * 100 + 60 ms.
struct EndedJobFixture {
  EndedJobFixture()
      : job(MakeOpenJob(
            JobDispatcherFixture::Arrival(1, "5c0e", {{2, kSixCores, 100}}),
            1,
            arrived_at)) {
    for (OpenTask& task : job.tasks) {
      task.state = OpenTask::State::kDone;
      task.agent = "agent-1";
      task.run_ms = 90;
      task.sent_at = arrived_at + absl::Milliseconds(5);
    }
  }
  std::string Field(const std::string& key) const {
    for (const NoteField& field : JobEndLogFields(job, kCompleted, in_time)) {
      if (field.key == key) {
        return field.value;
      }
    }
    return "none";
  }

  const MonoTime arrived_at = absl::Seconds(7);
  const MonoTime in_time = arrived_at + absl::Milliseconds(219);
  const MonoTime late = arrived_at + absl::Milliseconds(221);
  OpenJob job;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(job_log_fields, EndedJobFixture)

BOOST_AUTO_TEST_CASE(end_within_the_objective_is_routine) {
  BOOST_TEST(IsRoutineEnd(job, kCompleted, in_time));
}

BOOST_AUTO_TEST_CASE(end_past_the_objective_is_always_logged) {
  BOOST_TEST(!IsRoutineEnd(job, kCompleted, late));
}

BOOST_AUTO_TEST_CASE(end_of_a_job_with_a_moved_run_is_always_logged) {
  job.tasks[1].moves = 1;
  BOOST_TEST(!IsRoutineEnd(job, kCompleted, in_time));
}

BOOST_AUTO_TEST_CASE(end_by_a_cancel_is_routine) {
  BOOST_TEST(
      IsRoutineEnd(job, {JobVerdict::kCancelled, "cancelled", {}}, late));
}

BOOST_AUTO_TEST_CASE(end_other_than_completed_is_always_logged) {
  for (const JobVerdict verdict :
       {JobVerdict::kFailed, JobVerdict::kNotRun, JobVerdict::kMayHaveRun}) {
    BOOST_TEST(!IsRoutineEnd(job, {verdict, "busy", {}}, in_time));
  }
}

BOOST_AUTO_TEST_CASE(fields_name_the_slowest_task_and_what_delayed_it) {
  job.tasks[1].run_ms = 170;
  job.tasks[1].agent = "agent-2";
  job.tasks[1].sent_at = arrived_at + absl::Milliseconds(40);
  job.tasks[0].failures = 1;
  job.tasks[1].moves = 2;
  job.tasks[1].lost_runs.resize(1);
  BOOST_TEST(Field("slowest_ms") == "170");
  BOOST_TEST(Field("slowest_agent") == "agent-2");
  BOOST_TEST(Field("last_sent_after_ms") == "40");
  BOOST_TEST(Field("failed_runs") == "1");
  BOOST_TEST(Field("moves") == "2");
  BOOST_TEST(Field("lost_runs") == "1");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace egretswitch::internal
