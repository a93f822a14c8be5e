# The command-line tool: a library, so that tests can call it, and the program.
add_library(egretswitch_ctl STATIC
  src/csv_records.cc
  src/table_csv.cc)
target_link_libraries(egretswitch_ctl PUBLIC egretswitch_settings)
target_link_libraries(egretswitch_ctl PRIVATE
  CURL::libcurl nlohmann_json::nlohmann_json)

egretswitch_test(table_csv_test test/table_csv_test.cc LIBS egretswitch_ctl)
