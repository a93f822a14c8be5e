# The decisions of an entry. The jobs' side names its sources in
# ENTRY_JOB_SOURCES (cmake/entry_jobs.cmake).
set(ENTRY_JOB_SOURCES)
include(cmake/entry_jobs.cmake OPTIONAL)
add_library(egretswitch_entry STATIC
  src/agent_directory.cc
  src/entry_control.cc
  src/entry_membership.cc
  src/entry_state_notes.cc
  src/log_follower.cc
  src/operator_edits.cc
  src/owner_lease.cc
  src/peer_table.cc
  src/peer_table_ends.cc
  src/recovered_jobs.cc
  src/shard_assignment.cc
  src/shard_takeover.cc
  src/snapshot_writer.cc
  src/shard_release.cc
  src/takeover_round.cc
  ${ENTRY_JOB_SOURCES})
if(ENTRY_JOB_SOURCES)
  target_sources(egretswitch_entry PRIVATE src/entry_node.cc)
endif()
target_link_libraries(egretswitch_entry PUBLIC egretswitch_core)
