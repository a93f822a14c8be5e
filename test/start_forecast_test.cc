// Tests the predicted start of waiting jobs.
#include "start_forecast.h"

#include <boost/test/unit_test.hpp>

namespace egretswitch::internal {
namespace {

struct StartForecastFixture {
  static OpenJob Job(uint32_t tasks, uint32_t priority) {
    JobArrived arrival;
    arrival.job.id = "5c0e";
    arrival.job.steps = {{tasks, {6000, 64, 0}, 100}};
    arrival.queue.service = "desk";
    arrival.queue.priority = priority;
    arrival.queue.stretch = 1.6;
    arrival.queue.objective_ms = 60;
    return MakeOpenJob(arrival, 1, kStart);
  }

  // Tasks wait from kStart on, and one is placed every `gap` for a second.
  void PlaceUntil(absl::Duration gap) {
    PredictWait(Job(1, 1));
    for (now = kStart; now < kStart + absl::Seconds(1); now += gap) {
      forecast.RecordPlacement("desk", 6000, now);
    }
  }

  absl::Duration PredictWait(const OpenJob& job) {
    StartForecast::Pass pass = forecast.BeginPass(now);
    const absl::Duration wait = pass.PredictedWait(job);
    forecast.EndPass(pass);
    return wait;
  }

  static constexpr MonoTime kStart = absl::Seconds(100);

  StartForecast forecast;
  MonoTime now = kStart;
};

BOOST_FIXTURE_TEST_SUITE(start_forecast, StartForecastFixture)

BOOST_AUTO_TEST_CASE(first_job_that_waits_has_no_forecast) {
  forecast.RecordPlacement("desk", 6000, now);
  BOOST_TEST((PredictWait(Job(9, 1)) == absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(predicted_wait_covers_the_jobs_ahead_and_the_job_itself) {
  PlaceUntil(absl::Milliseconds(10));
  StartForecast::Pass pass = forecast.BeginPass(now);
  pass.PredictedWait(Job(10, 0));
  const absl::Duration wait = pass.PredictedWait(Job(10, 1));
  BOOST_TEST((wait > absl::Milliseconds(170)));
  BOOST_TEST((wait < absl::Milliseconds(230)));
}

BOOST_AUTO_TEST_CASE(
    most_urgent_waiting_job_is_predicted_to_start_twice_as_fast) {
  PlaceUntil(absl::Milliseconds(10));
  const absl::Duration wait = PredictWait(Job(10, 0));
  BOOST_TEST((wait > absl::Milliseconds(40)));
  BOOST_TEST((wait < absl::Milliseconds(60)));
}

BOOST_AUTO_TEST_CASE(job_that_was_dropped_is_not_ahead_of_the_next) {
  PlaceUntil(absl::Milliseconds(10));
  StartForecast::Pass pass = forecast.BeginPass(now);
  const OpenJob large = Job(100, 0);
  pass.PredictedWait(large);
  pass.Drop(large);
  BOOST_TEST((pass.PredictedWait(Job(1, 0)) < absl::Milliseconds(10)));
}

BOOST_AUTO_TEST_CASE(queue_that_was_empty_has_no_forecast_at_first) {
  PlaceUntil(absl::Milliseconds(10));
  forecast.EndPass(forecast.BeginPass(now));  // nothing waits
  BOOST_TEST((PredictWait(Job(100, 1)) == absl::ZeroDuration()));
}

// 220 ms of objective, 145 ms of a run with its margin.
BOOST_AUTO_TEST_CASE(job_is_late_once_wait_and_run_pass_its_objective) {
  const OpenJob job = Job(1, 0);
  BOOST_TEST(!WouldBeLate(job, absl::Milliseconds(70), kStart));
  BOOST_TEST(WouldBeLate(job, absl::Milliseconds(80), kStart));
  BOOST_TEST(WouldBeLate(job, absl::Milliseconds(40),
                         kStart + absl::Milliseconds(40)));
}

BOOST_AUTO_TEST_CASE(longer_predicted_wait_gives_a_longer_retry_delay) {
  BOOST_TEST((SuggestedRetryDelay(absl::Milliseconds(50), 0.5) <
              SuggestedRetryDelay(absl::Milliseconds(500), 0.5)));
  BOOST_TEST((SuggestedRetryDelay(absl::Hours(1), 1) <= absl::Seconds(5)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
