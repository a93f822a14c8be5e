# The command-line tool: a library, so that tests can call it, and the program.
add_library(egretswitch_ctl STATIC
  src/csv_records.cc
  src/ctl.cc
  src/ctl_arguments.cc
  src/ctl_client.cc
  src/ctl_help.cc
  src/ctl_history.cc
  src/ctl_http.cc
  src/ctl_jobs.cc
  src/ctl_log.cc
  src/ctl_operate.cc
  src/ctl_table.cc
  src/ctl_world.cc
  src/table_csv.cc
  src/table_diff.cc)
# Without std::regex cxxopts compiles faster, and g++ 12 does not warn of
# uninitialised memory in it when a sanitizer is on.
target_compile_definitions(egretswitch_ctl PRIVATE
  EGRETSWITCH_VERSION="${PROJECT_VERSION}")
target_link_libraries(egretswitch_ctl PUBLIC
  egretswitch_settings egretswitch_platform)
target_link_libraries(egretswitch_ctl PRIVATE
  egretswitch_http CURL::libcurl nlohmann_json::nlohmann_json)

add_executable(egretswitchctl src/ctl_main.cc)
target_link_libraries(egretswitchctl PRIVATE egretswitch_ctl)

egretswitch_test(table_csv_test test/table_csv_test.cc LIBS egretswitch_ctl)
egretswitch_test(ctl_test test/ctl_table_test.cc test/ctl_test.cc LIBS egretswitch_ctl)
target_compile_definitions(ctl_test PRIVATE
  EGRETSWITCH_EXAMPLES="${CMAKE_SOURCE_DIR}/examples")
egretswitch_test(ctl_http_test test/ctl_http_test.cc
  LIBS egretswitch_ctl egretswitch_http)
