# The decisions of an agent.
add_library(egretswitch_agent STATIC
  src/agent_lifecycle.cc
  src/agent_node.cc
  src/epoch_fence.cc
  src/slot_offers.cc
  src/slot_registration.cc
  src/start_admission.cc
  src/start_ledger.cc
  src/start_permissions.cc
  src/task_reporter.cc
  src/worker_slots.cc)
target_link_libraries(egretswitch_agent PUBLIC egretswitch_core)
