# The decisions of an entry.
add_library(egretswitch_entry STATIC
  src/agent_directory.cc)
target_link_libraries(egretswitch_entry PUBLIC egretswitch_core)
