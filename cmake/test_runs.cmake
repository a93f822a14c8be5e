# Jobs made of steps and their runs, in virtual time.
egretswitch_test(runs_test
  test/abandoned_runs_agent_test.cc
  test/abandoned_runs_test.cc
  test/attempt_exchange_test.cc
  test/cancel_search_test.cc
  test/cancel_exchange_test.cc
  test/cancelled_jobs_test.cc
  test/copy_age_test.cc
  test/evacuations_test.cc
  test/first_workers_test.cc
  test/former_attempt_test.cc
  test/job_dispatcher_links_test.cc
  test/job_dispatcher_test.cc
  test/job_log_fields_test.cc
  test/link_selection_test.cc
  test/member_list_test.cc
  test/open_job_test.cc
  test/remote_clock_test.cc
  test/run_manager_calls_test.cc
  test/run_manager_test.cc
  test/run_noise_test.cc
  test/run_time_model_test.cc
  test/run_times_test.cc
  test/service_config_test.cc
  test/start_forecast_test.cc
  test/straggler_test.cc
  test/table_copies_test.cc
  test/table_exchange_test.cc
  test/typical_timeout_test.cc
  test/worker_restart_test.cc
  test/worker_withdrawal_test.cc
  test/worker_pool_test.cc
  test/worker_speed_test.cc
  test/worker_subset_test.cc
  LIBS egretswitch_runs)
add_library(egretswitch_run_world STATIC
  test/fake_run_worker.cc
  test/fault_search.cc
  test/load_scenario.cc
  test/long_jobs.cc
  test/run_world.cc
  test/run_world_workers.cc
  test/run_world_callers.cc
  test/run_world_calls.cc
  test/run_world_cancels.cc
  test/run_world_exchange.cc
  test/run_world_entry_links.cc
  test/run_world_evacuations.cc
  test/run_world_faults.cc
  test/run_world_spells.cc
  test/run_world_stops.cc
  test/searched_faults.cc)
target_include_directories(egretswitch_run_world PUBLIC ${CMAKE_SOURCE_DIR}/test)
target_link_libraries(egretswitch_run_world PUBLIC
  egretswitch_runs egretswitch_transport)

egretswitch_test(run_faults_test
  test/run_faults_test.cc
  LIBS egretswitch_run_world)

egretswitch_test(fault_search_test
  test/fault_search_test.cc
  LIBS egretswitch_run_world)

egretswitch_test(cancel_memory_test
  test/cancel_memory_test.cc
  LIBS egretswitch_run_world)

egretswitch_test(run_counts_test
  test/run_counts_test.cc
  LIBS egretswitch_run_world)

egretswitch_test(reset_series_test
  test/reset_series_test.cc
  LIBS egretswitch_run_world)

egretswitch_test(overdue_stops_test
  test/overdue_stops_test.cc
  LIBS egretswitch_run_world)

egretswitch_test(worker_lease_test
  test/lost_agent_test.cc
  test/worker_lease_test.cc
  LIBS egretswitch_run_world)

egretswitch_test(worker_loss_test
  test/worker_loss_test.cc
  LIBS egretswitch_run_world)

egretswitch_test(run_loss_test
  test/run_loss_test.cc
  LIBS egretswitch_runs)

egretswitch_test(lost_runs_test
  test/lost_runs_test.cc
  LIBS egretswitch_runs)

egretswitch_test(suspects_test
  test/suspects_test.cc
  LIBS egretswitch_runs)

egretswitch_test(refused_starts_test
  test/refused_starts_test.cc
  LIBS egretswitch_run_world)

egretswitch_test(evacuation_test
  test/evacuation_test.cc
  LIBS egretswitch_run_world)

egretswitch_test(load_test
  test/load_test.cc
  LIBS egretswitch_run_world)

add_executable(run_faults test/run_faults_main.cc)
target_link_libraries(run_faults PRIVATE egretswitch_run_world)
add_executable(fault_search test/fault_search_main.cc)
target_link_libraries(fault_search PRIVATE egretswitch_run_world)
egretswitch_test(run_faults_arguments_test test/run_faults_arguments_test.cc)
target_compile_definitions(run_faults_arguments_test PRIVATE
  EGRETSWITCH_RUN_FAULTS="$<TARGET_FILE:run_faults>")
add_dependencies(run_faults_arguments_test run_faults)

# Load in virtual time, beside one queue that knows everything.
add_executable(dispatch_lab
  bench/dispatch_lab.cc
  bench/ideal_queue.cc
  bench/load_scenario_yaml.cc)
target_link_libraries(dispatch_lab PRIVATE egretswitch_run_world yaml-cpp)

# Goodput over offered load.
add_executable(goodput_curve bench/goodput_curve.cc)
target_link_libraries(goodput_curve PRIVATE egretswitch_run_world)
