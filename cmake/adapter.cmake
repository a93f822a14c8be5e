# The adapter of the users' platform: names, formats, calls.
add_library(egretswitch_adapter STATIC
  platform/config_codec.cc
  platform/job_codec.cc
  platform/store_client.cc
  platform/worker_codec.cc
  platform/worker_http_calls.cc
  platform/worker_updates.cc)
target_include_directories(egretswitch_adapter PUBLIC ${CMAKE_SOURCE_DIR})
target_link_libraries(egretswitch_adapter PUBLIC
  egretswitch_runs egretswitch_http egretswitch_platform)
