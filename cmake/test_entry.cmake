egretswitch_test(entry_ownership_test
  test/control_harness.cc
  test/entry_ownership_test.cc
  LIBS egretswitch_entry)
