# Measures the policy: the nodes in virtual time beside simple queue models.
add_executable(policy_bench
  bench/policy_bench.cc
  bench/policy_node_driver.cc
  bench/policy_plot.cc
  bench/policy_queue_models.cc
  bench/policy_report.cc
  bench/policy_workload.cc
  load/job_plan.cc)
target_include_directories(policy_bench PRIVATE ${CMAKE_SOURCE_DIR}/load)
target_link_libraries(policy_bench PRIVATE egretswitch_fakes)
