# The callers' stand-in and the report on what callers and workers recorded.
add_executable(load load/caller.cc load/job_plan.cc load/load_main.cc)
target_link_libraries(load PRIVATE egretswitch_http egretswitch_platform)
add_executable(load_report load/report_main.cc)
target_link_libraries(load_report PRIVATE nlohmann_json::nlohmann_json)
