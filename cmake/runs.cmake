# The decisions about jobs made of steps and their runs.
add_library(egretswitch_runs STATIC
  src/dispatch_policy.cc
  src/entry_contacts.cc
  src/evacuations.cc
  src/job_dispatcher.cc
  src/job_dispatcher_reports.cc
  src/job_dispatcher_time.cc
  src/job_notes.cc
  src/kept_run.cc
  src/link_selection.cc
  src/member_list.cc
  src/member_record.cc
  src/neighbour_fetch.cc
  src/open_job.cc
  src/remote_clock.cc
  src/room_promises.cc
  src/run_counters.cc
  src/run_ends.cc
  src/run_events.cc
  src/run_keeper.cc
  src/run_keeper_worker.cc
  src/run_renewals.cc
  src/run_time_model.cc
  src/service_config.cc
  src/start_forecast.cc
  src/step_job.cc
  src/straggler.cc
  src/table_exchange.cc
  src/usual_patience.cc
  src/waiting_jobs.cc
  src/watched_worker.cc
  src/worker_calls.cc
  src/worker_incarnation.cc
  src/worker_looks.cc
  src/worker_pool.cc
  src/worker_reach.cc)
target_link_libraries(egretswitch_runs PUBLIC egretswitch_core)
