# Small programs that take the platform's place in tests and demonstrations.
add_library(egretswitch_stand_ins STATIC
  stand_ins/stand_in_server.cc
  stand_ins/log_service.cc
  stand_ins/log_streams.cc
  stand_ins/start_record.cc
  stand_ins/stop_signal.cc
  stand_ins/timer_thread.cc
  stand_ins/worker.cc
  stand_ins/worker_tasks.cc)
target_include_directories(egretswitch_stand_ins PUBLIC ${CMAKE_SOURCE_DIR})
target_link_libraries(egretswitch_stand_ins PUBLIC
  absl::status absl::strings nlohmann_json::nlohmann_json
  PkgConfig::MICROHTTPD Threads::Threads)

foreach(program log_service worker)
  add_executable(${program}_stand_in stand_ins/${program}_main.cc)
  target_link_libraries(${program}_stand_in PRIVATE egretswitch_stand_ins)
endforeach()
