# HTTP towards callers and operators, its JSON, and metrics.
add_library(egretswitch_http STATIC
  src/caller_api.cc
  src/disconnect_watcher.cc
  src/http_exchange.cc
  src/http_server.cc
  src/job_json.cc
  src/json_document.cc
  src/json_error.cc
  src/latency_histogram.cc
  src/metrics_text.cc
  src/open_connections.cc
  src/operator_api.cc
  src/table_json.cc)
target_link_libraries(egretswitch_http PUBLIC
  egretswitch_core egretswitch_transport PkgConfig::MICROHTTPD nlohmann_json::nlohmann_json
  Threads::Threads)

egretswitch_test(job_json_test test/job_json_test.cc LIBS egretswitch_http)
egretswitch_test(caller_api_test test/caller_api_test.cc LIBS egretswitch_http)
egretswitch_test(http_server_test test/http_server_test.cc LIBS egretswitch_http)
egretswitch_test(open_connections_test test/open_connections_test.cc
  LIBS egretswitch_http)
egretswitch_test(operator_api_test test/operator_api_test.cc
  LIBS egretswitch_http)
egretswitch_test(metrics_text_test test/metrics_text_test.cc
  LIBS egretswitch_http)
