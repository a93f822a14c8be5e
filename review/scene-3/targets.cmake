set(scene_dir ${CMAKE_SOURCE_DIR}/review/scene-3)
add_executable(review_scene_3
  ${scene_dir}/http_call.cc
  ${scene_dir}/scene.cc
  ${scene_dir}/scene_main.cc
  ${scene_dir}/scene_worker.cc
  ${scene_dir}/cancel_cases.cc
  ${scene_dir}/move_case.cc
  ${scene_dir}/suspend_case.cc
  ${CMAKE_SOURCE_DIR}/platform/test/store_stand_in.cc
  ${CMAKE_SOURCE_DIR}/test/fake_run_worker.cc
  ${CMAKE_SOURCE_DIR}/test/soak/child_process.cc
  ${CMAKE_SOURCE_DIR}/test/soak/loopback_proxy.cc)
target_include_directories(review_scene_3 PRIVATE
  ${scene_dir} ${CMAKE_SOURCE_DIR}/test ${CMAKE_SOURCE_DIR}/test/soak)
target_link_libraries(review_scene_3 PRIVATE
  egretswitch_adapter egretswitch_step_shells egretswitch_stand_ins)
