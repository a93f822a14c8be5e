foreach(test agent_start agent_memory agent_offers agent_drain)
  egretswitch_test(${test}_test test/${test}_test.cc LIBS egretswitch_agent)
endforeach()
