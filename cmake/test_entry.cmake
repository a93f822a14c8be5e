egretswitch_test(entry_ownership_test
  test/control_harness.cc
  test/entry_liveness_test.cc
  test/former_owner_test.cc
  test/handover_test.cc
  test/log_follower_test.cc
  test/owner_lease_test.cc
  test/shard_assignment_test.cc
  test/shard_takeover_test.cc
  LIBS egretswitch_entry)
