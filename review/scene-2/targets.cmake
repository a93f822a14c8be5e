# The program that plays the cases: store, workers and callers in one process,
# around real processes of the deployed roles.
add_executable(review_scene_2
  platform/test/store_stand_in.cc
  test/soak/child_process.cc
  ${CMAKE_CURRENT_LIST_DIR}/caller.cc
  ${CMAKE_CURRENT_LIST_DIR}/deployment.cc
  ${CMAKE_CURRENT_LIST_DIR}/late_copy.cc
  ${CMAKE_CURRENT_LIST_DIR}/reborn.cc
  ${CMAKE_CURRENT_LIST_DIR}/lost_agent.cc
  ${CMAKE_CURRENT_LIST_DIR}/record.cc
  ${CMAKE_CURRENT_LIST_DIR}/scene_main.cc
  ${CMAKE_CURRENT_LIST_DIR}/traffic.cc
  ${CMAKE_CURRENT_LIST_DIR}/worker.cc)
target_include_directories(review_scene_2 PRIVATE
  ${CMAKE_SOURCE_DIR}/test/soak ${CMAKE_CURRENT_LIST_DIR})
target_link_libraries(review_scene_2 PRIVATE
  egretswitch_run_world egretswitch_adapter egretswitch_step_shells
  egretswitch_stand_ins)
