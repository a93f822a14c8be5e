# What the jobs' side of an entry promises, in virtual time.
egretswitch_test(job_test
  test/job_dispatch_test.cc
  test/job_fixture.cc
  test/job_front_test.cc
  test/job_handover_test.cc
  test/job_limits_test.cc
  test/job_owner_test.cc
  test/job_takeover_test.cc
  LIBS egretswitch_entry)
