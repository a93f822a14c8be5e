egretswitch_test(core_test
  test/control_state_test.cc
  LIBS egretswitch_core)
