# The programs of the review's cases. build.sh adds them to a build of its own;
# no other build knows them.
add_executable(review_case
  platform/test/store_stand_in.cc
  platform/test/worker_stand_in.cc
  review/1/lost_stop.cc
  review/2/lease_of_former_boot.cc
  review/2/restarting_worker.cc
  review/3/cancelled_job.cc
  review/common/case_clients.cc
  review/common/case_main.cc
  review/common/case_record.cc
  review/common/delete_call.cc
  review/common/run_watcher.cc
  test/soak/child_process.cc
  test/soak/loopback_proxy.cc
  test/soak/soak_deployment.cc)
target_include_directories(review_case PRIVATE
  ${CMAKE_SOURCE_DIR}/test/soak ${CMAKE_SOURCE_DIR}/review/common)
target_link_libraries(review_case PRIVATE
  egretswitch_run_world egretswitch_adapter egretswitch_step_shells
  egretswitch_stand_ins)
