# The decisions under failure: small fakes, the fault matrix, replayed traces.
add_library(egretswitch_fakes STATIC
  test/fake_callers.cc
  test/fake_log.cc
  test/fake_network.cc
  test/fake_worker.cc
  test/fake_world.cc
  test/fake_world_events.cc
  test/fault_matrix.cc
  test/fault_plan.cc
  test/history_checker.cc
  test/node_event_text.cc
  test/scenario.cc
  test/trace_file.cc
  test/trace_replay.cc)
target_include_directories(egretswitch_fakes PUBLIC ${CMAKE_SOURCE_DIR}/test)
target_link_libraries(egretswitch_fakes PUBLIC
  egretswitch_entry egretswitch_agent egretswitch_core Threads::Threads)

add_executable(fault_matrix test/fault_matrix_main.cc)
target_link_libraries(fault_matrix PRIVATE egretswitch_fakes)
# As in ctl.cmake: std::regex warns with g++ 12 and sanitizers.
target_compile_definitions(fault_matrix PRIVATE CXXOPTS_NO_REGEX)

egretswitch_test(history_checker_test
  test/history_checker_test.cc
  LIBS egretswitch_fakes)
egretswitch_test(fault_matrix_test
  test/fault_matrix_test.cc
  LIBS egretswitch_fakes)
egretswitch_test(trace_replay_test
  test/trace_replay_test.cc
  LIBS egretswitch_fakes)
target_compile_definitions(trace_replay_test PRIVATE
  EGRETSWITCH_TRACE_DIR="${CMAKE_SOURCE_DIR}/test/traces")
