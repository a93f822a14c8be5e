# The adapter, against a stand-in of the platform's calls.
egretswitch_test(adapter_codec_test
  platform/test/bad_record_test.cc
  platform/test/codec_test.cc
  platform/test/odd_records_test.cc
  LIBS egretswitch_adapter egretswitch_step_shells)
egretswitch_test(whole_path_test
  test/soak/loopback_proxy.cc
  platform/test/cancel_test.cc
  platform/test/leaving_test.cc
  platform/test/odd_members_test.cc
  platform/test/store_stand_in.cc
  platform/test/whole_path_test.cc
  platform/test/worker_http_calls_test.cc
  platform/test/worker_stand_in.cc
  LIBS egretswitch_run_world egretswitch_adapter egretswitch_step_shells egretswitch_stand_ins)
egretswitch_test(store_follower_test
  test/silent_store_test.cc
  test/store_follower_test.cc
  LIBS egretswitch_step_shells)
egretswitch_test(member_announcer_test
  test/member_announcer_test.cc
  LIBS egretswitch_step_shells)
