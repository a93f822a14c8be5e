# Clients of the platform: its log service and the worker beside an agent.
add_library(egretswitch_platform STATIC
  src/http_client.cc
  src/log_client.cc
  src/record_codec.cc
  src/worker_client.cc
  src/worker_protocol.cc)
target_link_libraries(egretswitch_platform PUBLIC
  egretswitch_core egretswitch_transport CURL::libcurl)
target_link_libraries(egretswitch_platform PRIVATE
  nlohmann_json::nlohmann_json)

egretswitch_test(record_codec_test test/record_codec_test.cc
  LIBS egretswitch_platform)
egretswitch_test(platform_clients_test test/platform_clients_test.cc
  LIBS egretswitch_platform egretswitch_stand_ins)
egretswitch_test(http_client_test test/http_client_test.cc
  test/soak/child_process.cc
  LIBS egretswitch_platform)
target_include_directories(http_client_test PRIVATE
  ${CMAKE_SOURCE_DIR}/test/soak)
