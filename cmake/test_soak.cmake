# The fault soak: the real programs as processes, faults from outside.
add_executable(soak
  platform/test/store_stand_in.cc
  platform/test/worker_stand_in.cc
  test/soak/caller_traces.cc
  test/soak/child_process.cc
  test/soak/loopback_proxy.cc
  test/soak/run_ledger.cc
  test/soak/soak_callers.cc
  test/soak/soak_deployment.cc
  test/soak/soak_faults.cc
  test/soak/soak_main.cc)
target_include_directories(soak PRIVATE ${CMAKE_SOURCE_DIR}/test/soak)
target_link_libraries(soak PRIVATE
  egretswitch_run_world egretswitch_adapter egretswitch_step_shells
  egretswitch_stand_ins)
