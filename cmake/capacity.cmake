# How the cost of a node grows with its world: the slopes in docs/CAPACITY.md.
add_executable(capacity_bench
  bench/capacity_agent_driver.cc
  bench/capacity_agent_series.cc
  bench/capacity_codec_series.cc
  bench/capacity_entry_driver.cc
  bench/capacity_entry_series.cc
  bench/capacity_fit.cc
  bench/capacity_job_series.cc
  bench/capacity_link_series.cc
  bench/capacity_main.cc
  bench/capacity_record_series.cc
  bench/capacity_series.cc)
target_compile_definitions(capacity_bench PRIVATE CXXOPTS_NO_REGEX)
target_link_libraries(capacity_bench PRIVATE
  egretswitch_agent egretswitch_entry egretswitch_platform
  egretswitch_transport nlohmann_json::nlohmann_json)

egretswitch_test(capacity_fit_test
  test/capacity_fit_test.cc bench/capacity_fit.cc)
target_include_directories(capacity_fit_test PRIVATE ${CMAKE_SOURCE_DIR}/bench)
