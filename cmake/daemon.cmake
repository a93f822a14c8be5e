# The shells of jobs made of steps.
add_library(egretswitch_step_shells STATIC
  src/deployment_tables.cc
  src/link_log.cc
  src/member_announcer.cc
  src/random_seed.cc
  src/step_agent_daemon.cc
  src/step_entry_calls.cc
  src/step_entry_cancels.cc
  src/step_entry_daemon.cc
  src/step_entry_metrics.cc
  src/store_follower.cc
  src/table_keeper.cc)
target_link_libraries(egretswitch_step_shells PUBLIC
  egretswitch_runs egretswitch_http egretswitch_settings
  egretswitch_transport egretswitch_agent egretswitch_entry)

# egretswitchd, an entry or an agent by its settings.
add_executable(egretswitchd
  src/agent_daemon.cc
  src/daemon_main.cc
  src/entry_daemon.cc
  src/node_shell.cc)
target_link_libraries(egretswitchd PRIVATE
  egretswitch_adapter egretswitch_agent egretswitch_entry egretswitch_http
  egretswitch_platform egretswitch_settings egretswitch_step_shells
  egretswitch_transport)
target_compile_definitions(egretswitchd PRIVATE
  EGRETSWITCH_VERSION="${PROJECT_VERSION}")
