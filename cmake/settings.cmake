# Checked settings and the log.
add_library(egretswitch_settings STATIC
  src/bounded_stdout.cc
  src/link_identity.cc
  src/logging.cc
  src/secret_file.cc
  src/settings.cc
  src/settings_reader.cc
  src/step_settings.cc)
target_link_libraries(egretswitch_settings PUBLIC
  egretswitch_core egretswitch_transport absl::status absl::statusor)
target_link_libraries(egretswitch_settings PRIVATE
  yaml-cpp log4cplus::log4cplus nlohmann_json::nlohmann_json)

egretswitch_test(settings_test test/settings_test.cc LIBS egretswitch_settings)
target_compile_definitions(settings_test PRIVATE
  EGRETSWITCH_EXAMPLES="${CMAKE_SOURCE_DIR}/examples")
egretswitch_test(logging_test test/logging_test.cc
  LIBS egretswitch_settings nlohmann_json::nlohmann_json)
egretswitch_test(bounded_stdout_test test/bounded_stdout_test.cc
  LIBS egretswitch_settings)
egretswitch_test(step_settings_test test/step_settings_test.cc
  LIBS egretswitch_settings)
